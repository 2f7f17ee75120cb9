import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {createServiceShares} from '../../../src/relay/accounts/service_shares.js';
import {createSlotServer} from '../../../src/relay/plain/slot_server.js';
import {createPlainBalancer} from '../../../src/scheduling/plain_balancer.js';
import {revisionAt} from '../../support/store_revisions.js';

const SERVICE = 'ledger';
const USUAL = ['a', 'b', 'c', 'd', 'e'];
const USUAL_PER_S = 24;
const CALL_MS = 86;
const GOAL_MS = 390;
const DURATION_MS = 12_000;

/** Returns the share of the usual accounts' calls that are on time. */
async function playHotAccount(hotPerS: number, seed: number): Promise<number> {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const upstreams: Upstream[] = [1, 2, 3].map(i => ({
    id: `u${i}`,
    name: `u${i}`,
    service: SERVICE,
    address: `10.0.0.${i}:80`,
    failureDomain: 'd',
    slots: 6,
    isDraining: false,
    heartbeat: revisionAt(1),
  }));
  const balancer = createPlainBalancer(
    {clock, random},
    {ownFailureDomain: 'd'},
  );
  balancer.setUpstreams(
    SERVICE,
    upstreams.map(each => ({...each, upstreamId: each.id})),
  );
  const shares = createServiceShares({clock, weightOf: () => 1});
  const sentAtMs = new Map<number, number>();
  const usualIds = new Set<number>();
  let onTime = 0;
  const server = createSlotServer({
    hostId: 'keeper',
    clock,
    random,
    balancer,
    open: () => upstreams,
    maxCallsAt: () => 6,
    isOverShare: shares.isOverShare,
    onStarted: (service, account) => shares.record(service, account, 1),
    send(_, answer) {
      if (answer.kind !== 'slot-given') return;
      const {askId} = answer;
      const durationMs = CALL_MS * (0.5 + random.nextFloat());
      clock.setTimer(durationMs, () => {
        const tookMs = clock.nowMs() - sentAtMs.get(askId)!;
        if (usualIds.has(askId) && tookMs <= GOAL_MS) onTime++;
        const kind = 'slot-end';
        server.receive('h', {kind, askId, result: 'ok', durationMs});
      });
    },
  });
  let askId = 0;
  function send(account: string, perS: number): void {
    if (clock.nowMs() >= DURATION_MS) return;
    const id = ++askId;
    sentAtMs.set(id, clock.nowMs());
    if (account !== 'hot') usualIds.add(id);
    server.receive('h', {
      kind: 'slot-ask',
      askId: id,
      service: SERVICE,
      avoid: [],
      ageMs: 0,
      onTimeMs: GOAL_MS - CALL_MS,
      giveUpMs: 1_400,
      account,
    });
    const gapMs = (-Math.log(1 - random.nextFloat()) * 1_000) / perS;
    clock.setTimer(gapMs, () => send(account, perS));
  }
  for (const account of USUAL) send(account, USUAL_PER_S);
  if (hotPerS > 0) send('hot', hotPerS);
  await clock.advance(DURATION_MS + 3_000);
  return onTime / usualIds.size;
}

test('an account that sends many times its usual does not make the calls of others late', async () => {
  // Load: 18 slots carry some 210 calls a second; five accounts send 120 and
  // one more sends up to 300.
  for (const seed of [1, 2, 3]) {
    const calm = await playHotAccount(0, seed);
    const hot = await playHotAccount(300, seed);
    assert.ok(calm > 0.97, String(calm));
    assert.ok(hot > calm - 0.03, JSON.stringify({seed, calm, hot}));
  }
});
