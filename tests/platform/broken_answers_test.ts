/**
 * Upstreams whose answers are none, on each way to a caller: directly, through a
 * peer, and in a prefill.
 */

import assert from 'node:assert/strict';
import {after, before, describe, test} from 'node:test';
import fc from 'fast-check';
import {createPlatformAdapters} from '../../platform/platform_adapters.js';
import type {SendFailure} from '../../src/ports/relay.js';
import type {RelayAdapters} from '../../src/relay/relay_adapters.js';
import {
  endAndResetAfter,
  resetAfter,
  type BreakOff,
} from '../support/break_off.js';
import {answersWith, nameLines, valueLines} from '../support/broken_heads.js';
import {
  createRawEngine,
  OK,
  type CallKind,
  type RawCall,
  type RawEngine,
} from './raw_engine.js';
import {
  createSite,
  makeConfiguration,
  PATHS,
  PROMPT_HEADERS,
  until,
  untilReady,
  type Entry,
  type Site,
  type SiteAnswer,
} from './relay_site.js';

const SEED = 87;
const RUNS = 60;
const EVENT = 'id: 1\ndata: token-1\n\n';
const STAMP = 'x-engine-stamp';
const MAX_BODY_BYTES = 4_194_304;
/** Below the ports of outgoing connections. */
const MIN_PEER_PORT = 30_000;
const PEER_PORT_COUNT = 2_500;

const WAYS = ['direct', 'through a peer'] as const;
type Way = (typeof WAYS)[number];

/** Each answer of the tests has the host call again where it may. */
const MANY_RETRIES = {retryRatio: 20, retrySlack: 100_000};

let site: Site;
const entries = new Map<Way, Entry>();
const engines: RawEngine[] = [];
/** The calls that `send` answers. */
let odd: readonly CallKind[] = [];
let send: (call: RawCall) => void;
let sentCount = 0;

function respond(call: RawCall): boolean {
  if (!odd.includes(call.kind)) return false;
  sentCount++;
  send(call);
  return true;
}

/** Adapters of a host without links to upstreams. */
function createCutAdapters(): RelayAdapters {
  const adapters = createPlatformAdapters();
  const unreachable: SendFailure = {kind: 'unreachable', detail: 'cut'};
  return {
    ...adapters,
    createUpstreamPort: host => ({
      ...adapters.createUpstreamPort(host),
      send: () => Promise.resolve(unreachable),
      prefill: () => Promise.resolve(unreachable),
      probe: () => Promise.resolve('no-answer'),
      report: () => Promise.resolve(undefined),
    }),
  };
}

async function addEngine(
  id: string,
  service: string,
  role?: 'prefill' | 'decode',
): Promise<void> {
  const engine = await createRawEngine({service, role, respond});
  engines.push(engine);
  site.store.put('servers', id, {
    version: 'v1',
    cold_left_ms: 0,
    seq: 1,
    ...engine.row,
    slots: 10_000,
  });
}

before(async () => {
  site = await createSite();
  await addEngine('l-1', 'ledger');
  await addEngine('d-1', 'drafts', 'decode');
  await addEngine('p-1', 'drafts', 'prefill');
  site.configure(makeConfiguration({limits: {max_body_bytes: MAX_BODY_BYTES}}));
  const direct = await site.addEntry(MANY_RETRIES);
  const port = MIN_PEER_PORT + (process.pid % PEER_PORT_COUNT);
  const cut = await site.addEntry(
    {
      ...MANY_RETRIES,
      seedAddresses: [direct.settings.peerAddress],
      // Peers know each other by the address that calls come from.
      peerAddress: `127.0.0.1:${port}`,
    },
    createCutAdapters(),
  );
  entries.set('direct', direct).set('through a peer', cut);
  for (const entry of entries.values()) await untilReady(site, entry);
  await until('calls through the peer', async () => {
    const answers = [PATHS['a call that runs once'], PATHS['a stream']].map(
      path => callSite('through a peer', path),
    );
    return (await Promise.all(answers)).every(({status}) => status === 200);
  });
});

after(async () => {
  await site.close();
  for (const engine of engines) engine.close();
});

function callSite(
  way: Way,
  path: string,
  body = 'rida=1',
): Promise<SiteAnswer> {
  return site.call(entries.get(way)!, path, {
    method: 'POST',
    body,
    headers: {...PROMPT_HEADERS, 'X-Deadline-Ms': '3000'},
  });
}

/** The stand-in answers one call on each connection. */
function sendBytes(text: string): void {
  send = ({socket, id}) =>
    void socket.end(Buffer.from(text.replaceAll('{id}', id), 'latin1'));
}

/** The upstream was asked, and the caller gets nothing of its answer. */
async function assertFailed(
  way: Way,
  path: string,
  body?: string,
): Promise<void> {
  sentCount = 0;
  const {status, headers} = await callSite(way, path, body);
  assert.ok(status >= 500, `${way}, ${path}: ${status}`);
  assert.equal(headers[STAMP], undefined);
  assert.ok(sentCount > 0, `${way}, ${path}: not sent`);
}

async function assertWhole(way: Way, path: string, body?: string) {
  const got = await callSite(way, path, body);
  assert.equal(got.status, 200, got.body);
  assert.equal(got.headers[STAMP], 'raw');
  assert.equal(got.isCut, false);
  assert.equal(got.body, EVENT);
}

/** Answers of both kinds of upstreams with the line in their head. */
const answersOf = (lines: fc.Arbitrary<string>) =>
  answersWith(lines, {
    fields: ['X-Engine-Stamp: raw', 'X-Request-Id: {id}'],
    body: EVENT,
  });
const brokenHeads = answersOf(fc.oneof(nameLines.broken, valueLines.broken));
const soundHeads = answersOf(fc.oneof(nameLines.sound, valueLines.sound));
const paths = fc.constantFrom(...Object.values(PATHS));
const ways = fc.constantFrom(...WAYS);
const STREAMS = [PATHS['a stream'], PATHS['a resumable stream']] as const;

const SOUND_REST = `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`;

/** How an upstream breaks off an answer to an upload. */
const BREAKS: Readonly<Record<string, BreakOff>> = {
  'a reset': resetAfter(5),
  'a later reset': resetAfter(50),
  'an end and a reset': endAndResetAfter(50),
};

function sendHalf(breakOff: BreakOff): void {
  send = ({socket, id}) => {
    socket.pause().write(`${OK.replace('{id}', id)}\r\n${EVENT}half`);
    breakOff(socket);
  };
}

describe('an answer with a broken head', () => {
  test('does not reach the caller', async () => {
    // Guards against callers that get such a line, or a body framed by it.
    odd = ['plain', 'decode'];
    await fc.assert(
      fc.asyncProperty(brokenHeads, ways, paths, (answer, way, path) => {
        sendBytes(answer.text);
        return assertFailed(way, path);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  test('in a prefill leaves the stream whole', async () => {
    // Guards against streams that go on from a result that there isn't.
    odd = ['prefill'];
    const streams = fc.constantFrom(...STREAMS);
    await fc.assert(
      fc.asyncProperty(brokenHeads, ways, streams, (answer, way, path) => {
        sendBytes(answer.text);
        return assertWhole(way, path);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  test("or a prefill result that can't be named to an engine leaves the stream whole", async () => {
    // Guards against streams that fail by the text of a result.
    odd = ['prefill'];
    for (const handle of ['a\x01b', 'a\r\nX-Odd: 1', '\u{1f600}']) {
      const body = JSON.stringify({kv_handle: handle});
      sendBytes(
        `${OK}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
      for (const way of WAYS) {
        for (const path of STREAMS) await assertWhole(way, path);
      }
    }
  });

  test('differs from one with unusual bytes, which is whole', async () => {
    // Guards against failing sound answers.
    odd = ['plain', 'decode'];
    await fc.assert(
      fc.asyncProperty(soundHeads, ways, paths, async (answer, way, path) => {
        sendBytes(answer.text);
        const {headers, body} = await callSite(way, path);
        assert.equal(
          headers[STAMP],
          'raw',
          JSON.stringify([answer, way, path]),
        );
        assert.equal(body, EVENT);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});

for (const way of WAYS) {
  describe(`${way}, an answer with a status that is none`, () => {
    for (const status of ['000', '099', '101', '600', '999']) {
      test(`does not reach the caller: ${status}`, async () => {
        // Guards against numbers that no caller can take for an outcome.
        odd = ['plain', 'decode'];
        sendBytes(OK.replace('200 OK', `${status} Odd`) + SOUND_REST);
        for (const path of Object.values(PATHS)) await assertFailed(way, path);
        odd = ['prefill'];
        for (const path of STREAMS) await assertWhole(way, path);
      });
    }
  });

  describe(`${way}, half an early answer to an upload`, () => {
    for (const [name, breakOff] of Object.entries(BREAKS)) {
      for (const size of [100_000, 4_000_000]) {
        test(`of ${size} bytes that breaks off by ${name} is not whole`, async () => {
          // Guards against an upstream that answers before it has read.
          const body = 'x'.repeat(size);
          sendHalf(breakOff);
          odd = ['plain', 'decode'];
          for (const path of Object.values(PATHS)) {
            // The connection may close before the head has left the host.
            const got = await callSite(way, path, body).catch(() => undefined);
            const isWhole = got && got.status < 500 && !got.isCut;
            assert.ok(!isWhole, `${path}: ${got?.status}`);
          }
          odd = ['prefill'];
          for (const path of STREAMS) await assertWhole(way, path, body);
        });
      }
    }
  });
}
