import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {createMemoryBudget} from '../../../src/relay/limits/memory_budget.js';
import {silentLog} from '../../support/silent_log.js';
import {noMetrics} from '../limits/resources_stand_in.js';
import {createRawFront, post, until} from './raw_front.js';

const MB = 1024 * 1024;

test('requests that were sent ahead hold nothing once their connection closes', async t => {
  // Guards against an account that fills up until a host refuses all requests.
  let runningCount = 0;
  const front = await createRawFront(t, {
    async handle(_, caller) {
      runningCount++;
      caller.noteShape('whole');
    },
  });
  const text = post(['Content-Length: 2'], 'ab').repeat(8);
  const {socket} = await front.connect(text);
  await until(() => runningCount === 8);
  socket.destroy();
  await until(() => front.memory.holderCount('connection') === 0);
  assert.equal(front.memory.holderCount('request'), 0);
});

test('an answer over HTTP/1.0 that is ended for its memory does not look whole', async t => {
  const front = await createRawFront(t, {
    maxHeldBytes: MB,
    async handle(_, caller) {
      caller.begin(200, []);
      caller.write(Buffer.from('part'));
      await new Promise(() => undefined);
    },
  });
  const connection = await front.connect(
    'POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nab',
  );
  let hasEnded = false;
  connection.socket.on('end', () => (hasEnded = true));
  await connection.receives('part');
  front.memory.makeRoom(2 * MB);
  await connection.isClosed();
  assert.equal(hasEnded, false);
});

test('an upload that is ended as it is counted is refused', async () => {
  // Guards against an error of the host in place of a refusal.
  let maxBytes = 10 * MB;
  const memory = createMemoryBudget({
    maxHeldBytes: () => maxBytes,
    onEnded: () => undefined,
    onGrowth: () => (maxBytes = 1_024),
  });
  const reader = createBodyReader({
    clock: createVirtualClock(),
    log: silentLog,
    metrics: noMetrics,
    resources: {
      memory,
      toRefusal: detail => ({kind: 'host-overloaded', detail}),
    },
  });
  const message = Object.assign(new PassThrough(), {
    headers: {'content-length': String(3 * MB)},
    socket: new EventEmitter(),
  });
  const response = Object.assign(new EventEmitter(), {destroyed: false});
  const {error} = await reader.read(
    message as unknown as http.IncomingMessage,
    response as unknown as http.ServerResponse,
    {requestId: 'r', maxBytes: 4 * MB, waitMs: 1_000, end: () => undefined},
  );
  assert.equal(error?.kind, 'host-overloaded');
  assert.equal(memory.heldBytes(), 0);
});
