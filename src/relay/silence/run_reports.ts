/**
 * What engines report of runs that send nothing, so that a run which its engine
 * has set aside can be distinguished from one whose connection is dead.
 *
 * An engine that goes on with a run whose connection is dead makes events that
 * don't arrive. One that has preempted the run makes none.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS, type Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {EngineReport, UpstreamPort} from '../../ports/relay.js';

/** What an engine does with a run, as far as its reports show. */
export type RunAtEngine =
  /** The engine doesn't report its runs. */
  | 'unreported'
  /** There are too few reports yet. */
  | 'undecided'
  /** It makes events that don't arrive. */
  | 'advancing'
  /** It has the run and makes no events. */
  | 'held'
  /** It isn't running it, but may have it among those that wait. */
  | 'waiting'
  /** It doesn't have the run. */
  | 'absent';

export interface RunReportsHost {
  readonly clock: Clock;
  readonly upstreamPort: Pick<UpstreamPort, 'report'>;
}

export interface RunReports {
  /** Asks for a report, unless this was done a moment ago. */
  ask(engine: Upstream): void;
  /** What the reports show of a run that has been silent since then. */
  find(engineId: string, requestId: string, silentSinceMs: number): RunAtEngine;
}

interface DatedReport {
  readonly sentAtMs: number;
  /** Undefined if the engine sent none. */
  readonly report?: EngineReport;
}

const ASK_INTERVAL_MS = 250;
/** A report may show the runs as they were this long before. */
const REPORT_AGE_MS = 500;
/** Of each engine; older ones show nothing more. */
const MAX_REPORTS = 16;
const NO_REPORTS: readonly DatedReport[] = [];

export function createRunReports(host: RunReportsHost): RunReports {
  const {clock} = host;
  const askedAtMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);
  const received = createBoundedMap<readonly DatedReport[]>(
    MAX_REMEMBERED_UPSTREAMS,
  );

  async function request(engine: Upstream, sentAtMs: number): Promise<void> {
    const report = await host.upstreamPort.report(engine);
    const before = received.get(engine.id) ?? NO_REPORTS;
    const all = [...before, {sentAtMs, report}];
    received.set(engine.id, all.slice(-MAX_REPORTS));
  }

  return {
    ask(engine) {
      const nowMs = clock.nowMs();
      const lastMs = askedAtMs.get(engine.id) ?? Number.NEGATIVE_INFINITY;
      if (nowMs - lastMs < ASK_INTERVAL_MS) return;
      askedAtMs.set(engine.id, nowMs);
      void request(engine, nowMs);
    },
    find(engineId, requestId, silentSinceMs) {
      const fromMs = silentSinceMs + REPORT_AGE_MS;
      const reports = (received.get(engineId) ?? NO_REPORTS)
        .filter(({sentAtMs}) => sentAtMs >= fromMs)
        .map(({report}) => report);
      const latest = reports.at(-1);
      if (reports.length === 0) return 'undecided';
      if (!latest?.runs) return 'unreported';
      if (!latest.runs.eventCounts.has(requestId)) {
        return latest.runs.waitingCount > 0 ? 'waiting' : 'absent';
      }
      const eventCounts = reports.flatMap(
        each => each?.runs?.eventCounts.get(requestId) ?? [],
      );
      if (eventCounts.length < 2) return 'undecided';
      const isAdvancing = Math.max(...eventCounts) > Math.min(...eventCounts);
      return isAdvancing ? 'advancing' : 'held';
    },
  };
}
