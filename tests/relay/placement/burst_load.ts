/**
 * Simulates a burst of streams in virtual time, with several hosts that each
 * run a scheduler and a simple model of the engines. Returns what the callers
 * see.
 *
 * Engine figures are those of the users' data sheets: prompts are prefilled one
 * after another at 33 tokens a ms; a run produces a token each 2.8 ms and holds
 * its prompt and its output so far.
 */

import type {Route, Service} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createEngineLoads} from '../../../src/relay/placement/engine_loads.js';
import {
  createEngineScheduler,
  type EngineScheduler,
} from '../../../src/relay/placement/engine_scheduler.js';
import type {Placement} from '../../../src/relay/placement/placement_types.js';
import type {HostCapacity} from '../../../src/relay/fleet/host_capacity.js';
import type {Peer} from '../../../src/relay/fleet/peer_datagrams.js';
import {createPlacementClient} from '../../../src/relay/placement/placement_client.js';
import {createPlacementServer} from '../../../src/relay/placement/placement_server.js';
import type {PlacementMessage} from '../../../src/relay/placement/placement_messages.js';
import {createPlacementGroups} from '../../../src/relay/placement/placement_groups.js';
import {createPeerView} from '../../../src/relay/placement/peer_view.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {createSharedStatistics} from '../../../src/relay/placement/shared_statistics.js';
import {toWaiting} from '../../../src/relay/placement/wait_rules.js';
import {silentLog} from '../../support/silent_log.js';
import {oneGroup} from './one_group.js';
import {revisionAt} from '../../support/store_revisions.js';

export interface BurstOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Streams a second before and after the burst, and in it. */
  readonly calmPerS: number;
  readonly burstPerS: number;
  readonly burstMs: number;
  /** Whether many hosts use engines by groups; true by default. */
  readonly hasGroups?: boolean;
  /** How long hosts collect changes before they announce them. */
  readonly announceMs?: number;
  /** Hosts that do not answer requests. */
  readonly silentHosts?: readonly string[];
  /** What a host knows of another's capacity, or of its own. */
  capacityOf?(knownBy: string, hostId: string): HostCapacity | undefined;
  /** From this time on, every host knows what `host-0` knows. */
  readonly agreeAfterMs?: number;
}

export interface BurstResult {
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Most memory that any engine held, as a share of its capacity. */
  readonly highestUse: number;
  /** Longest time that a request waited before it was refused. */
  readonly longestHeldMs: number;
  /** Engines on which any host still reserves anything at the end. */
  readonly usedAtEnd: number;
}

const KV_TOKENS = 35_962;
const READ_TOKENS_PER_MS = 33;
const TOKEN_MS = 2.8;
const FIRST_EVENT_MS = 110;
const CALM_MS = 3_000;
const DRAIN_MS = 16_000;
const ANNOUNCE_MS = 6;
/** Delay of a datagram between failure domains. */
const MESSAGE_MS = 3;
/** Period of the announcements to hosts of other groups, for each host. */
const REPEAT_PER_HOST_MS = 12;
const GOAL_MS = 900;
const TOKENS_PER_EVENT = 18;

const service: Service = {
  name: 'drafts',
  healthPath: '/healthz',
  maxConnections: 300,
  engine: {
    slots: 48,
    kvTokens: KV_TOKENS,
    tokensPerEvent: TOKENS_PER_EVENT,
    prefillLifeMs: 500,
    roleChangeMs: 6_000,
  },
};

const route: Route = {
  name: 'draft',
  host: 'raamatud.example',
  prefix: '/mustand/',
  kind: 'stream',
  targets: [{service: 'drafts', weight: 1}],
  maxAttempts: 1,
  timeoutMs: 14_000,
  goalMs: GOAL_MS,
  gapGoalMs: 300,
  priority: 1,
  isResumable: false,
  isPublic: false,
};

/** The placer, so that a test can silence it. */
export function placersOf({hostCount}: BurstOptions): readonly string[] {
  const groups = createPlacementGroups({
    hostId: 'host-0',
    isReady: () => true,
    peers: () =>
      Array.from({length: hostCount - 1}, (_, i) => ({
        hostId: `host-${i + 1}`,
        isReady: true,
      })),
    engines: () => [],
    usedEngineIds: () => [],
  });
  return groups.placers().slice(0, 1);
}

export async function simulateBurst(
  options: BurstOptions,
): Promise<BurstResult> {
  const clock = createVirtualClock(10_000);
  const random = createSeededRandom(options.seed);
  const held = new Map<string, number>();
  const readerFreeAtMs = new Map<string, number>();
  const result = {
    onTime: 0,
    late: 0,
    refused: 0,
    highestUse: 0,
    longestHeldMs: 0,
    usedAtEnd: 0,
  };
  const agreeAtMs = clock.nowMs() + (options.agreeAfterMs ?? 0);
  const capacityOf = (knownBy: string, hostId: string) =>
    options.capacityOf?.(
      clock.nowMs() < agreeAtMs ? knownBy : 'host-0',
      hostId,
    );

  const upstreams = [
    ...Array.from({length: options.prefillEngines}, (_, i) => `p${i}`),
    ...Array.from({length: options.decodeEngines}, (_, i) => `d${i}`),
  ].map(id => ({
    id,
    service: 'drafts',
    address: `${id}:1`,
    name: id,
    failureDomain: `domain-${id.length % 2}`,
    slots: 48,
    isDraining: false,
    heartbeat: revisionAt(1),
    role: id.startsWith('p') ? ('prefill' as const) : ('decode' as const),
  }));

  const hosts = Array.from({length: options.hostCount}, (_, i) =>
    makeHost(`host-${i}`),
  );

  function makeHost(hostId: string) {
    const registry = createUpstreamRegistry({clock, log: silentLog});
    registry.apply({revision: revisionAt(1), upstreams});
    const engineLoads = createEngineLoads();
    const statistics = createSharedStatistics({clock});
    const groups =
      options.hasGroups === false
        ? oneGroup
        : createPlacementGroups({
            hostId,
            isReady: () => true,
            capacity: () => capacityOf(hostId, hostId),
            peers: () =>
              Array.from({length: options.hostCount}, (_, i) => `host-${i}`)
                .filter(id => id !== hostId)
                .map(id => ({
                  hostId: id,
                  isReady: true,
                  capacity: capacityOf(hostId, id),
                })),
            engines: () => upstreams,
            usedEngineIds: engineLoads.usedEngineIds,
          });
    if ('refresh' in groups) {
      clock.setTimer(options.agreeAfterMs ?? 0, groups.refresh);
    }
    const view = createPeerView({clock, engineLoads, groups});
    let isAnnouncing = false;
    const scheduler: EngineScheduler = createEngineScheduler({
      clock,
      random,
      log: silentLog,
      registry,
      engineLoads,
      statistics,
      peers: view,
      groups,
      isChanging: () => false,
      isPaused: () => false,
      onChange() {
        if (isAnnouncing) return;
        isAnnouncing = true;
        clock.setTimer(options.announceMs ?? ANNOUNCE_MS, () => {
          isAnnouncing = false;
          announce(groups.isUpdatedAtOnce);
        });
      },
    });

    function send(to: string, message: PlacementMessage): void {
      clock.setTimer(MESSAGE_MS, () => {
        const other = hosts.find(each => each.hostId === to);
        if (!other || options.silentHosts?.includes(to)) return;
        if (message.kind === 'ask' || message.kind === 'withdraw') {
          other.server.receive(hostId, message);
        } else {
          other.client.receive(hostId, message);
        }
      });
    }

    const client = createPlacementClient({
      clock,
      log: silentLog,
      hostId,
      firstAskId: 1,
      scheduler,
      registry,
      placers: groups.placers,
      send,
    });
    const server = createPlacementServer({
      clock,
      scheduler,
      statistics,
      findService: name => (name === service.name ? service : undefined),
      send,
    });

    function repeat(): void {
      announce(() => true);
      clock.setTimer(REPEAT_PER_HOST_MS * options.hostCount, repeat);
    }

    function announce(isReached: (hostId: string) => boolean): void {
      const peer: Peer = {
        hostId,
        peerAddress: `${hostId}:1`,
        incarnation: '1',
        heardAtMs: clock.nowMs(),
        state: 'ready',
        callerAddress: `${hostId}:80`,
        failureDomain: 'domain-0',
        routingVersion: 1,
        upstreamRevision: revisionAt(1),
        upstreamAges: {readAgeMs: 0, ageMs: 0},
        upstreamDigest: 0,
        listDeltas: [],
        routingAges: {readAgeMs: 0, ageMs: 0},
        isStoreReachable: true,
        load: engineLoads.ownLoad(),
        waiting: view.toWaitingRecords(scheduler.waitingRequests()),
        suspects: [],
        full: [],
        unreachable: [],
        changing: [],
        learned: statistics.ownSums(),
        losses: [],
        adoptedAskIds: client.adoptedAskIds(),
        spending: [],
        aliveMs: 0,
      };
      for (const other of hosts) {
        if (other.hostId === hostId || !isReached(other.hostId)) continue;
        other.view.applyPeer(peer);
        other.server.releaseAdopted(hostId, peer.adoptedAskIds);
        if (other.groups.placers().length > 0)
          other.scheduler.processQueueSoon();
        else other.scheduler.processQueue();
      }
    }

    clock.setTimer(Number(hostId.slice('host-'.length)), repeat);
    return {
      hostId,
      engineLoads,
      statistics,
      groups,
      view,
      scheduler,
      client,
      server,
    };
  }

  const wait = (durationMs: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(durationMs, resolve);
    });

  /** Prefills the prompt after those that came before it. */
  async function read(engineId: string, tokens: number): Promise<void> {
    const nowMs = clock.nowMs();
    const startMs = Math.max(nowMs, readerFreeAtMs.get(engineId) ?? 0);
    const endMs = startMs + tokens / READ_TOKENS_PER_MS;
    readerFreeAtMs.set(engineId, endMs);
    await wait(endMs - nowMs);
  }

  function hold(engineId: string, tokens: number): void {
    const total = (held.get(engineId) ?? 0) + tokens;
    held.set(engineId, total);
    result.highestUse = Math.max(result.highestUse, total / KV_TOKENS);
  }

  async function decode(
    host: (typeof hosts)[number],
    placement: Placement,
    promptTokens: number,
    outputTokens: number,
    arrivedAtMs: number,
  ): Promise<void> {
    const {decode: engine, run} = placement;
    hold(engine.id, promptTokens);
    await wait(FIRST_EVENT_MS);
    const firstMs = clock.nowMs() - arrivedAtMs;
    if (firstMs <= GOAL_MS) result.onTime++;
    else result.late++;
    for (let made = 0; made < outputTokens; made += TOKENS_PER_EVENT) {
      await wait(TOKENS_PER_EVENT * TOKEN_MS);
      hold(engine.id, TOKENS_PER_EVENT);
      host.engineLoads.setOutputTokens(run, made + TOKENS_PER_EVENT);
    }
    const made = Math.ceil(outputTokens / TOKENS_PER_EVENT) * TOKENS_PER_EVENT;
    hold(engine.id, -(promptTokens + made));
    host.scheduler.release(run);
  }

  async function request(): Promise<void> {
    const host = hosts[random.nextInt(hosts.length)];
    const arrivedAtMs = clock.nowMs();
    const spread = (mean: number, width: number) =>
      mean * (1 - width + 2 * width * random.nextFloat());
    const promptTokens = spread(3_200, 0.6);
    const outputTokens = spread(1_278, 0.7);
    const startMs = host.statistics.meanStartMs();
    const placement = await host.client.place(
      {
        requestId: String(arrivedAtMs),
        service,
        promptTokens,
        expectedOutputTokens: outputTokens * spread(1, 0.4),
        waiting: toWaiting({
          route,
          arrivedAtMs,
          deadlineAtMs: arrivedAtMs + route.timeoutMs,
          startMs,
        }),
        startMs,
        callerLeftMs: route.timeoutMs,
      },
      createCancellation(),
    );
    if (placement.kind !== 'placed') {
      result.refused++;
      const heldMs = clock.nowMs() - arrivedAtMs;
      result.longestHeldMs = Math.max(result.longestHeldMs, heldMs);
      return;
    }
    await read(placement.prefillReservation.engineId, promptTokens);
    placement.prefillReservation.end();
    await decode(host, placement, promptTokens, outputTokens, arrivedAtMs);
  }

  async function offer(perS: number, durationMs: number): Promise<void> {
    const endMs = clock.nowMs() + durationMs;
    while (clock.nowMs() < endMs) {
      void request();
      await wait((-Math.log(1 - random.nextFloat()) * 1_000) / perS);
    }
  }

  const done = (async () => {
    await offer(options.calmPerS, CALM_MS);
    await offer(options.burstPerS, options.burstMs);
    await offer(options.calmPerS, CALM_MS);
  })();
  await clock.advance(2 * CALM_MS + options.burstMs + DRAIN_MS);
  await done;
  const used = hosts.flatMap(each => each.engineLoads.usedEngineIds());
  return {...result, usedAtEnd: new Set(used).size};
}
