/**
 * Keeps the engines of the model services divided between prefill and decode
 * according to demand, by orders under a short lease.
 *
 * One host plans, chosen among those that read the store for all hosts. If two
 * hosts both consider themselves the planner, the lease and the fences checked
 * by the engines keep their orders apart.
 */

import type {Service} from '../../core/routing_types.js';
import type {ShortLease, ShortTerm} from '../../coordination/short_lease.js';
import {
  INITIAL_ROLE_PLAN_STATE,
  planRoles,
  type PlannedEngine,
  type RoleChange,
  type RolePlanOptions,
  type RolePlanState,
} from '../../core/scheduling/role_plan.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {EngineReport, UpstreamPort} from '../../ports/relay.js';
import type {EngineLoads} from '../placement/engine_loads.js';
import type {RelayMetrics} from '../relay_metrics.js';
import {createLostEngines} from './lost_engines.js';
import {divideEngines} from './role_demand.js';
import type {SharedStatistics} from '../placement/shared_statistics.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface RoleOrdersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly registry: UpstreamRegistry;
  readonly engineLoads: EngineLoads;
  readonly upstreamPort: UpstreamPort;
  readonly lease: ShortLease;
  readonly statistics: SharedStatistics;
  services(): readonly Service[];
  /** Whether this host is the planner. */
  isPlanner(): boolean;
  onChange(): void;
}

export interface RoleOrders {
  start(): void;
  stop(): void;
  /** Engines that were ordered to change and have not returned yet. */
  changing(): readonly string[];
}

export interface RoleOrdersOptions {
  readonly hostId: string;
}

const PLAN_INTERVAL_MS = 500;
/**
 * A change takes an engine away for seconds, and a wrong division costs every
 * burst. The threshold for high use must exceed the error of the statistics, or
 * engines would change back and forth.
 */
const PLAN: RolePlanOptions = {
  highUse: 1.08,
  safeUse: 1,
  minShortageMs: 1_200,
  restMs: 600,
  minPrefill: 1,
  minDecode: 1,
  maxChangesAtOnce: 1,
};
/**
 * Share of the engines that may change at once. Changed one by one, many
 * engines would take longer than the burst that needs them.
 */
const CONCURRENT_CHANGE_SHARE = 1 / 8;
/**
 * An engine changes to prefill only if prompts wait longer than this on
 * average, because decode memory is short in a burst as well.
 */
const MIN_PROMPT_WAIT_MS = 150;
/**
 * Added to the time that a change takes, because the list lags by a heartbeat.
 */
const LIST_LAG_MS = 4_000;
/**
 * An order without an answer may be carried out seconds later. Another engine
 * changed in the meantime would be one too many.
 */
const UNANSWERED_ORDER_MS = 8_000;

interface SentOrder extends RoleChange {
  readonly untilMs: number;
}

/** An order that the engine can take, according to its report. */
interface PreparedOrder {
  readonly change: RoleChange;
  readonly engine: Upstream;
  readonly report: EngineReport;
}

/** Whether streams that began at the version could not go on any more. */
function takesLastOfVersion(
  engines: readonly Upstream[],
  {engineId, role}: RoleChange,
): boolean {
  const taken = engines.find(({id}) => id === engineId);
  if (!taken || role === 'decode') return false;
  const isOther = ({version}: Upstream) => version !== taken.version;
  const isLeft = (each: Upstream) =>
    each.role === 'decode' && each.id !== engineId && !isOther(each);
  return engines.some(isOther) && !engines.some(isLeft);
}

/** The list lags, so the engine may have restarted since it was read. */
function isSameProcess(engine: Upstream, report: EngineReport): boolean {
  const times = [engine.startedAtMs, report.startedAtMs];
  return times.includes(undefined) || times[0] === times[1];
}

export function createRoleOrders(
  host: RoleOrdersHost,
  options: RoleOrdersOptions,
): RoleOrders {
  const {clock, log, registry, engineLoads, upstreamPort, statistics} = host;
  const pendingOrders = new Map<string, SentOrder>();
  const plans = new Map<string, RolePlanState>();
  const lostEngines = createLostEngines(host);
  let timer: TimerHandle | undefined;
  let isStopped = false;

  function dropCompletedOrders(): void {
    const nowMs = clock.nowMs();
    for (const [id, order] of pendingOrders) {
      const engine = registry.get(id);
      if (engine && engine.role !== order.role && nowMs < order.untilMs)
        continue;
      pendingOrders.delete(id);
      host.onChange();
    }
  }

  /** The engine as it will be once its order is carried out. */
  function toPlanned(engine: Upstream, isLost: boolean): PlannedEngine {
    return {
      engineId: engine.id,
      role: pendingOrders.get(engine.id)?.role ?? engine.role ?? 'decode',
      failureDomain: engine.failureDomain,
      models: [],
      usedSlots: engineLoads.decodeLoad(engine.id).runs,
      isLeaving: false,
      isChanging: false,
      isLost,
      speed: statistics.speeds.factorOf(engine.id),
    };
  }

  function plan(service: Service): readonly RoleChange[] {
    const hasRole = ({role}: Upstream) => role !== undefined;
    const engines = registry.open(service.name).filter(hasRole);
    // Engines that are back before a change is done need no replacement.
    const lost = lostEngines
      .find(service.name, service.engine?.roleChangeMs ?? 0)
      .filter(hasRole);
    const step = planRoles(
      plans.get(service.name) ?? INITIAL_ROLE_PLAN_STATE,
      [
        ...engines.map(each => toPlanned(each, false)),
        ...lost.map(each => toPlanned(each, true)),
      ],
      divideEngines(statistics, engines.length + lost.length),
      clock.nowMs(),
      {
        ...PLAN,
        maxChangesAtOnce: Math.max(
          1,
          Math.floor(engines.length * CONCURRENT_CHANGE_SHARE),
        ),
      },
    );
    plans.set(service.name, step.state);
    const changes = step.changes
      .filter(({engineId}) => !pendingOrders.has(engineId))
      .filter(change => !takesLastOfVersion(engines, change));
    if (changes.at(0)?.role !== 'prefill' || hasWaitingPrompts(engines)) {
      return changes;
    }
    reportHeldBack(changes, 'no prompts wait');
    return [];
  }

  /** Whether prefill engines have a long backlog, or there are none. */
  function hasWaitingPrompts(engines: readonly Upstream[]): boolean {
    const prefillEngines = engines.filter(({role}) => role === 'prefill');
    if (prefillEngines.length === 0) return true;
    const tokens = prefillEngines.reduce(
      (sum, {id}) => sum + engineLoads.prefillLoad(id).tokens,
      0,
    );
    const waitMs = tokens / prefillEngines.length / statistics.tokensPerMs();
    return waitMs > MIN_PROMPT_WAIT_MS;
  }

  /** Records why a planned order is not sent. */
  function reportHeldBack(
    changes: readonly RoleChange[],
    reason: string,
  ): void {
    host.metrics.count('role_orders', `outcome="held-back:${reason}"`);
    log.info('Order held back.', {
      upstreams: changes.map(({engineId}) => engineId).join(','),
      role: changes.at(0)?.role,
      reason,
    });
  }

  /** Returns the engine's report if the engine can take the order now. */
  async function prepare(
    change: RoleChange,
  ): Promise<PreparedOrder | undefined> {
    const engine = registry.get(change.engineId);
    if (!engine) return undefined;
    const report = await upstreamPort.report(engine);
    if (!report) reportHeldBack([change], 'no report');
    else if (!isSameProcess(engine, report))
      reportHeldBack([change], 'started again');
    else if (report.isChanging) reportHeldBack([change], 'another order runs');
    else if (report.role === change.role)
      reportHeldBack([change], 'has the role');
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
      speed: statistics.speeds.factorOf(engine.id),
      fence: fence.epoch,
      expectedOrderCount: report.orderCount,
      outcome,
    });
    const roleChangeMs = service.engine?.roleChangeMs ?? 0;
    if (outcome === 'accepted') {
      recordSent(change, roleChangeMs + LIST_LAG_MS);
    } else if (outcome === 'unknown') {
      recordSent(change, UNANSWERED_ORDER_MS);
    }
  }

  async function sendOrders(
    service: Service,
    changes: readonly RoleChange[],
  ): Promise<void> {
    const term = await host.lease.acquire();
    if (!term) return reportHeldBack(changes, 'no lease');
    const prepared = (await Promise.all(changes.map(prepare))).filter(
      each => each !== undefined,
    );
    if (prepared.length === 0) return;
    // Confirmed last, right before the orders are sent: a holder that was
    // suspended until now has lost its right to send, even if its clock does
    // not show it.
    const check = await host.lease.confirm(term);
    if (check !== 'valid') {
      return reportHeldBack(
        prepared.map(({change}) => change),
        `lease ${check}`,
      );
    }
    await Promise.all(prepared.map(each => send(each, service, term)));
  }

  function recordSent(change: RoleChange, durationMs: number): void {
    pendingOrders.set(change.engineId, {
      ...change,
      untilMs: clock.nowMs() + durationMs,
    });
    host.onChange();
  }

  async function update(): Promise<void> {
    dropCompletedOrders();
    if (!host.isPlanner()) {
      plans.clear();
      lostEngines.clear();
      return;
    }
    for (const service of host.services()) {
      if (!service.engine) continue;
      const changes = plan(service);
      if (changes.length > 0) await sendOrders(service, changes);
    }
  }

  function tick(dueMs: number): void {
    // A host that was suspended has not seen the shortage last.
    if (clock.nowMs() - dueMs >= PLAN_INTERVAL_MS) plans.clear();
    void update().finally(() => {
      if (isStopped) return;
      const nextMs = clock.nowMs() + PLAN_INTERVAL_MS;
      timer = clock.setTimer(PLAN_INTERVAL_MS, () => tick(nextMs));
    });
  }

  return {
    start: () => tick(clock.nowMs()),
    stop() {
      isStopped = true;
      if (timer) clock.clearTimer(timer);
    },
    changing: () => [...pendingOrders.keys()],
  };
}
