import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findCulprits, isRefusedBy} from '../../src/request/blame.js';

/** Each letter is a loss; one a second. A leading `+`: a run has completed. */
type Losses = Readonly<Record<string, string>>;

interface BlameCase {
  readonly losses: Losses;
  /** Time between losses. */
  readonly everyMs?: number;
  readonly culprits: readonly string[];
}

/** Guards against parts that are not blamed, and against sound ones that are. */
const CASES: Readonly<Record<string, BlameCase>> = {
  'a part that different requests share': {
    losses: {r1: 'a', r2: 'b', r3: 'c', 'part:bad': 'abc'},
    culprits: ['part:bad'],
  },
  'a request that comes again, not its parts': {
    losses: {r1: 'abc', 'part:p': 'ab'},
    culprits: ['r1'],
  },
  'a sound part beside one that crashes engines': {
    losses: {'part:bad': 'abcde', 'part:rare': 'abc'},
    culprits: ['part:bad'],
  },
  'two parts in different losses': {
    losses: {'part:x': 'abc', 'part:y': 'def', 'part:sound': 'ad'},
    culprits: ['part:x', 'part:y'],
  },
  'parts that can not be told apart yet': {
    losses: {'part:x': 'abc', 'part:y': 'abc'},
    culprits: ['part:x part:y'],
  },
  'a request that was beside each crash': {
    losses: {sound: 'abc', 'part:bad': 'abcd'},
    culprits: ['part:bad'],
  },
  'a part that has completed before, beside one that has not': {
    losses: {'+part:first': 'abcde', 'part:bad': 'bc'},
    culprits: ['+part:first'],
  },
  'a part whose losses another explains': {
    losses: {'+part:first': 'abcd', 'part:bad': 'bcd'},
    culprits: ['part:bad'],
  },
  'a part that turned bad, beside parts of single sessions': {
    losses: {
      '+part:bad': 'abcdefgh',
      'part:s1': 'ab',
      'part:s2': 'cd',
      'part:s3': 'ef',
      'part:s4': 'gh',
    },
    culprits: ['+part:bad'],
  },
  'a part of requests that come two at once': {
    losses: {r1: 'a', r2: 'b', r3: 'p', r4: 'q', 'part:bad': 'abpq'},
    everyMs: 100,
    culprits: ['part:bad'],
  },
  'a part of requests at engines that end together': {
    losses: {'part:first': 'abcdef'},
    everyMs: 40,
    culprits: [],
  },
};

function accuse(losses: Losses, everyMs = 1_000) {
  return Object.entries(losses).map(([name, ids]) => ({
    key: name.replace('+', ''),
    hasCompleted: name.startsWith('+'),
    losses: new Map(
      [...ids].map(id => {
        const lostAtMs = (id.charCodeAt(0) - 96) * everyMs;
        return [id, {lostAtMs, isSuspected: false}];
      }),
    ),
  }));
}

for (const [name, {losses, everyMs, culprits}] of Object.entries(CASES)) {
  test(`blame: ${name}`, () => {
    const found = findCulprits(accuse(losses, everyMs), () => false);
    assert.deepEqual(
      found.map(({keys}) => keys.join(' ')),
      culprits.map(each => each.replace('+', '')),
    );
  });
}

test('parts that can not be told apart are refused together, requests later one by one', () => {
  // Guards against sound requests refused for a part they share with bad ones,
  // and against a tie that is never broken.
  const together = {keys: ['part:x', 'part:y'], count: 3, latestAtMs: 0};
  assert.equal(isRefusedBy(together, ['r', 'part:x']), false);
  assert.equal(isRefusedBy(together, ['r', 'part:x', 'part:y']), true);
  assert.equal(isRefusedBy({...together, count: 9}, ['r', 'part:x']), false);
  const requests = {...together, keys: ['r1', 'r2']};
  assert.equal(isRefusedBy(requests, ['r1']), false);
  assert.equal(isRefusedBy({...requests, count: 5}, ['r1']), true);
});

test('suspects with a single loss cost next to nothing', () => {
  // Guards against hosts that stand still while they judge hundreds of suspects.
  const names = Array.from({length: 500}, (_, i) => [`r${i}`, 'abc'[i % 3]]);
  let lookupCount = 0;
  findCulprits(accuse(Object.fromEntries(names) as Losses), () => {
    lookupCount++;
    return false;
  });
  assert.equal(lookupCount, 0);
});
