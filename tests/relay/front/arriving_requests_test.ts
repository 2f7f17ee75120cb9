import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRawFront, post, until} from './raw_front.js';

const upload = (bytes: number, body = '') =>
  post([`Content-Length: ${bytes}`], body);

test('a request that can not be answered in time is refused before its body is read', async t => {
  // Guards against uploads that a leaving host reads until it closes them.
  let isClosing = false;
  const front = await createRawFront(t, {
    refuseArriving: () =>
      isClosing ? {kind: 'shutting-down', detail: 'Leave.'} : undefined,
  });
  const whole = await front.connect(upload(3, 'one'));
  await whole.receives('200 OK');
  isClosing = true;
  const arriving = await front.connect(upload(100_000, 'x'));
  await arriving.receives('503 Service Unavailable');
  assert.deepEqual(front.bodies, ['one']);
});

test('a request that was not read whole is not counted as cut', async t => {
  // Guards against a host that reports a failure although nothing ran.
  let answerAll: () => void = () => undefined;
  const answered = new Promise<void>(resolve => (answerAll = resolve));
  const front = await createRawFront(t, {
    async handle(_, caller) {
      await answered;
      caller.begin(200, [], 0);
      caller.end();
    },
  });
  await front.connect(upload(100_000, 'x'));
  const running = await front.connect(upload(3, 'one'));
  await until(() => front.openCount() === 2 && front.bodies.length === 1);
  assert.equal(front.cutCount(), 1);
  answerAll();
  await running.receives('200 OK');
  await until(() => front.cutCount() === 0);
  assert.equal(front.openCount(), 1);
});
