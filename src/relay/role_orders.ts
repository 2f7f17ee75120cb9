/**
 * Keeps the engines of the model services divided between prefill and decode
 * as the requests need it, by orders under a short lease.
 *
 * One host plans: the first by name among the live ones. The lease and the
 * engines' fences hold when two believe that they are the first.
 */

import type {ShortLease, ShortTerm} from '../coordination/short_lease.js';
import {
  FIRST_ROLE_PLAN_STATE,
  planRoles,
  type PlannedEngine,
  type RoleChange,
  type RolePlanOptions,
  type RolePlanState,
} from '../core/scheduling/role_plan.js';
import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {UpstreamPort} from '../ports/relay.js';
import type {EngineBooks} from './engine_books.js';
import type {RelayMetrics} from './relay_metrics.js';
import type {RoleDemandMeter} from './role_demand.js';
import type {Service} from './routing.js';
import type {Upstream, UpstreamRegistry} from './upstream_registry.js';

export interface RoleOrdersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly registry: UpstreamRegistry;
  readonly books: EngineBooks;
  readonly upstreamPort: UpstreamPort;
  readonly lease: ShortLease;
  readonly demand: RoleDemandMeter;
  services(): readonly Service[];
  /** Whether this host is the one to plan. */
  isPlanner(): boolean;
  /** True if the process may have been suspended since `sinceMs`. */
  wasSuspended(): boolean;
  onChange(): void;
}

export interface RoleOrders {
  start(): void;
  stop(): void;
  /** Engines that were told to change and are not back yet. */
  changing(): readonly string[];
}

export interface RoleOrdersOptions {
  readonly hostId: string;
}

const LOOK_EVERY_MS = 500;
/**
 * A change costs an engine for some six seconds, a wrong division costs every
 * burst; what lasts longer than this is no passing crash.
 */
const PLAN: RolePlanOptions = {
  highUse: 1.02,
  safeUse: 1,
  shortForMs: 1_200,
  restMs: 600,
  minPrefill: 1,
  minDecode: 1,
};
/** On top of the time that a change takes: the list lags by a heartbeat. */
const SEEN_AFTER_MS = 4_000;
/** An order without an answer may have been taken; then the list shows it. */
const UNKNOWN_FOR_MS = 3_000;

interface SentOrder extends RoleChange {
  readonly untilMs: number;
}

export function createRoleOrders(
  host: RoleOrdersHost,
  options: RoleOrdersOptions,
): RoleOrders {
  const {clock, log, registry, books, upstreamPort, demand} = host;
  const sent = new Map<string, SentOrder>();
  const plans = new Map<string, RolePlanState>();
  let timer: TimerHandle | undefined;
  let isStopped = false;

  function forgetDone(): void {
    const nowMs = clock.nowMs();
    for (const [id, order] of sent) {
      const engine = registry.get(id);
      if (engine && engine.role !== order.role && nowMs < order.untilMs)
        continue;
      sent.delete(id);
      host.onChange();
    }
  }

  /** An engine as it will be once its order is carried out. */
  function toPlanned(engine: Upstream): PlannedEngine {
    return {
      engineId: engine.id,
      role: sent.get(engine.id)?.role ?? engine.role ?? 'decode',
      failureDomain: engine.failureDomain,
      models: [],
      usedSlots: books.decodeLoad(engine.id).runs,
      isLeaving: false,
      isChanging: false,
    };
  }

  function plan(service: Service): RoleChange | undefined {
    const engines = registry.open(service.name).filter(({role}) => role);
    const step = planRoles(
      plans.get(service.name) ?? FIRST_ROLE_PLAN_STATE,
      engines.map(toPlanned),
      demand.divide(engines.length),
      clock.nowMs(),
      PLAN,
    );
    plans.set(service.name, step.state);
    const isUnderWay = step.change && sent.has(step.change.engineId);
    return isUnderWay ? undefined : step.change;
  }

  async function giveOrder(
    service: Service,
    change: RoleChange,
    term: ShortTerm,
  ): Promise<void> {
    const engine = registry.get(change.engineId);
    if (!engine) return;
    const report = await upstreamPort.report(engine);
    if (!report || report.isChanging || report.role === change.role) return;
    // Asked last, right before the send: a holder that was suspended up to
    // here has no right to act any more, though its clock may say so.
    if (clock.nowMs() > term.untilMs || host.wasSuspended()) return;
    const outcome = await upstreamPort.order(engine, {
      role: change.role,
      holder: options.hostId,
      fence: term.fence.epoch,
      expectedOrderCount: report.orderCount,
    });
    host.metrics.count('role_orders', `outcome="${outcome}"`);
    log.info('Order given.', {
      upstream: engine.id,
      role: change.role,
      fence: term.fence.epoch,
      expectedOrderCount: report.orderCount,
      outcome,
    });
    const roleChangeMs = service.engine?.roleChangeMs ?? 0;
    if (outcome === 'accepted') {
      remember(change, roleChangeMs + SEEN_AFTER_MS);
    } else if (outcome === 'unknown') {
      remember(change, UNKNOWN_FOR_MS);
    }
  }

  function remember(change: RoleChange, durationMs: number): void {
    sent.set(change.engineId, {
      ...change,
      untilMs: clock.nowMs() + durationMs,
    });
    host.onChange();
  }

  async function look(): Promise<void> {
    forgetDone();
    if (!host.isPlanner()) {
      plans.clear();
      return;
    }
    for (const service of host.services()) {
      if (!service.engine) continue;
      const change = plan(service);
      if (!change) continue;
      const term = await host.lease.acquire();
      if (term) await giveOrder(service, change, term);
    }
  }

  function tick(): void {
    void look().finally(() => {
      if (!isStopped) timer = clock.setTimer(LOOK_EVERY_MS, tick);
    });
  }

  return {
    start: tick,
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
    changing: () => [...sent.keys()],
  };
}
