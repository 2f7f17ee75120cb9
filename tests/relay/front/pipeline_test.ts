import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {after, test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {RelayRequest} from '../../../src/ports/relay.js';
import type {Caller} from '../../../src/relay/front/caller.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {
  createRelayFront,
  type RelayFront,
  type RelayFrontHost,
} from '../../../src/relay/front/relay_front.js';
import {PIPELINE_OPTIONS} from '../../../src/relay/front/pipeline.js';
import {findFreeAddress} from '../../support/free_address.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {
  createUnlimitedConnections,
  noMetrics,
} from '../limits/resources_stand_in.js';
import {silentLog} from '../../support/silent_log.js';

interface Handled {
  readonly request: RelayRequest;
  readonly caller: Caller;
  isDisconnected: boolean;
}

const {maxRunning: MAX_RUNNING} = PIPELINE_OPTIONS;
const closers: Array<() => void> = [];
after(() => closers.forEach(close => close()));

/** A front, one connection to it, and the requests that it lets run. */
async function startFront({isLeaving = false, memoryMb = 10_000} = {}) {
  const clock = createVirtualClock(1_000);
  const handled: Handled[] = [];
  const shared = {
    clock,
    log: silentLog,
    metrics: noMetrics,
    resources: makeResourceLimits({memoryMb}),
  };
  const host: RelayFrontHost = {
    ...shared,
    bodies: createBodyReader(shared),
    connections: createUnlimitedConnections(),
    reader: {
      read: headers => ({
        requestId: headers[headers.length - 1],
        forwarded: [],
      }),
    },
    relay: {
      activeCount: () => handled.length,
      async handle(request, caller) {
        const each = {request, caller, isDisconnected: false};
        handled.push(each);
        caller.onDisconnect(() => (each.isDisconnected = true));
        const isStream = request.target === '/stream';
        caller.noteShape(isStream ? 'in-parts' : 'whole');
      },
    },
    buffers: {
      noteBlocked: () => undefined,
      noteFree: () => undefined,
      bufferedBytes: () => 0,
    },
    limits: () => undefined,
    isLeaving: () => isLeaving,
    refuseArriving: () => undefined,
  };
  const front: RelayFront = createRelayFront(host);
  const address = await findFreeAddress();
  await front.listen(address);
  const [ip, port] = address.split(':');
  const socket = net.connect(Number(port), ip);
  await once(socket, 'connect');
  let received = '';
  let isClosed = false;
  socket.on('data', bytes => (received += String(bytes)));
  socket.on('error', () => undefined);
  socket.on('close', () => (isClosed = true));
  closers.push(() => {
    socket.destroy();
    front.close();
  });
  return {
    clock,
    front,
    socket,
    handled,
    received: () => received,
    isClosed: () => isClosed,
    send(...targets: readonly string[]) {
      const texts = targets.map(
        (target, i) =>
          `GET ${target} HTTP/1.1\r\nHost: x\r\nX-Request-Id: q${i}\r\n\r\n`,
      );
      socket.write(texts.join(''));
    },
  };
}

const answer = ({caller}: Handled, text: string) => {
  caller.begin(200, [], text.length);
  caller.write(Buffer.from(text));
  caller.end();
};
const settle = () => new Promise(resolve => setTimeout(resolve, 30));
const countOf = (text: string, part: string) => text.split(part).length - 1;

test('answers to requests that were sent ahead leave in their order', async () => {
  const {send, handled, received} = await startFront();
  send('/a', '/b', '/c');
  await settle();
  answer(handled[2], 'third');
  handled[1].caller.begin(200, []);
  assert.equal(handled[1].caller.write(Buffer.from('second,')), false);
  let isWritable = false;
  handled[1].caller.onWritable(() => (isWritable = true));
  await settle();
  assert.equal(received(), '');
  answer(handled[0], 'first');
  await settle();
  assert.equal(isWritable, true);
  handled[1].caller.write(Buffer.from('rest'));
  handled[1].caller.end();
  await settle();
  const places = ['first', 'second,', 'rest', 'third'].map(each =>
    received().indexOf(each),
  );
  assert.ok(places[0] >= 0);
  assert.deepEqual(
    places,
    [...places].sort((a, b) => a - b),
  );
});

test('a bounded number of requests of one connection runs at once', async () => {
  // Guards against one caller that takes all memory and processor time of a host.
  const {send, handled, received} = await startFront();
  const count = 2_000;
  send(...Array.from({length: count}, () => '/a'));
  await settle();
  assert.equal(handled.length, MAX_RUNNING);
  for (let i = 0; i < count; i++) {
    while (!handled[i]) await settle();
    assert.ok(handled.length - i <= MAX_RUNNING);
    answer(handled[i], `no-${i}.`);
  }
  while (!received().endsWith(`no-${count - 1}.`)) await settle();
  const order = [...received().matchAll(/no-(\d+)\./g)].map(each => +each[1]);
  assert.deepEqual(
    order,
    Array.from({length: count}, (_, i) => i),
  );
});

test('answers that wait for their turn leave room for other requests', async () => {
  const {send, handled} = await startFront();
  send(...Array.from({length: 3 * MAX_RUNNING}, () => '/a'));
  await settle();
  for (let i = 1; i < MAX_RUNNING; i++) answer(handled[i], 'waits');
  await settle();
  assert.equal(handled.length, 2 * MAX_RUNNING - 1);
  const large = 'x'.repeat(PIPELINE_OPTIONS.maxHeldBytes);
  answer(handled[MAX_RUNNING], large);
  await settle();
  assert.equal(handled.length, 2 * MAX_RUNNING - 1);
  answer(handled[0], 'first');
  await settle();
  assert.equal(handled.length, 2 * MAX_RUNNING + 1);
});

test('a request behind a stream does not run until the stream has ended', async () => {
  // Guards against runs whose answer is lost as the stream ahead is cut.
  const {send, handled, clock} = await startFront();
  send('/stream', '/b');
  await settle();
  handled[0].caller.begin(200, []);
  handled[0].caller.write(Buffer.from('event'));
  await clock.advance(700);
  await settle();
  assert.equal(handled.length, 1);
  handled[0].caller.end();
  await settle();
  // Its wait counts from its arrival.
  assert.equal(handled[1].request.arrivedAtMs, 1_000);
});

test('a leaving host answers what arrives while the last answer is sent', async () => {
  // Guards against requests that are dropped for seconds behind a stream.
  const {send, handled, received, isClosed} = await startFront({
    isLeaving: true,
  });
  send('/a', '/stream');
  await settle();
  answer(handled[0], 'first');
  await settle();
  handled[1].caller.begin(200, []);
  handled[1].caller.write(Buffer.from('event'));
  await settle();
  send('/c');
  await settle();
  handled[1].caller.end();
  await settle();
  assert.equal(received().includes('Connection: close'), false);
  answer(handled[2], 'third');
  await settle();
  assert.equal(countOf(received(), 'Connection: close'), 1);
  assert.ok(received().endsWith('third'));
  assert.equal(isClosed(), true);
});

test('a caller that sends on while its connection closes gets the last answers', async () => {
  // Guards against a reset that discards answers that the caller has not read.
  const {send, socket, handled, received} = await startFront({isLeaving: true});
  send('/a', '/a');
  await settle();
  socket.pause();
  handled.forEach(each => answer(each, 'whole'));
  for (let i = 0; i < 3; i++) {
    await settle();
    send('/late');
  }
  await settle();
  socket.resume();
  await settle();
  assert.equal(countOf(received(), 'whole'), 2);
  assert.equal(handled.length, 2);
});

test('requests that are sent ahead are ended as their caller leaves', async () => {
  // Guards against upstreams at work for a caller that has gone, and against a
  // leaving host that waits for them.
  const {send, handled, socket, front} = await startFront();
  send(...Array.from({length: 70}, () => '/a'));
  await settle();
  answer(handled[1], 'held');
  socket.destroy();
  await settle();
  const left = handled.filter(({isDisconnected}) => !isDisconnected);
  assert.deepEqual(left, []);
  assert.equal(front.openCount(), 0);
});

test('an answer of which nothing was sent can be replaced until it is whole', async () => {
  // Guards against a connection that is closed for an answer behind others.
  const {send, handled, received} = await startFront();
  send('/a', '/b', '/c', '/stream');
  await settle();
  answer(handled[2], 'third');
  assert.equal(handled[2].caller.isReplaceable, false);
  for (const i of [1, 3]) {
    handled[i].caller.begin(200, []);
    handled[i].caller.write(Buffer.from('a part'));
    assert.equal(handled[i].caller.isReplaceable, true);
  }
  handled[1].caller.cut();
  handled[3].caller.refuse({kind: 'outcome-unknown', detail: ''});
  answer(handled[0], 'first');
  await settle();
  const statuses = [...received().matchAll(/HTTP\/1.1 (\d+)/g)];
  assert.deepEqual(
    statuses.map(each => each[1]),
    ['200', '502', '200', '504'],
  );
  assert.equal(received().includes('a part'), false);
});

test('a connection closes as a request for which there is no room is refused in its turn', async () => {
  // Guards against a host that is busy with refusals for one caller.
  const {send, handled, received, isClosed} = await startFront({memoryMb: 1});
  send(...Array.from({length: 60}, () => '/a'));
  await settle();
  assert.ok(handled.length > 0 && handled.length < MAX_RUNNING);
  assert.equal(received(), '');
  const ran = [...handled];
  ran.forEach(each => answer(each, 'ran'));
  while (!isClosed()) await settle();
  assert.equal(countOf(received(), ' 200 '), ran.length);
  assert.equal(countOf(received(), ' 503 '), 1);
  assert.equal(countOf(received(), 'Connection: close'), 1);
  assert.ok(received().lastIndexOf(' 200 ') < received().indexOf(' 503 '));
  assert.equal(handled.length, ran.length);
});

for (const [what, bytes] of Object.entries({
  'no request': 'no request\r\n\r\n',
  'a tunnel': 'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n',
  'a broken body':
    'POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
})) {
  test(`requests are answered although ${what} follows them`, async () => {
    // Guards against an error in place of the answer to another request.
    const {send, socket, handled, received, isClosed} = await startFront();
    send('/a', '/a');
    socket.write(bytes);
    await settle();
    handled.forEach(each => answer(each, 'whole'));
    await settle();
    assert.equal(countOf(received(), '\r\n\r\nwhole'), 2);
    assert.equal(
      countOf(received(), ' 400 '),
      what === 'a broken body' ? 1 : 0,
    );
    assert.equal(isClosed(), true);
  });
}

test('bytes that are no request are answered 400', async () => {
  const {socket, received, isClosed} = await startFront();
  socket.write('no request\r\n\r\n');
  await settle();
  assert.ok(received().startsWith('HTTP/1.1 400 '));
  assert.equal(isClosed(), true);
});
