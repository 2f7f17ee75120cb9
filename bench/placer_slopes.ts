/**
 * `npm run bench -- placer_slopes`: measures the cost of a host that places
 * requests for others.
 *
 * One placer in virtual time serves entries that request placements, announce
 * their reservations and end their streams. Its CPU share is the real time of
 * its handlers; bytes are those of the messages as JSON.
 */

import {performance} from 'node:perf_hooks';
import type {Service} from '../src/core/routing_types.js';
import {createSeededRandom} from '../src/core/seeded_random.js';
import {createVirtualClock} from '../src/core/virtual_clock.js';
import {createEngineLoads} from '../src/relay/placement/engine_loads.js';
import {createEngineScheduler} from '../src/relay/placement/engine_scheduler.js';
import {createPlacementServer} from '../src/relay/placement/placement_server.js';
import type {
  PlacementAnswer,
  PlacementRequest,
} from '../src/relay/placement/placement_messages.js';
import {createSharedStatistics} from '../src/relay/placement/shared_statistics.js';
import {createUpstreamRegistry} from '../src/relay/store/upstream_registry.js';

const HOST_COUNTS: readonly number[] = [20, 79, 128];
/** Streams per second and engines, both per host, at a large site. */
const STREAMS_PER_HOST_S = 0.6;
const ENGINES_PER_HOST = 0.6;
const PREFILL_SHARE = 0.23;
const RUN_MS = 3_600;
const PREFILL_MS = 100;
const SIMULATED_MS = 60_000;
const KV_TOKENS = 25_865;

const log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const service: Service = {
  name: 'drafts',
  healthPath: '/healthz',
  maxConnections: 100,
  engine: {
    slots: 48,
    kvTokens: KV_TOKENS,
    tokensPerEvent: 18,
    prefillLifeMs: 500,
    roleChangeMs: 6_000,
  },
};

interface Figures {
  readonly streamsPerS: number;
  readonly messagesPerS: number;
  readonly kilobytesPerS: number;
  readonly corePercent: number;
}

async function simulate(hostCount: number): Promise<Figures> {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(hostCount);
  const registry = createUpstreamRegistry({clock, log});
  const engineCount = Math.round(hostCount * ENGINES_PER_HOST);
  registry.apply({
    revision: {era: 0, counter: 1},
    upstreams: Array.from({length: engineCount}, (_, i) => ({
      id: `engine-${i}`,
      name: `engine-${i}`,
      service: service.name,
      address: `10.0.0.${i}:1`,
      failureDomain: `domain-${i % 4}`,
      slots: 48,
      isDraining: false,
      heartbeat: {era: 0, counter: 1},
      role: i < engineCount * PREFILL_SHARE ? 'prefill' : 'decode',
    })),
  });
  const engineLoads = createEngineLoads();
  const statistics = createSharedStatistics({clock});
  const scheduler = createEngineScheduler({
    clock,
    random,
    log,
    registry,
    engineLoads,
    statistics,
    groups: {
      placers: () => ['placer'],
      keepers: () => [],
      groupCount: () => 1,
      isUpdatedAtOnce: () => false,
      isInOwnGroup: () => true,
      isPreferred: () => true,
      isPreferredBy: () => true,
      refresh: () => undefined,
    },
    peers: {
      waiting: () => [],
      isSuspect: () => false,
      isFull: () => false,
      isChanging: () => false,
      hasWaiters: () => false,
    },
    isChanging: () => false,
    isPaused: () => false,
    onChange: () => undefined,
  });
  let busyMs = 0;
  let messages = 0;
  let bytes = 0;

  /** Runs a handler of the placer and adds its time and message size. */
  function measureHandler(message: object, work: () => void): void {
    const text = JSON.stringify(message);
    messages++;
    bytes += text.length;
    const startedAtMs = performance.now();
    JSON.parse(text);
    work();
    busyMs += performance.now() - startedAtMs;
  }

  const entries = Array.from({length: hostCount}, (_, i) => ({
    hostId: `host-${i}`,
    engineLoads: createEngineLoads(),
    pendingRequests: new Map<number, PlacementRequest>(),
  }));
  const byId = new Map(entries.map(entry => [entry.hostId, entry]));
  const server = createPlacementServer({
    clock,
    scheduler,
    statistics,
    findService: () => service,
    send(hostId, message) {
      messages++;
      bytes += JSON.stringify(message).length;
      clock.setTimer(1, () => adopt(hostId, message as PlacementAnswer));
    },
  });

  function announceLoad(hostId: string, adopted: readonly number[]): void {
    const load = byId.get(hostId)!.engineLoads.ownLoad();
    measureHandler({load, adopted, from: hostId}, () => {
      engineLoads.setPeerLoad(hostId, load);
      server.releaseAdopted(hostId, adopted);
      scheduler.processQueueSoon();
    });
  }

  function adopt(hostId: string, answer: PlacementAnswer): void {
    const entry = byId.get(hostId)!;
    const pendingRequest = entry.pendingRequests.get(answer.askId);
    if (answer.kind !== 'placed' || !pendingRequest) return;
    entry.pendingRequests.delete(answer.askId);
    const run = entry.engineLoads.startRun({
      engineId: answer.decode,
      promptTokens: pendingRequest.promptTokens,
      expectedOutputTokens: pendingRequest.expectedOutputTokens,
    });
    announceLoad(hostId, [answer.askId]);
    clock.setTimer(PREFILL_MS, () => announceLoad(hostId, []));
    clock.setTimer(RUN_MS, () => {
      entry.engineLoads.endRun(run);
      announceLoad(hostId, []);
    });
  }

  let askId = 1;
  function startRequest(): void {
    const entry = entries[random.nextInt(entries.length)];
    const ask: PlacementRequest = {
      kind: 'ask',
      askId: askId++,
      requestId: `request-${askId}`,
      service: service.name,
      promptTokens: 1_500 + random.nextInt(3_400),
      expectedOutputTokens: 600 + random.nextInt(1_300),
      ageMs: 2,
      onTimeMs: 600,
      giveUpMs: 3_100,
      startMs: 250,
      callerLeftMs: 14_000,
    };
    entry.pendingRequests.set(ask.askId, ask);
    measureHandler(ask, () => server.receive(entry.hostId, ask));
    const gapMs = 1_000 / (STREAMS_PER_HOST_S * hostCount);
    clock.setTimer(-Math.log(1 - random.nextFloat()) * gapMs, startRequest);
  }

  startRequest();
  await clock.advance(SIMULATED_MS);
  const seconds = SIMULATED_MS / 1_000;
  return {
    streamsPerS: askId / seconds,
    messagesPerS: messages / seconds,
    kilobytesPerS: bytes / seconds / 1_000,
    corePercent: (100 * busyMs) / SIMULATED_MS,
  };
}

export async function run(): Promise<void> {
  for (const hostCount of HOST_COUNTS) {
    const figures = await simulate(hostCount);
    const columns = [
      `${hostCount} hosts`,
      `${figures.streamsPerS.toFixed(1)} streams/s`,
      `${figures.messagesPerS.toFixed(0)} messages/s`,
      `${figures.kilobytesPerS.toFixed(1)} kB/s`,
      `${figures.corePercent.toFixed(2)} % of a core`,
    ];
    process.stdout.write(`${columns.join(', ')}\n`);
  }
}
