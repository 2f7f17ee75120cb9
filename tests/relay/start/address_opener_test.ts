import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createAddressOpener} from '../../../src/relay/start/address_opener.js';
import {createRecordingLog} from '../../support/recording_log.js';

const GIVE_UP_MS = 10_000;

/** Opens an address that fails with `code` for `failsForMs`. */
function play(code: string, failsForMs: number, endsAtMs = Infinity) {
  const clock = createVirtualClock();
  const log = createRecordingLog();
  const opener = createAddressOpener(
    {clock, log, isEnding: () => clock.nowMs() >= endsAtMs},
    {giveUpAfterMs: GIVE_UP_MS},
  );
  const triedAtMs: number[] = [];
  const own = {
    what: 'callers',
    address: '10.0.0.1:80',
    async open() {
      triedAtMs.push(clock.nowMs());
      if (clock.nowMs() >= failsForMs) return;
      throw Object.assign(new Error(`listen ${code}`), {code});
    },
  };
  return {clock, log, opener, own, triedAtMs};
}

const CASES = {
  'in use for a moment': {code: 'EADDRINUSE', failsForMs: 900, end: 'opens'},
  'in use for good': {
    code: 'EADDRINUSE',
    failsForMs: Infinity,
    end: 'The address for callers, 10.0.0.1:80, is in use by another socket (EADDRINUSE); gave up after 10 s.',
  },
  'added later': {code: 'EADDRNOTAVAIL', failsForMs: 3_000, end: 'opens'},
  'not permitted': {
    code: 'EACCES',
    failsForMs: 900,
    end: 'The address for callers, 10.0.0.1:80, may not be used by this user (EACCES).',
  },
  'a reason that is not known': {
    code: 'EOTHER',
    failsForMs: 900,
    end: 'The address for callers, 10.0.0.1:80, cannot be used: Error: listen EOTHER.',
  },
  'told to end': {
    code: 'EADDRINUSE',
    failsForMs: Infinity,
    endsAtMs: 2_000,
    end: 'Told to end before it served.',
  },
} as const;

for (const [name, {code, failsForMs, end, ...more}] of Object.entries(CASES)) {
  test(`an address that cannot be opened: ${name}`, async () => {
    const endsAtMs = 'endsAtMs' in more ? more.endsAtMs : Infinity;
    const {clock, log, opener, own, triedAtMs} = play(
      code,
      failsForMs,
      endsAtMs,
    );
    const ended = opener.open(own).then(
      () => 'opens',
      (error: Error) => error.message,
    );
    await clock.advance(GIVE_UP_MS + 1_000);
    assert.equal(await ended, end);
    assert.equal(clock.pendingCount(), 0);
    const pausesMs = triedAtMs.slice(1).map((atMs, i) => atMs - triedAtMs[i]);
    assert.ok(pausesMs.every(ms => ms >= 20 && ms <= 250));
    assert.ok(triedAtMs.at(-1)! <= Math.min(GIVE_UP_MS, endsAtMs) + 250);
    const lineCount = triedAtMs.length === 1 ? 0 : end === 'opens' ? 2 : 1;
    assert.equal(log.lines.length, lineCount);
  });
}

test('an address that is not needed is tried until the process stops', async () => {
  const {clock, opener, own, triedAtMs} = play('EADDRINUSE', Infinity);
  opener.openInBackground(own);
  await clock.advance(60_000);
  assert.ok(clock.nowMs() - triedAtMs.at(-1)! <= 2_000);
  opener.stop();
  assert.equal(clock.pendingCount(), 0);
});
