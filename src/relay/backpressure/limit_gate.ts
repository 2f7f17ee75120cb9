/**
 * Lets requests through to upstreams that name a limit, so that all hosts
 * together keep to it. One host owns each upstream's limit; it is asked before
 * each send.
 *
 * Guards against hosts that each keep to the limit, or to a share of it: the
 * first send many times as much, the second less than one request each.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MOST_REMEMBERED} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {AskClient} from '../fleet/ask_client.js';
import type {PermitAnswer, PermitAsk} from './permit_messages.js';
import type {PermitSchedule} from './permit_schedule.js';
import type {UpstreamLimits} from './upstream_limits.js';

/** Why a request is held back; the first three are about a limit. */
export type WithheldBy =
  'owner' | 'earlier-answer' | 'no-owner' | 'rest' | 'leaving';

export interface Withheld {
  readonly kind: 'withheld';
  /** Until the next request could be sent. */
  readonly waitMs: number;
  readonly by: WithheldBy;
}

export type GateVerdict =
  /** It may be sent after this long. */
  {readonly kind: 'open'; readonly waitMs: number} | Withheld;

export interface LimitGate {
  admit(
    upstreamId: string,
    mostWaitMs: number,
  ): GateVerdict | Promise<GateVerdict>;
  /** How long the upstream takes nothing more from this host; 0: it may. */
  heldMs(upstreamId: string): number;
  /** As the owner of an upstream's limit. */
  decide(fromHostId: string, ask: PermitAsk): PermitAnswer;
}

export interface LimitGateHost {
  readonly clock: Clock;
  readonly hostId: string;
  readonly limits: UpstreamLimits;
  readonly schedule: PermitSchedule;
  readonly client: Pick<AskClient<PermitAsk, PermitAnswer>, 'ask'>;
  /** Who owns the upstream's limit, first choice first. */
  owners(upstreamId: string): readonly string[];
}

const OPEN: GateVerdict = {kind: 'open', waitMs: 0};
/** The owner, and one that stands in for it while it is silent. */
const OWNER_COUNT = 2;
/** An owner that did not answer is not asked for this long. */
const PASSED_OVER_MS = 600;
/** Without any owner; hosts find out within seconds who else lives. */
const NO_OWNER_HOLD_MS = 300;

export function createLimitGate(host: LimitGateHost): LimitGate {
  const {clock, hostId: ownId, limits, schedule} = host;
  const heldUntilMs = createBoundedMap<number>(MOST_REMEMBERED);
  const passedOverUntilMs = new Map<string, number>();

  const heldMs = (upstreamId: string) =>
    limits.limitPerS(upstreamId) === undefined
      ? 0
      : Math.max(0, (heldUntilMs.get(upstreamId) ?? 0) - clock.nowMs());

  function withhold(
    upstreamId: string,
    waitMs: number,
    by: WithheldBy,
  ): GateVerdict {
    heldUntilMs.set(upstreamId, clock.nowMs() + waitMs);
    return {kind: 'withheld', waitMs, by};
  }

  function decide(fromHostId: string, ask: PermitAsk): PermitAnswer {
    const {askId, limit, mostWaitMs} = ask;
    const {upstream} = limit;
    if (fromHostId !== ownId) limits.hear([limit], 'relayed');
    const known = limits.record(upstream) ?? limit;
    const {limitPerS} = known;
    const permit =
      limitPerS === null
        ? {isGranted: true, waitMs: 0}
        : schedule.take({
            upstream,
            limitPerS,
            mostWaitMs,
            isStandIn: host.owners(upstream)[0] !== ownId,
          });
    return {
      kind: 'permit-answer',
      askId,
      ...permit,
      limit: limitPerS === limit.limitPerS ? undefined : known,
    };
  }

  function askOwner(
    owner: string,
    question: Omit<PermitAsk, 'askId'>,
  ): Promise<PermitAnswer | undefined> {
    if (owner !== ownId) return host.client.ask(owner, question);
    return Promise.resolve(decide(ownId, {...question, askId: 0}));
  }

  async function askOwners(
    upstreamId: string,
    mostWaitMs: number,
  ): Promise<GateVerdict> {
    for (const owner of host.owners(upstreamId).slice(0, OWNER_COUNT)) {
      if ((passedOverUntilMs.get(owner) ?? 0) > clock.nowMs()) continue;
      const limit = limits.record(upstreamId);
      if (!limit) return OPEN;
      const kind = 'permit-ask';
      const answer = await askOwner(owner, {kind, limit, mostWaitMs});
      if (!answer) {
        passedOverUntilMs.set(owner, clock.nowMs() + PASSED_OVER_MS);
        continue;
      }
      if (answer.limit) limits.hear([answer.limit], 'relayed');
      const {isGranted, waitMs} = answer;
      if (isGranted) return {kind: 'open', waitMs};
      return withhold(upstreamId, waitMs, 'owner');
    }
    return withhold(upstreamId, NO_OWNER_HOLD_MS, 'no-owner');
  }

  return {
    admit(upstreamId, mostWaitMs) {
      if (limits.limitPerS(upstreamId) === undefined) return OPEN;
      const waitMs = heldMs(upstreamId);
      if (waitMs > mostWaitMs) {
        return {kind: 'withheld', waitMs, by: 'earlier-answer'};
      }
      return askOwners(upstreamId, mostWaitMs);
    },
    heldMs,
    decide,
  };
}
