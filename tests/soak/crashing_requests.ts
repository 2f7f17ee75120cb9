/**
 * A fault in which one request ends each upstream that runs it and is sent
 * again and again, and the check that hosts stop sending it.
 */

import type {
  Crash,
  CrashedPort,
} from '../../stand_ins/users_platform/engine_stand_in.js';
import type {CallKind, CallRecord} from './soak_callers.js';
import type {DisruptedSpan, FaultContext} from './soak_faults.js';
import type {SoakSite, SoakUpstream} from './soak_site.js';

/** An upstream ended while it ran the request. */
export interface RecordedCrash {
  readonly kind: CallKind;
  readonly atMs: number;
}

const PORTS: readonly CrashedPort[] = ['closed', 'resetting', 'silent'];
const CRASHING_KINDS: readonly CallKind[] = ['crashing', 'crashing-stream'];
const CALL_INTERVAL_MS = 200;
const DURATION_MS = 7_000;
const RESTART_MS = 1_000;
/** A host knows a request as crashing upstreams this long after the third. */
const CONTACT_MS = 3_000;
/** Allows for delays on a busy machine. */
const SLACK_MS = 500;
const MAX_LATE_RUNS = 3;
/** The codes of the errors `quarantined` and `suspected`. */
const REFUSED_FOR_CRASHES = /"CB20(07|12)"/;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Replaces an upstream that a run has crashed. */
async function replaceCrashed(
  site: SoakSite,
  upstream: SoakUpstream,
): Promise<void> {
  upstream.state = 'gone';
  const {id} = upstream.standIn;
  const {stage} = upstream.standIn.row() as {stage?: 'prefill' | 'decode'};
  await wait(RESTART_MS);
  await site.addUpstream(upstream.service, stage);
  await wait(RESTART_MS);
  site.store.remove('servers', id);
}

export async function sendCrashingRequests(
  context: FaultContext,
): Promise<void> {
  const {site, random, now} = context;
  if (site.crash) return;
  const kind = CRASHING_KINDS[random.nextInt(CRASHING_KINDS.length)];
  const crash: Crash = {
    port: PORTS[random.nextInt(PORTS.length)],
    answersFirst: random.nextInt(2) === 0,
  };
  const replacing: Array<Promise<void>> = [];
  site.crash = {
    ...crash,
    onCrash(upstream) {
      site.crashes.push({kind, atMs: now()});
      replacing.push(replaceCrashed(site, upstream));
    },
  };
  const endAtMs = now() + DURATION_MS;
  while (now() < endAtMs) {
    void context.call(kind);
    await wait(CALL_INTERVAL_MS);
  }
  site.crash = undefined;
  await Promise.all(replacing);
}

export interface CrashEvidence {
  readonly records: readonly CallRecord[];
  readonly upstreams: readonly SoakUpstream[];
  readonly crashes: readonly RecordedCrash[];
  readonly disruptions: readonly DisruptedSpan[];
}

/** Returns one line for each violated guarantee. */
export function findUnstoppedCrashes(
  evidence: CrashEvidence,
): readonly string[] {
  const {records, upstreams, crashes, disruptions} = evidence;
  const byId = new Map(records.map(record => [record.id, record]));
  const unstopped = CRASHING_KINDS.flatMap(kind => {
    const third = crashes.filter(each => each.kind === kind)[2];
    if (!third) return [];
    const lateFromMs = third.atMs + CONTACT_MS + SLACK_MS;
    const late = upstreams
      .flatMap(({standIn}) => standIn.runs)
      .filter(({stage, startedAtMs}) => {
        return stage !== 'prefill' && startedAtMs > lateFromMs;
      })
      .filter(({requestId, startedAtMs}) => {
        const record = byId.get(requestId);
        const isCalm = !disruptions.some(
          span =>
            span.hostId === record?.hostId &&
            span.fromMs <= startedAtMs &&
            startedAtMs <= span.toMs + CONTACT_MS,
        );
        return record?.kind === kind && isCalm;
      });
    if (late.length <= MAX_LATE_RUNS) return [];
    return [`${kind}: sent ${late.length} times after its third crash`];
  });
  const refused = records
    .filter(({kind}) => !CRASHING_KINDS.includes(kind))
    .filter(({body}) => REFUSED_FOR_CRASHES.test(body))
    .map(({id, kind}) => `${id} (${kind}): refused, but it crashes nothing`);
  return [...unstopped, ...refused];
}
