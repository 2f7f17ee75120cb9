/**
 * Keeps the engines of the model services divided between prefill and decode
 * as the requests need it, by orders under a short lease.
 *
 * One host plans: one of those that read the store for all. The lease and the
 * engines' fences hold when two believe that it is their turn.
 */

import type {Service} from '../../core/routing_types.js';
import type {ShortLease, ShortTerm} from '../../coordination/short_lease.js';
import {
  FIRST_ROLE_PLAN_STATE,
  planRoles,
  type PlannedEngine,
  type RoleChange,
  type RolePlanOptions,
  type RolePlanState,
} from '../../core/scheduling/role_plan.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {EngineReport, UpstreamPort} from '../../ports/relay.js';
import type {EngineBooks} from '../placement/engine_books.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {divideEngines} from './role_demand.js';
import type {SharedLearning} from '../placement/shared_learning.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface RoleOrdersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly registry: UpstreamRegistry;
  readonly books: EngineBooks;
  readonly upstreamPort: UpstreamPort;
  readonly lease: ShortLease;
  readonly learning: SharedLearning;
  services(): readonly Service[];
  /** Whether this host is the one to plan. */
  isPlanner(): boolean;
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
 * A change takes an engine away for seconds, a wrong division costs every
 * burst; what lasts longer than this is no passing crash. The use has to be
 * higher than what was learned is wrong by, or engines change back and forth.
 */
const PLAN: RolePlanOptions = {
  highUse: 1.08,
  safeUse: 1,
  shortForMs: 1_200,
  restMs: 600,
  minPrefill: 1,
  minDecode: 1,
  mostAtOnce: 1,
};
/**
 * Engines that change together: one by one, many would take longer than the
 * burst lasts that asks for them.
 */
const AT_ONCE_SHARE = 1 / 8;
/**
 * An engine starts to read prompts only where prompts wait for longer than
 * this, on the mean: in a burst decode memory is short as well.
 */
const PROMPTS_WAIT_MS = 150;
/** On top of the time that a change takes: the list lags by a heartbeat. */
const SEEN_AFTER_MS = 4_000;
/**
 * An order without an answer may be carried out seconds later. Another engine
 * that is changed meanwhile is one too many.
 */
const UNKNOWN_FOR_MS = 8_000;

interface SentOrder extends RoleChange {
  readonly untilMs: number;
}

/** An order that the engine can take as far as its report tells. */
interface PreparedOrder {
  readonly change: RoleChange;
  readonly engine: Upstream;
  readonly report: EngineReport;
}

/** The list lags: the engine may have started again since it was read. */
function isSameLife(engine: Upstream, report: EngineReport): boolean {
  const times = [engine.startedAtMs, report.startedAtMs];
  return times.includes(undefined) || times[0] === times[1];
}

export function createRoleOrders(
  host: RoleOrdersHost,
  options: RoleOrdersOptions,
): RoleOrders {
  const {clock, log, registry, books, upstreamPort, learning} = host;
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

  function plan(service: Service): readonly RoleChange[] {
    const engines = registry.open(service.name).filter(({role}) => role);
    const step = planRoles(
      plans.get(service.name) ?? FIRST_ROLE_PLAN_STATE,
      engines.map(toPlanned),
      divideEngines(learning, engines.length),
      clock.nowMs(),
      {
        ...PLAN,
        mostAtOnce: Math.max(1, Math.floor(engines.length * AT_ONCE_SHARE)),
      },
    );
    plans.set(service.name, step.state);
    const changes = step.changes.filter(({engineId}) => !sent.has(engineId));
    if (changes.at(0)?.role !== 'prefill' || doPromptsWait(engines)) {
      return changes;
    }
    holdBack(changes, 'no prompts wait');
    return [];
  }

  /** Whether prefill engines are behind, or there are none. */
  function doPromptsWait(engines: readonly Upstream[]): boolean {
    const readers = engines.filter(({role}) => role === 'prefill');
    if (readers.length === 0) return true;
    const tokens = readers.reduce(
      (sum, {id}) => sum + books.prefillLoad(id).tokens,
      0,
    );
    const waitMs = tokens / readers.length / learning.tokensPerMs();
    return waitMs > PROMPTS_WAIT_MS;
  }

  /** Says why an order that was planned is not given. */
  function holdBack(changes: readonly RoleChange[], reason: string): void {
    host.metrics.count('role_orders', `outcome="held-back:${reason}"`);
    log.info('Order held back.', {
      upstreams: changes.map(({engineId}) => engineId).join(','),
      role: changes.at(0)?.role,
      reason,
    });
  }

  /** What the engine says of itself, if it can take the order now. */
  async function prepare(
    change: RoleChange,
  ): Promise<PreparedOrder | undefined> {
    const engine = registry.get(change.engineId);
    if (!engine) return undefined;
    const report = await upstreamPort.report(engine);
    if (!report) holdBack([change], 'no report');
    else if (!isSameLife(engine, report)) holdBack([change], 'started again');
    else if (report.isChanging) holdBack([change], 'another order runs');
    else if (report.role === change.role) holdBack([change], 'has the role');
    else return {change, engine, report};
    return undefined;
  }

  async function send(
    {change, engine, report}: PreparedOrder,
    service: Service,
    {fence}: ShortTerm,
  ): Promise<void> {
    const outcome = await upstreamPort.order(engine, {
      role: change.role,
      holder: options.hostId,
      fence: fence.epoch,
      expectedOrderCount: report.orderCount,
    });
    host.metrics.count('role_orders', `outcome="${outcome}"`);
    log.info('Order given.', {
      upstream: engine.id,
      role: change.role,
      fence: fence.epoch,
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

  async function giveOrders(
    service: Service,
    changes: readonly RoleChange[],
  ): Promise<void> {
    const term = await host.lease.acquire();
    if (!term) return holdBack(changes, 'no lease');
    const prepared = (await Promise.all(changes.map(prepare))).filter(
      each => each !== undefined,
    );
    if (prepared.length === 0) return;
    // Asked last, right before the sends: a holder that was suspended up to
    // here has no right to act any more, though its clock may say so.
    const check = await host.lease.confirm(term);
    if (check !== 'valid') {
      return holdBack(
        prepared.map(({change}) => change),
        `lease ${check}`,
      );
    }
    await Promise.all(prepared.map(each => send(each, service, term)));
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
      const changes = plan(service);
      if (changes.length > 0) await giveOrders(service, changes);
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
