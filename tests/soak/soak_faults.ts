/** Faults drawn from a seed, and the handlers that inject and revert them. */

import type {Random} from '../../src/ports/random.js';
import {changeRoutes} from './configurations.js';
import {sendCrashingParts} from './crashing_parts.js';
import {sendCrashingRequests} from './crashing_requests.js';
import {
  BROKEN_STREAMS_KIND,
  CONFIGURATIONS_KIND,
  CRASHING_KIND,
  CRASHING_PARTS_KIND,
  ENGINE_PAUSE_KIND,
  ENGINE_VERSIONS_KIND,
  HOST_CUT_KIND,
  LEAVE_TOGETHER_KIND,
  OLDER_COPY_KIND,
  OVERLOAD_KIND,
  SLOW_STORE_KIND,
  SILENT_CONNECTIONS_KIND,
  type FaultContext,
  type FaultKind,
  type PlannedFault,
} from './fault_kinds.js';
import {pauseEngines, silenceConnections} from './engine_pauses.js';
import {replaceEngines} from './engine_versions.js';
import {cutHosts} from './host_cuts.js';
import type {ProxyMode} from './fault_proxy.js';
import {pressOnHosts} from './overload.js';
import type {RelayChild} from './relay_child.js';
import {
  STREAM_EVENTS,
  type BackpressureSignal,
  type SoakHost,
  type SoakUpstream,
} from './soak_site.js';

/**
 * Plans 3 to 8 faults that may overlap; none starts in the last 30 % of the
 * time.
 */
export function planFaults(
  random: Random,
  durationMs: number,
  kinds: readonly FaultKind[],
): readonly PlannedFault[] {
  const count = 3 + random.nextInt(6);
  return Array.from({length: count}, () => ({
    kind: kinds[random.nextInt(kinds.length)],
    atMs: random.nextInt(durationMs * 0.7),
    forMs: 300 + random.nextInt(durationMs * 0.25),
  })).sort((a, b) => a.atMs - b.atMs);
}

/**
 * Time from an upstream's first `leaving` answer until it drains in the store.
 */
const SIGNAL_TO_DRAIN_MS = 4_500;
const RETRY_AFTER_S = 2;
/** Maximum outage of a store before it is restored from an older copy. */
const MAX_OUTAGE_MS = 800;
/** Additional writes that are lost, so that the version numbers go back far. */
const LOST_WRITES = 200;

/** Between the SIGTERMs of hosts that leave together. */
const GAPS_MS = [0, 300, 1_000];

/** How much of its next event a stream sends before it breaks off. */
const REST_BYTES = [1, 6, 12, -1];

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function pick<T>(random: Random, items: readonly T[]): T {
  return items[random.nextInt(items.length)];
}

function pickHost({site, random}: FaultContext): SoakHost {
  return pick(random, site.hosts);
}

function pickUpstream({site, random}: FaultContext): SoakUpstream {
  return pick(
    random,
    site.upstreams.filter(({state}) => state === 'ready'),
  );
}

/** An upstream sends one signal at a time, so that each has a single end. */
const hasActiveSignal = ({signals}: SoakUpstream) =>
  signals.some(({toMs}) => toMs === Infinity);

/** Picks an upstream whose service and role have at least two others. */
function pickReplaceable(context: FaultContext): SoakUpstream | undefined {
  const ready = context.site.upstreams.filter(({state}) => state === 'ready');
  const groupOf = (each: SoakUpstream) => {
    const {stage} = each.standIn.row() as {readonly stage?: string};
    return `${each.service} ${stage}`;
  };
  const replaceable = ready.filter(
    each => ready.filter(other => groupOf(other) === groupOf(each)).length > 2,
  );
  return replaceable.length > 0 ? pick(context.random, replaceable) : undefined;
}

async function terminate(
  context: FaultContext,
  child: RelayChild,
): Promise<void> {
  if (!child.isRunning()) return;
  const {hostId} = child.settings;
  const fromMs = context.now();
  child.signal('SIGTERM');
  let outlivedGrace = false;
  const killer = setTimeout(() => {
    outlivedGrace = true;
    child.signal('SIGKILL');
  }, child.settings.leaveGraceMs);
  const end = await child.ended();
  clearTimeout(killer);
  // Not recorded: an exit by SIGKILL of another fault, and a SIGTERM while Node
  // itself starts, before the program can install a handler or serve anything.
  const isEarly = end.signal === 'SIGTERM' && !end.hadOutput;
  const isOfOtherFault = end.signal === 'SIGKILL' && !outlivedGrace;
  const toMs = context.now();
  if (!isOfOtherFault && !isEarly) {
    context.recordExit({hostId, end, fromMs, toMs});
  }
  context.recordDisruption({
    hostId,
    fromMs,
    toMs,
    isOfProcess: true,
    isPlanned: true,
  });
  child.start();
}

async function disturbLink(
  context: FaultContext,
  fault: PlannedFault,
  mode: ProxyMode,
): Promise<void> {
  const {link} = pickUpstream(context);
  link.setMode(mode);
  await wait(fault.forMs);
  link.setMode('pass');
  // Bytes dropped by the link are lost, so its open connections are reset.
  link.resetAll();
}

async function replaceUpstream(
  context: FaultContext,
  upstream: SoakUpstream,
): Promise<void> {
  const {stage} = upstream.standIn.row() as {
    readonly stage?: 'prefill' | 'decode';
  };
  await context.site.addUpstream(upstream.service, stage);
}

/** Records a signal, and its end after `forMs`. */
async function recordSignal(
  context: FaultContext,
  upstream: SoakUpstream,
  signal: Omit<BackpressureSignal, 'fromMs' | 'toMs'>,
  forMs: number,
): Promise<void> {
  const span = {...signal, fromMs: context.now(), toMs: Infinity};
  upstream.signals.push(span);
  await wait(forMs);
  span.toMs = context.now();
}

type FaultHandler = (
  context: FaultContext,
  fault: PlannedFault,
) => Promise<void>;

/** Injects a fault of each kind; resolves once the fault is reverted. */
export const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  async kill(context, {forMs}) {
    const {child} = pickHost(context);
    const fromMs = context.now();
    child.signal('SIGKILL');
    await child.ended();
    await wait(forMs);
    if (!child.isRunning()) child.start();
    const {hostId} = child.settings;
    context.recordDisruption({
      hostId,
      fromMs,
      toMs: context.now(),
      isOfProcess: true,
    });
  },
  async freeze(context, {forMs}) {
    const {child} = pickHost(context);
    const fromMs = context.now();
    child.signal('SIGSTOP');
    await wait(forMs);
    child.signal('SIGCONT');
    const {hostId} = child.settings;
    context.recordDisruption({
      hostId,
      fromMs,
      toMs: context.now(),
      isOfProcess: true,
    });
  },
  terminate: context => terminate(context, pickHost(context).child),
  async roll(context) {
    for (const {child} of context.site.hosts) await terminate(context, child);
  },
  async [LEAVE_TOGETHER_KIND](context) {
    const gapMs = pick(context.random, GAPS_MS);
    const leaving = context.site.hosts.map(async ({child}, i) => {
      await wait(i * gapMs);
      await terminate(context, child);
    });
    await Promise.all(leaving);
  },
  async 'hang-up'(context) {
    for (const {child} of context.site.hosts) child.signal('SIGHUP');
  },
  async 'store-cut'(context, {forMs}) {
    const {child, storeLink} = pickHost(context);
    const fromMs = context.now();
    storeLink.setMode(pick(context.random, ['silent', 'reset', 'one-way']));
    await wait(forMs);
    storeLink.setMode('pass');
    storeLink.resetAll();
    const {hostId} = child.settings;
    context.recordDisruption({
      hostId,
      fromMs,
      toMs: context.now(),
      isOfProcess: false,
    });
  },
  async 'store-down'(context, {forMs}) {
    const {site} = context;
    const fromMs = context.now();
    site.store.setMode(pick(context.random, ['busy', 'silent']));
    await wait(forMs);
    site.store.setMode('serving');
    for (const {child} of site.hosts) {
      const {hostId} = child.settings;
      const toMs = context.now();
      context.recordDisruption({hostId, fromMs, toMs, isOfProcess: false});
    }
  },
  async 'store-lossy'({site, now}, {forMs}) {
    const fromMs = now();
    site.store.setMode('answers-lost');
    await wait(forMs);
    site.store.setMode('serving');
    site.storeFaults.push({fromMs, toMs: now()});
  },
  async [SLOW_STORE_KIND]({site, now}, {forMs}) {
    const fromMs = now();
    const links = site.hosts.map(({storeLink}) => storeLink);
    for (const link of links) link.setMode('delay');
    await wait(forMs);
    for (const link of links) link.setMode('pass');
    // Bytes that are still delayed must not follow later ones.
    for (const link of links) link.resetAll();
    site.storeFaults.push({fromMs, toMs: now()});
  },
  async [OLDER_COPY_KIND](context, {forMs}) {
    const {site, random} = context;
    const copy = site.store.copy();
    for (let i = 0; i < LOST_WRITES; i++) site.store.put('others', `${i}`, {});
    await wait(forMs);
    const awayAtMs = context.now();
    site.store.setMode('busy');
    await wait(random.nextInt(MAX_OUTAGE_MS));
    site.restoreStore(copy, awayAtMs, context.now());
    site.store.setMode('serving');
  },
  [CRASHING_KIND]: (context, {crash}) => sendCrashingRequests(context, crash),
  [CRASHING_PARTS_KIND]: (context, {parts}) =>
    sendCrashingParts(context, parts),
  async [BROKEN_STREAMS_KIND](context, {forMs}) {
    const {standIn} = pickUpstream(context);
    const {random} = context;
    standIn.setUnframed(true);
    standIn.setBreakOff({
      afterEvents: random.nextInt(STREAM_EVENTS),
      restBytes: pick(random, REST_BYTES),
      isReset: random.nextInt(4) === 0,
    });
    await wait(3 * forMs);
    standIn.setBreakOff(undefined);
    await wait(forMs);
    standIn.setUnframed(false);
  },
  [ENGINE_VERSIONS_KIND]: (context, {forMs}) =>
    replaceEngines(context, forMs, () => pickReplaceable(context)),
  [HOST_CUT_KIND]: (context, {forMs, cut}) => cutHosts(context, forMs, cut),
  [ENGINE_PAUSE_KIND]: pauseEngines,
  [SILENT_CONNECTIONS_KIND]: silenceConnections,
  async 'history-lost'({site}) {
    site.store.dropHistory();
  },
  async 'upstream-crash'(context, {forMs}) {
    const upstream = pickReplaceable(context);
    if (!upstream) return;
    upstream.standIn.crash();
    upstream.link.setMode('reset');
    upstream.link.resetAll();
    await wait(forMs);
    upstream.state = 'gone';
    upstream.goneSinceMs = context.now();
    context.site.store.remove('servers', upstream.standIn.id);
    await replaceUpstream(context, upstream);
  },
  async 'upstream-leaves'(context, {forMs}) {
    const upstream = pickReplaceable(context);
    if (!upstream) return;
    upstream.state = 'draining';
    context.site.store.put('servers', upstream.standIn.id, {
      ...upstream.standIn.row('draining'),
      address: upstream.link.address,
    });
    upstream.drainingSinceMs = context.now();
    await replaceUpstream(context, upstream);
    await wait(forMs);
  },
  'upstream-link': (context, fault) =>
    disturbLink(
      context,
      fault,
      pick(context.random, ['delay', 'silent', 'one-way']),
    ),
  async 'connections-reset'(context) {
    for (const {link} of context.site.upstreams) link.resetAll();
  },
  async 'answers-lost'(context, {forMs}) {
    const {standIn} = pickUpstream(context);
    standIn.setBehaviour('lose-answer');
    await wait(forMs);
    standIn.setBehaviour('answer');
  },
  async refusals(context, {forMs}) {
    const {standIn} = pickUpstream(context);
    standIn.setBehaviour('full');
    await wait(forMs);
    standIn.setBehaviour('answer');
  },
  async 'names-limit'(context, {forMs}) {
    const upstream = pickUpstream(context);
    if (hasActiveSignal(upstream)) return;
    const perS = 1 + context.random.nextInt(5);
    upstream.standIn.setLimit(perS);
    await recordSignal(
      context,
      upstream,
      {kind: 'limit', value: perS},
      3 * forMs,
    );
    upstream.standIn.setLimit(undefined);
  },
  async 'says-leaving'(context) {
    const upstream = pickReplaceable(context);
    if (!upstream || hasActiveSignal(upstream)) return;
    upstream.state = 'leaving';
    upstream.standIn.setLeaving();
    await replaceUpstream(context, upstream);
    const signal = {kind: 'leaving', value: 0} as const;
    await recordSignal(context, upstream, signal, SIGNAL_TO_DRAIN_MS);
    upstream.state = 'draining';
  },
  async 'asks-rest'(context, {forMs}) {
    const upstream = pickReplaceable(context);
    if (!upstream || hasActiveSignal(upstream)) return;
    upstream.standIn.setRetryAfter(RETRY_AFTER_S);
    upstream.standIn.setBehaviour('full');
    const signal = {kind: 'rest', value: RETRY_AFTER_S} as const;
    await recordSignal(context, upstream, signal, 2 * forMs);
    upstream.standIn.setBehaviour('answer');
    upstream.standIn.setRetryAfter(undefined);
  },
  [CONFIGURATIONS_KIND]: changeRoutes,
  [OVERLOAD_KIND]: pressOnHosts,
  async configure(context) {
    context.site.publishConfiguration(context.random.nextInt(2));
  },
};
