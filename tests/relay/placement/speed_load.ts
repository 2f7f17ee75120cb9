/**
 * Simulates streams on engines of uneven speed in virtual time. Each stream
 * arrives at a random host, which measures the engines by it; one placer
 * receives the hosts' records and places all streams.
 *
 * Figures are those of a deployment with 42 engines, for 16 of them: prompts of
 * 3,200 tokens are prefilled one after another at 33 tokens a ms, runs produce
 * 70 events of 15 tokens, 2.7 ms a token, and hold up to 27,117 tokens.
 */

import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createEngineLoads} from '../../../src/relay/placement/engine_loads.js';
import {createEngineScheduler} from '../../../src/relay/placement/engine_scheduler.js';
import type {Placement} from '../../../src/relay/placement/placement_types.js';
import {EVEN_SPEEDS} from '../../../src/relay/placement/engine_speeds.js';
import type {SpeedRecord} from '../../../src/relay/placement/speed_records.js';
import {createSharedStatistics} from '../../../src/relay/placement/shared_statistics.js';
import {createRunPaceMeter} from '../../../src/relay/streams/run_pace.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {makeEngine, makeService} from './lone_scheduler.js';
import {oneGroup} from './one_group.js';

export interface SpeedLoad {
  readonly seed: number;
  /** Whether the placer goes without measurements. */
  readonly ignoresSpeeds?: boolean;
  /** True speed of an engine at a time since the start. */
  speedAt(engineId: string, ms: number): number;
  /** Effect of an engine's number of runs on their pace, 0 to 1. */
  readonly loadExponent: number;
  /** Requests per second; `burstPerS` from 6 to 11 s. */
  readonly calmPerS: number;
  readonly burstPerS: number;
  readonly durationMs: number;
  /** Records that the first host announces in place of its own. */
  readonly falseRecords?: readonly unknown[];
  readonly hostCount?: number;
}

export interface SpeedLoadResult {
  onTime: number;
  late: number;
  refused: number;
  /** From arrival to the last event. */
  readonly totalsMs: number[];
  /** Engines of each placement with its time since the start. */
  readonly placed: Array<{
    readonly atMs: number;
    readonly decode: string;
    readonly prefill: string;
  }>;
  /** The placer's factors at the end. */
  readonly factors: Record<string, number>;
  /** Records that the placer ignored. */
  rejectedRecords: number;
}

const START_MS = 10_000;
const GOAL_MS = 900;
const KV_TOKENS = 27_117;
const TOKENS_PER_EVENT = 15;
const MS_PER_TOKEN = 2.7;
/** The load at which runs have the pace above if it depends on load. */
const USUAL_RUNS = 4;
const BURST_FROM_MS = 6_000;
const BURST_TO_MS = 11_000;
const DRAIN_MS = 8_000;
const ANNOUNCE_MS = 50;

export const PREFILL_IDS = ['p0', 'p1', 'p2', 'p3'];
export const DECODE_IDS = Array.from({length: 12}, (_, i) => `d${i}`);

/** The speeds of the deployment with uneven servers. */
export function unevenSpeed(engineId: string): number {
  return Number(engineId.slice(1)) % 3 === 2 ? 1.7 : 0.7;
}

export async function simulateSpeeds(
  options: SpeedLoad,
): Promise<SpeedLoadResult> {
  const clock = createVirtualClock(START_MS);
  const random = createSeededRandom(options.seed);
  // Separate, so that all rules get the same requests.
  const demand = createSeededRandom(options.seed + 1_000);
  const service = makeService(KV_TOKENS);
  const registry = createUpstreamRegistry({clock, log: silentLog});
  registry.apply({
    revision: revisionAt(1),
    upstreams: [...PREFILL_IDS, ...DECODE_IDS].map(makeEngine),
  });
  const {hostCount = 14} = options;
  const hosts = Array.from({length: hostCount}, () =>
    createSharedStatistics({
      clock,
      engines: () => registry.open(service.name),
      hostCount: () => hostCount,
    }),
  );
  const [placer] = hosts;
  const engineLoads = createEngineLoads();
  const scheduler = createEngineScheduler({
    clock,
    random,
    log: silentLog,
    registry,
    engineLoads,
    statistics: {
      ...placer,
      speeds: options.ignoresSpeeds
        ? {...placer.speeds, ...EVEN_SPEEDS}
        : {...placer.speeds, factorOf},
    },
    groups: oneGroup,
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
  const prefillFreeAtMs = new Map<string, number>();
  const result: SpeedLoadResult = {
    onTime: 0,
    late: 0,
    refused: 0,
    totalsMs: [],
    placed: [],
    factors: {},
    rejectedRecords: 0,
  };

  function factorOf(engineId: string): number {
    return placer.speeds.factorOf(engineId);
  }

  const sinceStartMs = () => clock.nowMs() - START_MS;
  const spread = (mean: number, width: number, source = random) =>
    mean * (1 - width + 2 * width * source.nextFloat());
  const wait = (durationMs: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(durationMs, resolve);
    });

  async function prefill(
    {decode, prefill: engine = decode, prefillReservation}: Placement,
    tokens: number,
    host: (typeof hosts)[number],
  ): Promise<void> {
    const sentAtMs = clock.nowMs();
    const startMs = Math.max(sentAtMs, prefillFreeAtMs.get(engine.id) ?? 0);
    const speed = options.speedAt(engine.id, sinceStartMs());
    const endMs = startMs + tokens / 33 / speed;
    prefillFreeAtMs.set(engine.id, endMs);
    await wait(endMs - sentAtMs + spread(4, 0.5));
    const durationMs = clock.nowMs() - sentAtMs;
    if (prefillReservation.isUncontended()) {
      host.recordPrefill(tokens, durationMs);
      host.speeds.recordPrompt(engine, tokens / durationMs);
    }
    prefillReservation.end();
  }

  async function decode(
    {decode: engine, run}: Placement,
    events: number,
    host: (typeof hosts)[number],
  ): Promise<void> {
    const runs = () => engineLoads.decodeLoad(engine.id).runs;
    const meter = createRunPaceMeter({
      clock,
      onMeasured: (msPerEvent, durationMs) =>
        host.speeds.recordEvents({
          engine,
          runs: runs(),
          msPerToken: msPerEvent / TOKENS_PER_EVENT,
          durationMs,
        }),
    });
    for (let made = 1; made <= events; made++) {
      const speed = options.speedAt(engine.id, sinceStartMs());
      const load = (runs() / USUAL_RUNS) ** options.loadExponent;
      const eventMs = (TOKENS_PER_EVENT * MS_PER_TOKEN * load) / speed;
      await wait(spread(eventMs, 0.15));
      meter.noteEvents(1);
      engineLoads.setOutputTokens(run, made * TOKENS_PER_EVENT);
    }
    scheduler.release(run);
  }

  async function request(): Promise<void> {
    const host = hosts[demand.nextInt(hostCount)];
    const arrivedAtMs = clock.nowMs();
    const promptTokens = spread(3_200, 0.4, demand);
    const events = Math.round(spread(70, 0.5, demand));
    const startMs = placer.meanStartMs();
    const placement = await scheduler.place(
      {
        requestId: String(arrivedAtMs),
        service,
        promptTokens,
        expectedOutputTokens: 70 * TOKENS_PER_EVENT,
        startMs,
        waiting: {
          arrivedAtMs,
          onTimeUntilMs: arrivedAtMs + GOAL_MS - startMs,
          giveUpAtMs: arrivedAtMs + 4 * GOAL_MS - startMs,
        },
        callerLeftMs: 14_000,
      },
      createCancellation(),
    );
    if (placement.kind !== 'placed') {
      result.refused++;
      return;
    }
    const placedAtMs = clock.nowMs();
    result.placed.push({
      atMs: sinceStartMs(),
      decode: placement.decode.id,
      prefill: placement.prefill?.id ?? '',
    });
    await prefill(placement, promptTokens, host);
    placer.recordStart(clock.nowMs() - placedAtMs);
    if (clock.nowMs() - arrivedAtMs <= GOAL_MS) result.onTime++;
    else result.late++;
    await decode(placement, events, host);
    placer.recordRun({
      promptTokens,
      outputTokens: events * TOKENS_PER_EVENT,
      durationMs: clock.nowMs() - placedAtMs,
      kvTokens: KV_TOKENS,
    });
    result.totalsMs.push(clock.nowMs() - arrivedAtMs);
  }

  function announce(): void {
    for (const [index, host] of hosts.entries()) {
      const isFalse = index === 1 && options.falseRecords;
      const records: readonly unknown[] | readonly SpeedRecord[] = isFalse
        ? options.falseRecords
        : host.speeds.takeRecords();
      if (index > 0) placer.speeds.applyPeer(`host-${index}`, records);
    }
    clock.setTimer(ANNOUNCE_MS, announce);
  }

  async function offer(): Promise<void> {
    while (sinceStartMs() < options.durationMs) {
      const isBurst =
        sinceStartMs() >= BURST_FROM_MS && sinceStartMs() < BURST_TO_MS;
      const perS = isBurst ? options.burstPerS : options.calmPerS;
      void request();
      await wait((-Math.log(1 - demand.nextFloat()) * 1_000) / perS);
    }
    for (const id of [...PREFILL_IDS, ...DECODE_IDS]) {
      result.factors[id] = placer.speeds.factorOf(id);
    }
    result.rejectedRecords = placer.speeds.rejectedCount();
  }

  announce();
  const offered = offer();
  await clock.advance(options.durationMs + DRAIN_MS);
  await offered;
  return result;
}
