/**
 * Hosts that are cut off from all upstreams, and the check that their callers
 * are served nearly as well as those of the other hosts.
 */

import type {DisruptedSpan, FaultContext} from './fault_kinds.js';
import type {LinkCut} from './fault_proxy.js';
import type {CallRecord} from './soak_callers.js';
import {startProcessorWaits} from './processor_waits.js';
import type {SoakHost, SoakSite, SoakUpstream} from './soak_site.js';

/** A span in which hosts were cut off from all upstreams. */
export interface HostCut {
  readonly hostIds: ReadonlySet<string>;
  readonly fromMs: number;
  readonly toMs: number;
  /**
   * Of the time in which the bound applies, the largest share for which a host
   * that was left, or the process of callers and upstreams, had no processor.
   */
  readonly waitedShare: number;
}

/** A cut whose callers were served badly. */
export interface UnservedCut {
  readonly line: string;
  /** Whether processors were missing for most of the time. */
  readonly isStarved: boolean;
}

export interface CutEvidence {
  readonly records: readonly CallRecord[];
  readonly cuts: readonly HostCut[];
  readonly disruptions: readonly DisruptedSpan[];
}

const LINK_CUTS: readonly LinkCut[] = ['hang', 'reset', 'refuse-new'];
/** The bound applies from this long after the start of a cut. */
const CONTACT_MS = 3_000;
const PAUSE_MS = 100;
const MIN_SHARE = 2 / 3;
const FREE_FAILURES = 10;
const FREE_FAILURE_SHARE = 1 / 50;
const MAX_WAITED_SHARE = 1 / 2;
const STATUS_OK = 200;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

export interface CutScenario {
  readonly hostCount: number;
  readonly how: LinkCut;
  /** Cuts only some upstreams off: one service, or one failure domain. */
  readonly part?: CutPart;
  /** The cut heals and comes again at once. */
  readonly isRepeated?: boolean;
}

export type CutPart = 'service' | 'domain';

const IS_IN_PART: Readonly<
  Record<CutPart, (upstream: SoakUpstream, index: number) => boolean>
> = {
  service: ({service}) => service === 'drafts',
  // Each domain has engines of all services and roles.
  domain: (_, index) => index % 2 === 0,
};

/** Returns the share of the time for which processors were missing. */
async function cutOnce(
  site: SoakSite,
  hosts: readonly SoakHost[],
  {how, part}: Pick<CutScenario, 'how' | 'part'>,
  forMs: number,
): Promise<number> {
  const sources = new Set(hosts.map(({sourceAddress}) => sourceAddress));
  const cutOff = part
    ? site.upstreams.filter(IS_IN_PART[part])
    : site.upstreams;
  for (const {link} of cutOff) link.cut(sources, how);
  await wait(CONTACT_MS);
  const left = site.hosts
    .filter(({sourceAddress}) => !sources.has(sourceAddress))
    .flatMap(({child}) => child.processId() ?? []);
  const readWaitedMs = startProcessorWaits([process.pid, ...left]);
  await wait(forMs);
  for (const {link} of site.upstreams) link.cut(sources, undefined);
  return readWaitedMs() / forMs;
}

/** Cuts hosts off, and sends first tries to all hosts in turn meanwhile. */
export async function cutHosts(
  context: FaultContext,
  forMs: number,
  scenario?: CutScenario,
): Promise<void> {
  const {site, random, now} = context;
  if (site.isCut) return;
  site.isCut = true;
  const {
    hostCount = 1 + random.nextInt(site.hosts.length - 1),
    how = LINK_CUTS[random.nextInt(LINK_CUTS.length)],
    isRepeated = random.nextInt(3) === 0,
  } = scenario ?? {};
  const first = random.nextInt(site.hosts.length);
  const hosts = Array.from(
    {length: hostCount},
    (_, i) => site.hosts[(first + i) % site.hosts.length],
  );
  const hostIds = new Set(hosts.map(({child}) => child.settings.hostId));
  const rounds = isRepeated ? 2 : 1;
  const roundMs = CONTACT_MS + forMs + PAUSE_MS;
  const tries = context.callEachHost(rounds * roundMs);
  for (let i = 0; i < rounds; i++) {
    const fromMs = now();
    const scope = {how, part: scenario?.part};
    const waitedShare = await cutOnce(site, hosts, scope, forMs);
    context.recordCut({hostIds, fromMs, toMs: now(), waitedShare});
    await wait(PAUSE_MS);
  }
  site.isCut = false;
  await tries;
}

function countServed(records: readonly CallRecord[]) {
  const served = records.filter(
    ({status, isCut, hasDisconnected}) =>
      hasDisconnected || (status === STATUS_OK && !isCut),
  ).length;
  return {sent: records.length, served};
}

/** Whether the host was disrupted otherwise shortly before the call. */
function isExcused(
  {hostId, sentAtMs, endedAtMs = sentAtMs}: CallRecord,
  disruptions: readonly DisruptedSpan[],
): boolean {
  return disruptions.some(
    span =>
      span.isOfProcess &&
      span.hostId === hostId &&
      span.fromMs <= endedAtMs &&
      sentAtMs <= span.toMs + CONTACT_MS,
  );
}

export function findUnservedCuts({
  records,
  cuts,
  disruptions,
}: CutEvidence): readonly UnservedCut[] {
  return cuts.flatMap(({hostIds, fromMs, toMs, waitedShare}) => {
    const during = records.filter(
      record =>
        record.kind !== 'extra' &&
        !record.takeUp &&
        !record.kind.startsWith('crashing') &&
        record.sentAtMs >= fromMs + CONTACT_MS &&
        record.sentAtMs < toMs &&
        !isExcused(record, disruptions),
    );
    const cut = countServed(during.filter(each => hostIds.has(each.hostId)));
    const other = countServed(during.filter(each => !hostIds.has(each.hostId)));
    if (cut.sent === 0 || other.sent === 0) return [];
    // No host in touch is left to make calls for the others.
    const isAnyLeft = [...new Set(records.map(({hostId}) => hostId))].some(
      hostId =>
        !hostIds.has(hostId) &&
        !disruptions.some(
          span =>
            span.isOfProcess &&
            span.hostId === hostId &&
            span.fromMs <= toMs &&
            fromMs <= span.toMs,
        ),
    );
    if (!isAnyLeft) return [];
    const isBad =
      cut.served / cut.sent < MIN_SHARE * (other.served / other.sent) &&
      cut.sent - cut.served >
        FREE_FAILURES + FREE_FAILURE_SHARE * during.length;
    const line =
      `${cut.served} of ${cut.sent} first tries were served at hosts without ` +
      `upstreams, ${other.served} of ${other.sent} at the others; processors ` +
      `were missing for ${waitedShare.toFixed(2)} of the time`;
    return isBad ? [{line, isStarved: waitedShare > MAX_WAITED_SHARE}] : [];
  });
}
