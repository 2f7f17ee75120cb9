/** Streams that have neither a length nor chunks and end with their connection. */

import assert from 'node:assert/strict';
import type http from 'node:http';
import net from 'node:net';
import {afterEach, beforeEach, describe, test} from 'node:test';
import type {
  EngineStandIn,
  StreamBreak,
} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createSite,
  HOST,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  wait,
  type Entry,
  type Site,
  type SiteAnswer,
} from './relay_site.js';

const ONCE = '/mustand/1';
const RESUMABLE = '/lisa/1';
const EVENT_COUNT = 12;
const AFTER_EVENTS = 3;
const CALL_COUNT = 4;
const draft = {method: 'POST', body: 'rida=1', headers: PROMPT_HEADERS};

const formatEvent = (id: number) => `id: ${id}\ndata: token-${id}\n\n`;
const WHOLE_STREAM = Array.from({length: EVENT_COUNT}, (_, i) =>
  formatEvent(i + 1),
).join('');

const BREAKS: Readonly<Record<string, StreamBreak>> = {
  'inside a line': {afterEvents: AFTER_EVENTS, restBytes: 12},
  'one line feed early': {
    afterEvents: AFTER_EVENTS,
    restBytes: -1,
  },
  'inside an event, by a reset': {
    afterEvents: AFTER_EVENTS,
    restBytes: 12,
    isReset: true,
  },
};

let site: Site;
let engines: readonly EngineStandIn[];
let entry: Entry;

beforeEach(async () => {
  site = await createSite();
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  engines = await Promise.all(
    ['d-1', 'd-2'].map(id =>
      site.addUpstream({
        id,
        service: 'drafts',
        role: 'decode',
        eventCount: EVENT_COUNT,
      }),
    ),
  );
  for (const engine of engines) engine.setUnframed(true);
  site.configure(makeConfiguration());
  entry = await site.addEntry();
  await untilReady(site, entry);
});

afterEach(() => site.close());

/** Reads nothing for a while after the head of the answer has arrived. */
function readSlowly(request: http.ClientRequest): void {
  request.prependListener('response', response => {
    response.pause();
    setTimeout(() => response.resume(), 300);
  });
}

function callInTurn(
  path: string,
  options: Parameters<Site['call']>[2],
): Promise<readonly SiteAnswer[]> {
  return Promise.all(
    Array.from({length: CALL_COUNT}, async (_, i) => {
      await wait(20 * i);
      return site.call(entry, path, options);
    }),
  );
}

describe('a stream without length that its engine breaks off does not end as complete', () => {
  // Guards against an answer that is framed as complete and is not: the engine
  // closes the connection inside an event, which is taken for its normal end.
  for (const [where, how] of Object.entries(BREAKS)) {
    for (const [reader, onStart] of Object.entries({
      'a caller': undefined,
      'a caller that reads slowly': readSlowly,
    })) {
      test(`${where}, to ${reader}`, async () => {
        for (const engine of engines) engine.setBreakOff(how);
        const answers = await callInTurn(ONCE, {...draft, onStart});
        for (const {isCut, body} of answers) {
          assert.ok(isCut, `complete: ${JSON.stringify(body)}`);
          assert.ok(WHOLE_STREAM.startsWith(body));
        }
        assert.equal(
          engines.flatMap(({runs}) => runs).length,
          CALL_COUNT,
          'a stream that is not resumable ran twice',
        );
      });
    }

    test(`${where}, where it is resumed at another engine`, async () => {
      engines[0].setBreakOff(how);
      const answers = await callInTurn(RESUMABLE, draft);
      for (const {isCut, body} of answers) {
        assert.equal(body, WHOLE_STREAM);
        assert.ok(!isCut);
      }
      assert.ok(engines[0].runs.length > 0, 'no stream broke off');
    });
  }
});

for (const path of [ONCE, RESUMABLE]) {
  test(`a sound stream without length is whole, ${path}`, async () => {
    const answers = await callInTurn(path, draft);
    for (const {isCut, body} of answers) {
      assert.equal(body, WHOLE_STREAM);
      assert.ok(!isCut);
    }
  });
}

/** Sends a call of HTTP/1.0; resolves with whether its connection was reset. */
function isResetForOldCaller(): Promise<boolean> {
  const [host, port] = entry.settings.callerAddress.split(':');
  const socket = net.connect(Number(port), host);
  const headers = Object.entries({
    ...PROMPT_HEADERS,
    Host: HOST,
    'X-Request-Id': 'old-caller',
    'X-Deadline-Ms': '5000',
    'Content-Length': '0',
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`POST ${ONCE} HTTP/1.0\r\n${headers.join('')}\r\n`);
  socket.resume();
  return new Promise(resolve => {
    socket.on('error', () => resolve(true));
    socket.on('end', () => resolve(false));
  });
}

test('a caller of HTTP/1.0 sees a stream that broke off end by a reset', async () => {
  // Guards against an answer that looks complete: without chunks, the end of
  // the connection is the end of the answer.
  assert.equal(await isResetForOldCaller(), false);
  for (const engine of engines) engine.setBreakOff(BREAKS['inside a line']);
  assert.equal(await isResetForOldCaller(), true);
});
