/** Faults drawn from a seed, and how each is brought about and undone. */

import type {Random} from '../../src/ports/random.js';
import type {ProxyMode} from './fault_proxy.js';
import type {ChildEnd, RelayChild} from './relay_child.js';
import type {Ask, SoakHost, SoakSite, SoakUpstream} from './soak_site.js';

export const FAULT_KINDS = [
  'kill',
  'freeze',
  'terminate',
  'roll',
  'hang-up',
  'store-cut',
  'store-down',
  'store-lossy',
  'history-lost',
  'upstream-crash',
  'upstream-leaves',
  'upstream-link',
  'connections-reset',
  'answers-lost',
  'refusals',
  'configure',
] as const;

/** Upstreams that ask for fewer requests. */
export const ASK_KINDS = ['names-limit', 'says-leaving', 'asks-rest'] as const;

/** Apart from the others, so that their seeds draw what they always drew. */
export const COPY_KIND = 'store-older-copy';

export type FaultKind =
  (typeof FAULT_KINDS)[number] | (typeof ASK_KINDS)[number] | typeof COPY_KIND;

export const ALL_KINDS: readonly FaultKind[] = [
  ...FAULT_KINDS,
  ...ASK_KINDS,
  COPY_KIND,
];
/** A store that loses writes, beside what the lost writes were about. */
export const COPY_SOAK_KINDS: readonly FaultKind[] = [
  COPY_KIND,
  COPY_KIND,
  'upstream-leaves',
  'upstream-leaves',
  'upstream-leaves',
  'upstream-crash',
  'configure',
  'kill',
  'store-cut',
];
/** Upstreams that ask, beside what makes hosts forget or hear nothing. */
export const ASK_SOAK_KINDS: readonly FaultKind[] = [
  ...ASK_KINDS,
  'kill',
  'store-down',
];

export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
}

/** A span in which a host was harmed, for checks that excuse such hosts. */
export interface HarmSpan {
  readonly hostId: string;
  readonly fromMs: number;
  toMs: number;
  /** Its process was stopped or started, and may have forgotten things. */
  readonly isOfProcess: boolean;
}

export interface FaultContext {
  readonly site: SoakSite;
  readonly random: Random;
  now(): number;
  noteHarm(span: HarmSpan): void;
  /** A process that was asked to leave did so. */
  noteLeft(hostId: string, end: ChildEnd): void;
}

/** Several faults at overlapping times; the last second is left calm. */
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

/** From an upstream's first word that it leaves until the store has it. */
const LEAVE_AFTER_MS = 4_500;
const REST_S = 2;
/** A store that comes back from an older copy is away for a moment. */
const MOST_AWAY_MS = 800;
/** Beside what the fault is about, so that numbers go back far. */
const LOST_WRITES = 200;

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

/** An upstream asks for one thing at a time, so that its end is one, too. */
const isAsking = ({asks}: SoakUpstream) =>
  asks.some(({toMs}) => toMs === Infinity);

/** Leaves at least two upstreams of each service and role. */
function pickSpare(context: FaultContext): SoakUpstream | undefined {
  const ready = context.site.upstreams.filter(({state}) => state === 'ready');
  const groupOf = (each: SoakUpstream) => {
    const {stage} = each.standIn.row() as {readonly stage?: string};
    return `${each.service} ${stage}`;
  };
  const spare = ready.filter(
    each => ready.filter(other => groupOf(other) === groupOf(each)).length > 2,
  );
  return spare.length > 0 ? pick(context.random, spare) : undefined;
}

async function terminate(
  context: FaultContext,
  child: RelayChild,
): Promise<void> {
  if (!child.isRunning()) return;
  const {hostId} = child.settings;
  const fromMs = context.now();
  child.signal('SIGTERM');
  const end = await child.ended();
  // Another fault may kill it while it leaves; it has no word in that. Nor has
  // one that is told to leave while Node itself still starts: no program's
  // handler is there yet, and nothing was served.
  const isEarly = end.signal === 'SIGTERM' && !end.hadBegun;
  if (end.signal !== 'SIGKILL' && !isEarly) context.noteLeft(hostId, end);
  context.noteHarm({hostId, fromMs, toMs: context.now(), isOfProcess: true});
  child.start();
}

async function onLink(
  context: FaultContext,
  fault: PlannedFault,
  mode: ProxyMode,
): Promise<void> {
  const {link} = pickUpstream(context);
  link.setMode(mode);
  await wait(fault.forMs);
  link.setMode('pass');
  // What hung in the link hangs for good; its ends see a reset at last.
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

/** An upstream asks for something, and takes it back later. */
async function askFor(
  context: FaultContext,
  upstream: SoakUpstream,
  ask: Omit<Ask, 'fromMs' | 'toMs'>,
  forMs: number,
): Promise<void> {
  const span = {...ask, fromMs: context.now(), toMs: Infinity};
  upstream.asks.push(span);
  await wait(forMs);
  span.toMs = context.now();
}

type FaultHandler = (
  context: FaultContext,
  fault: PlannedFault,
) => Promise<void>;

/** How each kind is brought about; resolves once it is undone. */
export const FAULT_HANDLERS: Readonly<Record<FaultKind, FaultHandler>> = {
  async kill(context, {forMs}) {
    const {child} = pickHost(context);
    const fromMs = context.now();
    child.signal('SIGKILL');
    await child.ended();
    await wait(forMs);
    if (!child.isRunning()) child.start();
    const {hostId} = child.settings;
    context.noteHarm({hostId, fromMs, toMs: context.now(), isOfProcess: true});
  },
  async freeze(context, {forMs}) {
    const {child} = pickHost(context);
    const fromMs = context.now();
    child.signal('SIGSTOP');
    await wait(forMs);
    child.signal('SIGCONT');
    const {hostId} = child.settings;
    context.noteHarm({hostId, fromMs, toMs: context.now(), isOfProcess: true});
  },
  terminate: context => terminate(context, pickHost(context).child),
  async roll(context) {
    for (const {child} of context.site.hosts) await terminate(context, child);
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
    context.noteHarm({hostId, fromMs, toMs: context.now(), isOfProcess: false});
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
      context.noteHarm({hostId, fromMs, toMs, isOfProcess: false});
    }
  },
  async 'store-lossy'({site}, {forMs}) {
    site.store.setMode('answers-lost');
    await wait(forMs);
    site.store.setMode('serving');
  },
  async [COPY_KIND](context, {forMs}) {
    const {site, random} = context;
    const copy = site.store.copy();
    for (let i = 0; i < LOST_WRITES; i++) site.store.put('others', `${i}`, {});
    await wait(forMs);
    const awayAtMs = context.now();
    site.store.setMode('busy');
    await wait(random.nextInt(MOST_AWAY_MS));
    site.comeBack(copy, awayAtMs, context.now());
    site.store.setMode('serving');
  },
  async 'history-lost'({site}) {
    site.store.dropHistory();
  },
  async 'upstream-crash'(context, {forMs}) {
    const upstream = pickSpare(context);
    if (!upstream) return;
    upstream.standIn.crash();
    upstream.link.setMode('reset');
    upstream.link.resetAll();
    await wait(forMs);
    upstream.state = 'gone';
    context.site.store.remove('servers', upstream.standIn.id);
    await replaceUpstream(context, upstream);
  },
  async 'upstream-leaves'(context, {forMs}) {
    const upstream = pickSpare(context);
    if (!upstream) return;
    upstream.state = 'draining';
    context.site.store.put('servers', upstream.standIn.id, {
      ...upstream.standIn.row('draining'),
      address: upstream.link.address,
    });
    upstream.leftAtMs = context.now();
    await replaceUpstream(context, upstream);
    await wait(forMs);
  },
  'upstream-link': (context, fault) =>
    onLink(
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
    if (isAsking(upstream)) return;
    const perS = 1 + context.random.nextInt(5);
    upstream.standIn.setLimit(perS);
    await askFor(context, upstream, {kind: 'limit', value: perS}, 3 * forMs);
    upstream.standIn.setLimit(undefined);
  },
  async 'says-leaving'(context) {
    const upstream = pickSpare(context);
    if (!upstream || isAsking(upstream)) return;
    upstream.state = 'leaving';
    upstream.standIn.setLeaving();
    await replaceUpstream(context, upstream);
    const ask = {kind: 'leaving', value: 0} as const;
    await askFor(context, upstream, ask, LEAVE_AFTER_MS);
    upstream.state = 'draining';
  },
  async 'asks-rest'(context, {forMs}) {
    const upstream = pickSpare(context);
    if (!upstream || isAsking(upstream)) return;
    upstream.standIn.setRest(REST_S);
    upstream.standIn.setBehaviour('full');
    const ask = {kind: 'rest', value: REST_S} as const;
    await askFor(context, upstream, ask, 2 * forMs);
    upstream.standIn.setBehaviour('answer');
    upstream.standIn.setRest(undefined);
  },
  async configure(context) {
    context.site.configure(context.random.nextInt(2));
  },
};
