import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createSlotClient} from '../../../src/relay/plain/slot_client.js';
import type {SlotMessage} from '../../../src/relay/plain/slot_messages.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {createPlainBalancer} from '../../../src/scheduling/plain_balancer.js';
import {silentLog} from '../../support/silent_log.js';
import {makeUpstream} from '../store/store_site.js';
import {revisionAt} from '../../support/store_revisions.js';

const SERVICE = 'uus-pearaamat';
const KEEPER = 'keeper';

/** A slot client whose keeper always assigns the given upstream. */
function makeSlotClient(grantedId: string, keepers = [KEEPER]) {
  const clock = createVirtualClock(1_000);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  const random = createSeededRandom(1);
  const balancer = createPlainBalancer(
    {clock, random},
    {ownFailureDomain: 'raadi-ruum'},
  );
  registry.onChange(() =>
    balancer.setUpstreams(
      SERVICE,
      registry.open(SERVICE).map(({id, address, failureDomain}) => ({
        upstreamId: id,
        address,
        failureDomain,
      })),
    ),
  );
  const sent: SlotMessage[] = [];
  const slots = createSlotClient({
    clock,
    log: silentLog,
    firstAskId: 1,
    registry,
    balancer,
    keepers: () => keepers,
    hostCount: () => 20,
    sendToOwnPart: () => undefined,
    send(_, message) {
      sent.push(message);
      if (message.kind !== 'slot-ask') return;
      const {askId} = message;
      clock.setTimer(1, () =>
        slots.receive(KEEPER, {kind: 'slot-given', askId, upstream: grantedId}),
      );
    },
  });
  return {clock, registry, slots, sent};
}

for (const [state, isDraining] of [
  ['drains', true],
  ['has left', undefined],
] as const) {
  test(`a slot of an upstream that ${state} is not used`, async () => {
    // Guards against calls sent to an upstream that is leaving, by a host that
    // knows it, because the keeper has an older list and assigns slots of that
    // upstream.
    const {clock, registry, slots, sent} = makeSlotClient('a');
    const a = makeUpstream('a');
    const b = makeUpstream('b');
    registry.apply({revision: revisionAt(1), upstreams: [a, b]});
    registry.apply({
      revision: revisionAt(2),
      upstreams: isDraining ? [{...a, isDraining}, b] : [b],
    });
    const nowMs = clock.nowMs();
    const waiting = {
      arrivedAtMs: nowMs,
      onTimeUntilMs: nowMs + 100,
      giveUpAtMs: nowMs + 500,
    };
    const need = {requestId: 'r', service: SERVICE, waiting};
    const taking = slots.acquire(need, new Set(), createCancellation());
    await clock.advance(20);
    const slot = await taking;
    assert.equal(slot.kind, 'slot');
    assert.equal(slot.kind === 'slot' && slot.upstream.id, 'b');
    // The keeper is told that its slot is free.
    assert.equal(sent.at(-1)?.kind, 'slot-end');
  });
}

test('hosts without keepers choose at once and without a limit', async () => {
  // Guards against queues and messages in small deployments, where each host
  // chooses by itself.
  const {clock, registry, slots, sent} = makeSlotClient('a', []);
  const upstreams = [makeUpstream('a'), makeUpstream('b')];
  registry.apply({revision: revisionAt(1), upstreams});
  const nowMs = clock.nowMs();
  const times = {onTimeUntilMs: nowMs + 100, giveUpAtMs: nowMs + 500};
  const waiting = {arrivedAtMs: nowMs, ...times};
  const need = {requestId: 'r', service: SERVICE, waiting};
  for (let i = 0; i < 100; i++) {
    const slot = await slots.acquire(need, new Set(), createCancellation());
    assert.ok(slot.kind === 'slot' && !slot.hasQueue);
  }
  assert.equal(clock.nowMs(), nowMs);
  assert.equal(sent.length, 0);
});

test('calls that ran through a pause do not make the next ones hopeless', async () => {
  // Guards against calls refused for a mean duration of seconds at sound upstreams.
  const {clock, registry, slots} = makeSlotClient('a', []);
  const upstreams = [makeUpstream('a')];
  registry.apply({revision: revisionAt(1), upstreams});
  const waiting = {arrivedAtMs: 0, onTimeUntilMs: 0, giveUpAtMs: 0};
  const need = {requestId: 'r', service: SERVICE, waiting};
  const acquire = () => slots.acquire(need, new Set(), createCancellation());
  const usualMs = slots.meanCallMs(SERVICE);
  const calls = await Promise.all(Array.from({length: 8}, acquire));
  await clock.advance(1_500);
  for (const slot of calls) if (slot.kind === 'slot') slot.end('ok');
  assert.ok(slots.meanCallMs(SERVICE) < 2.5 * usualMs);
});
