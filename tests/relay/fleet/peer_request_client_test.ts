import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {
  createPeerRequestClient,
  type CorrelatedMessage,
} from '../../../src/relay/fleet/peer_request_client.js';
import {createPeerRequestServer} from '../../../src/relay/fleet/peer_request_server.js';
import {createFreezableClock} from './fleet_network.js';

test('an answer that arrived while the asking host was suspended counts', async () => {
  // Guards against grants that are lost, or given twice for one request.
  for (const [frozenAtMs, sentBefore] of [
    [1, 1],
    [30, 2],
    [55, 3],
  ]) {
    const clock = createVirtualClock();
    const ownClock = createFreezableClock(clock);
    const sent: CorrelatedMessage[] = [];
    const client = createPeerRequestClient<
      CorrelatedMessage,
      CorrelatedMessage
    >({
      clock: ownClock.host,
      firstAskId: 7,
      tell: (_, request) => void sent.push(request),
    });
    const answer = client.ask('owner', {});
    await clock.advance(frozenAtMs);
    ownClock.stop(2_000);
    // Due timers run before the datagrams that arrived meanwhile are read.
    await clock.advance(2_001);
    client.receive('owner', {askId: 7});
    assert.deepEqual(await answer, {askId: 7}, `frozen at ${frozenAtMs} ms`);
    assert.equal(sent.length, sentBefore);
  }
});

test('a peer that stays silent is given up after one more interval', async () => {
  const clock = createVirtualClock();
  const ownClock = createFreezableClock(clock);
  const client = createPeerRequestClient<CorrelatedMessage, CorrelatedMessage>({
    clock: ownClock.host,
    firstAskId: 7,
    tell: () => undefined,
  });
  const answer = client.ask('owner', {});
  await clock.advance(55);
  ownClock.stop(1_000);
  await clock.advance(1_030);
  assert.equal(await Promise.race([answer, 'waiting']), undefined);
});

test('an owner that was suspended decides once on a request that was sent again', () => {
  // Guards against permits and retries that are lost, since each copy of a
  // request is granted, however late it is read.
  const answers: string[] = [];
  let decided = 0;
  const server = createPeerRequestServer<CorrelatedMessage, CorrelatedMessage>({
    decide: (_, {askId}) => ({askId: askId + 100 * ++decided}),
    tell: (_, {askId}) => void answers.push(`${askId}`),
  });
  server.receive('asking', {askId: 7});
  server.receive('asking', {askId: 7});
  server.receive('asking', {askId: 8});
  assert.deepEqual(answers, ['107', '107', '208']);
});
