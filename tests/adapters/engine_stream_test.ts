import assert from 'node:assert/strict';
import http from 'node:http';
import type net from 'node:net';
import {test} from 'node:test';
import {createHttpEngineFactory} from '../../src/adapters/http_engine.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';
import {createSystemRandom} from '../../src/adapters/system_random.js';
import type {DecodeEvent} from '../../src/ports/engine.js';

const LINE = '[[1, 0, "to", "ken"], [1, "end", 2, "stop"]]\n';

/** An engine that answers the opening of a stream with `status`. */
function answerWith(status: number): http.RequestListener {
  return (message, response) => {
    message.resume();
    if (!message.url?.startsWith('/stream')) {
      response.end('{"isStarted": true}');
      return;
    }
    response.writeHead(status);
    response.write(LINE);
  };
}

async function decode(address: string): Promise<readonly DecodeEvent[]> {
  const host = {clock: createSystemClock(), random: createSystemRandom()};
  const engine = createHttpEngineFactory(host)(address);
  const events: DecodeEvent[] = [];
  await new Promise<void>(resolve => {
    const call = {
      owner: {entry: 'e#1', requestId: 'r1', attemptId: 'r1-1'},
      sessionId: 's1',
      maxTokens: 2,
      fromOffset: 0,
      priority: 0,
    };
    engine.decode(call, event => {
      events.push(event);
      if (event.kind !== 'tokens') resolve();
    });
  });
  return events;
}

for (const [status, kinds] of [
  [200, ['tokens', 'end']],
  [600, ['cut']],
  [999, ['cut']],
] as const) {
  test(`a token stream with the status ${status} gives ${kinds.join(', ')}`, async t => {
    // Guards against tokens of an engine whose answer is none.
    const server = http.createServer(answerWith(status));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    t.after(() => {
      server.close();
      server.closeAllConnections();
    });
    const {port} = server.address() as net.AddressInfo;
    const events = await decode(`127.0.0.1:${port}`);
    assert.deepEqual(
      events.map(({kind}) => kind),
      kinds,
    );
  });
}
