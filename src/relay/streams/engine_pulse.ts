/**
 * Whether engines answer over new connections, asked when calls to them are
 * silent. All calls of this host share the probes.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {ProbeOutcome, UpstreamPort} from '../../ports/relay.js';

export interface EnginePulseHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'probe'>;
}

export interface EnginePulse {
  /** Probes the engine unless a probe runs or one was sent a moment ago. */
  ask(engine: Upstream): void;
  /** Whether an answer of the engine arrived a moment ago. */
  isAwake(engineId: string): boolean;
  /** Whether a probe since `atMs` found that the engine has ended. */
  hasEndedSince(engineId: string, atMs: number): boolean;
}

interface Pulse {
  readonly askedAtMs: number;
  readonly isAsking: boolean;
  readonly answeredAtMs: number;
  readonly endedAtMs: number;
}

const ASK_INTERVAL_MS = 200;
/** An engine that is asked at each tick of a watch stays awake between two. */
const AWAKE_MS = 500;
const NEVER_ASKED: Pulse = {
  askedAtMs: Number.NEGATIVE_INFINITY,
  isAsking: false,
  answeredAtMs: Number.NEGATIVE_INFINITY,
  endedAtMs: Number.NEGATIVE_INFINITY,
};

/** What an outcome shows at the time when it arrives. */
const FINDINGS: Readonly<
  Record<ProbeOutcome, (nowMs: number) => Partial<Pulse>>
> = {
  answered: nowMs => ({answeredAtMs: nowMs}),
  'other-instance': nowMs => ({endedAtMs: nowMs}),
  refused: nowMs => ({endedAtMs: nowMs}),
  'no-answer': () => ({}),
};

export function createEnginePulse(host: EnginePulseHost): EnginePulse {
  const {clock, upstreamPort} = host;
  const pulses = createBoundedMap<Pulse>(MAX_REMEMBERED_UPSTREAMS);

  const pulseOf = (engineId: string) => pulses.get(engineId) ?? NEVER_ASKED;

  async function probe(engine: Upstream): Promise<void> {
    const {id} = engine;
    pulses.set(id, {
      ...pulseOf(id),
      askedAtMs: clock.nowMs(),
      isAsking: true,
    });
    const outcome = await upstreamPort.probe(engine);
    const found = FINDINGS[outcome](clock.nowMs());
    pulses.set(id, {...pulseOf(id), ...found, isAsking: false});
  }

  return {
    ask(engine) {
      const {askedAtMs, isAsking} = pulseOf(engine.id);
      if (isAsking || clock.nowMs() - askedAtMs < ASK_INTERVAL_MS) return;
      void probe(engine);
    },
    isAwake: engineId =>
      clock.nowMs() - pulseOf(engineId).answeredAtMs < AWAKE_MS,
    hasEndedSince: (engineId, atMs) => pulseOf(engineId).endedAtMs >= atMs,
  };
}
