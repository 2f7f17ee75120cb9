/** A prefill step before engines that the test describes, in virtual time. */

import assert from 'node:assert/strict';
import type {VirtualClock} from '../../../src/core/virtual_clock.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {createBudgetedCalls} from '../../../src/relay/streams/budgeted_calls.js';
import {createEngineFailures} from '../../../src/relay/streams/engine_failures.js';
import type {UpstreamPort} from '../../../src/ports/relay.js';
import {createPrefillStep} from '../../../src/relay/streams/prefill_step.js';
import {createEngineProbes} from '../../../src/relay/silence/engine_probes.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import type {StreamState} from '../../../src/relay/streams/stream_state.js';
import {createRetryBudget} from '../../../src/request/retry_budget.js';
import {silentLog} from '../../support/silent_log.js';
import {makeLoneScheduler, makeService} from '../placement/lone_scheduler.js';

const service = makeService(30_000);

export const PREFILL_ENGINE_IDS = ['p1', 'p2', 'p3', 'p4', 'p5'];
/** When requests arrive. */
export const START_MS = 1_000;

export type PrefillPort = Pick<UpstreamPort, 'prefill' | 'probe'> &
  Partial<Pick<UpstreamPort, 'releasePrefill'>>;

export interface PrefillSiteOptions {
  readonly upstreamPort: PrefillPort;
  readonly retries: number;
  /** Prompts that are read already where the request is placed. */
  readonly backlogTokens?: number;
  /** Speed of each engine. */
  readonly speed?: number;
}

export function makePrefillSite(
  clock: VirtualClock,
  {upstreamPort, retries, backlogTokens = 0, speed = 1}: PrefillSiteOptions,
) {
  const lone = makeLoneScheduler(clock, [...PREFILL_ENGINE_IDS, 'd1']);
  const {registry, engineLoads, statistics, scheduler} = lone;
  const budget = createRetryBudget({burst: () => retries, ratioOf: () => 0});
  const speeds = {...statistics.speeds, factorOf: () => speed};
  const log = silentLog;
  const step = createPrefillStep({
    clock,
    upstreamPort: {releasePrefill: () => undefined, ...upstreamPort},
    probes: createEngineProbes({clock, upstreamPort}),
    scheduler,
    statistics: {...statistics, speeds},
    calls: createBudgetedCalls(budget),
    failures: createEngineFailures({
      clock,
      log,
      scheduler,
      engineLoads,
      registry,
    }),
  });

  async function placeRequest(): Promise<StreamState> {
    const cancellation = createCancellation();
    const requestId = 'r';
    const need = {
      requestId,
      service,
      promptTokens: 3_000,
      expectedOutputTokens: 500,
      startMs: 250,
      waiting: {
        arrivedAtMs: START_MS,
        onTimeUntilMs: START_MS + 600,
        giveUpAtMs: START_MS + 3_000,
      },
      callerLeftMs: 14_000,
    };
    const placement = await scheduler.place(need, cancellation);
    assert.ok(placement.kind === 'placed');
    engineLoads.startPrefill(placement.prefill?.id ?? '', backlogTokens);
    const request: Partial<RelayJob['request']> = {
      requestId,
      arrivedAtMs: START_MS,
    };
    const route: Partial<RelayJob['route']> = {goalMs: 900, gapGoalMs: 300};
    const job: Partial<RelayJob> = {
      request: request as RelayJob['request'],
      route: route as RelayJob['route'],
      service,
      cancellation,
      deadlineAtMs: START_MS + 14_000,
    };
    return {
      job: job as RelayJob,
      need,
      placement,
      ran: [],
      ranVersions: [],
      avoid: new Set(),
      countedCalls: 0,
      hasReservedRun: false,
      wasLeft: false,
      wasPrefilled: false,
      events: 0,
      lastEventAtMs: START_MS,
    };
  }

  return {
    ...lone,
    step,
    placeRequest,
    retriesLeft: () =>
      [...Array(retries + 1).keys()]
        .reverse()
        .find(count => budget.hasLeft(service.name, count)) ?? 0,
    bookedTokens: () =>
      PREFILL_ENGINE_IDS.reduce(
        (sum, id) => sum + engineLoads.prefillLoad(id).tokens,
        0,
      ),
  };
}
