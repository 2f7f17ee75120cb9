import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRawFront, post, until, type RawConnection} from './raw_front.js';

const KB = 1024;

const sized = (bytes: number, body = '') =>
  post([`Content-Length: ${bytes}`], body);
const chunked = (body: string) => post(['Transfer-Encoding: chunked'], body);

function assertRefused(connection: RawConnection, status: number): void {
  const received = connection.received();
  assert.ok(received.startsWith(`HTTP/1.1 ${status}`), received);
  assert.match(received, /\r\nConnection: close\r\n/);
}

// Guards against bodies that are read without room for them.
for (const [name, text] of Object.entries({
  'with a length': sized(65 * KB),
  'in chunks': chunked(
    `${(65 * KB).toString(16)}\r\n${'x'.repeat(65 * KB)}\r\n`,
  ),
})) {
  test(`a body ${name} for which there is no room is refused`, async t => {
    const front = await createRawFront(t, {maxHeldBytes: 64 * KB});
    const connection = await front.connect(text);
    await connection.receives('host-overloaded');
    assertRefused(connection, 503);
    assert.match(connection.received(), /\r\nRetry-After: 0.020\r\n/);
    assert.deepEqual(front.bodies, []);
  });
}

test('a body whose declared length is over the limit is refused before it is sent', async t => {
  const front = await createRawFront(t, {maxBodyBytes: KB});
  const connection = await front.connect(sized(KB + 1));
  await connection.receives('body-too-large');
  assertRefused(connection, 413);
});

test('the status 100 is sent only if the body will be read', async t => {
  const front = await createRawFront(t, {maxHeldBytes: 64 * KB});
  const expecting = (bytes: number) =>
    post([`Content-Length: ${bytes}`, 'Expect: 100-continue']);
  const admitted = await front.connect(expecting(2));
  await admitted.receives('100 Continue');
  admitted.socket.write('ab');
  await admitted.receives('200 OK');
  const refused = await front.connect(expecting(65 * KB));
  await refused.receives('host-overloaded');
  assertRefused(refused, 503);
  assert.deepEqual(front.bodies, ['ab']);
});

test('a refused body without end is not read for ever', async t => {
  const front = await createRawFront(t, {maxBodyBytes: KB});
  const connection = await front.connect(chunked(''));
  const {socket} = connection;
  const chunk = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
  const write = () => {
    while (socket.write(chunk));
  };
  socket.on('drain', write);
  write();
  await connection.receives('body-too-large');
  assertRefused(connection, 413);
  await front.clock.advance(1_100);
  await connection.isClosed();
});

test('what follows a refused body is not run', async t => {
  const front = await createRawFront(t, {maxBodyBytes: KB});
  const body = 'x'.repeat(2 * KB);
  const connection = await front.connect(
    sized(2 * KB, body) + sized(1, 'y') + sized(1, 'z'),
  );
  await connection.receives('body-too-large');
  connection.socket.end();
  await connection.isClosed();
  assert.deepEqual(front.bodies, []);
  assert.equal(connection.received().split('HTTP/1.1').length, 2);
});

// Guards against a body that stops before its end and is held for ever.
for (const [name, waitMs, timeoutMs] of [
  ['for the idle timeout', undefined, 3_000],
  ['until the caller no longer waits', 800, 800],
] as const) {
  test(`a body that stands still ${name} is refused`, async t => {
    const front = await createRawFront(t, {waitMs});
    const connection = await front.connect(sized(10, '123456789'));
    await until(() => front.memory.holderCount('upload') > 0);
    await front.clock.advance(timeoutMs - 1);
    assert.equal(connection.received(), '');
    await front.clock.advance(1);
    await connection.receives('body-timeout');
    assertRefused(connection, 408);
    assert.deepEqual(front.bodies, []);
    assert.equal(front.memory.holderCount('upload'), 0);
  });
}

test('uploads that stand still make room for others', async t => {
  const front = await createRawFront(t, {maxHeldBytes: 160 * KB});
  const stalled = await front.connect(sized(64 * KB, 'x'));
  await until(() => front.memory.holderCount('upload') > 0);
  await front.clock.advance(1_000);
  const sound = await front.connect(sized(64 * KB, 'y'.repeat(64 * KB)));
  await sound.receives('200 OK');
  await stalled.receives('body-timeout');
});

test('a body is counted until its request has ended', async t => {
  let answerAll: () => void = () => undefined;
  const answered = new Promise<void>(resolve => (answerAll = resolve));
  const front = await createRawFront(t, {
    maxHeldBytes: 128 * KB,
    async handle(_, caller) {
      await answered;
      caller.begin(200, [], 0);
      caller.end();
    },
  });
  const text = sized(64 * KB, 'x'.repeat(64 * KB));
  const first = await front.connect(text);
  await until(() => front.bodies.length > 0);
  const second = await front.connect(text);
  await second.receives('host-overloaded');
  answerAll();
  await first.receives('200 OK');
  const third = await front.connect(text);
  await third.receives('200 OK');
  assert.equal(front.memory.holderCount('request'), 0);
});

test('large bodies leave room for requests without one', async t => {
  const front = await createRawFront(t, {maxHeldBytes: 1024 * KB});
  const uploads = await Promise.all(
    Array.from({length: 9}, () => front.connect(sized(105 * KB, 'x'))),
  );
  const isRefused = ({received}: RawConnection) =>
    received().includes('host-overloaded');
  await until(() => uploads.some(isRefused));
  const small = await front.connect(sized(1, 'y'));
  await small.receives('200 OK');
});

test('an upload that the account ends is refused', async t => {
  const front = await createRawFront(t, {maxHeldBytes: 128 * KB});
  const connection = await front.connect(sized(64 * KB, 'x'));
  await until(() => front.memory.holderCount('upload') > 0);
  front.memory.makeRoom(100 * KB);
  await connection.receives('host-overloaded');
  assertRefused(connection, 503);
});
