/**
 * Admits requests to upstreams that name a rate limit, which applies to all
 * hosts together. One host owns each limit and grants a permit for each send.
 *
 * Without an owner, hosts would each apply the full limit and exceed it many
 * times, or a share of it, which may be less than one request.
 */

import {createBoundedMap} from '../../core/bounded_map.js';
import {MAX_REMEMBERED_UPSTREAMS} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {PeerRequestClient} from '../fleet/peer_request_client.js';
import type {PermitReply, PermitRequest} from './permit_messages.js';
import type {PermitSchedule} from './permit_schedule.js';
import type {UpstreamLimits} from './upstream_limits.js';

/** Why a request is held back; the first three reasons concern a limit. */
export type WithheldReason =
  'owner' | 'earlier-answer' | 'no-owner' | 'rest' | 'leaving';

export interface Withheld {
  readonly kind: 'withheld';
  /** Time until the next request could be sent. */
  readonly waitMs: number;
  readonly by: WithheldReason;
}

export type GateVerdict =
  /** The request may be sent after this time. */
  {readonly kind: 'open'; readonly waitMs: number} | Withheld;

export interface LimitGate {
  admit(
    upstreamId: string,
    mostWaitMs: number,
  ): GateVerdict | Promise<GateVerdict>;
  /** Returns how long this host may send nothing to the upstream, or 0. */
  blockedForMs(upstreamId: string): number;
  /** Decides on a permit request as the owner of the upstream's limit. */
  handleRequest(fromHostId: string, request: PermitRequest): PermitReply;
}

export interface LimitGateHost {
  readonly clock: Clock;
  readonly hostId: string;
  readonly limits: UpstreamLimits;
  readonly schedule: PermitSchedule;
  readonly client: Pick<PeerRequestClient<PermitRequest, PermitReply>, 'ask'>;
  /** Returns the owners of the upstream's limit, by descending priority. */
  owners(upstreamId: string): readonly string[];
}

const OPEN: GateVerdict = {kind: 'open', waitMs: 0};
/** The owner, and a backup for when the owner doesn't reply. */
const MAX_OWNERS_TRIED = 2;
/** Time for which an owner that didn't reply is skipped. */
const OWNER_SKIP_MS = 600;
/** Wait if no owner replied; failed owners are detected within seconds. */
const NO_OWNER_WAIT_MS = 300;

export function createLimitGate(host: LimitGateHost): LimitGate {
  const {clock, hostId: ownId, limits, schedule} = host;
  const blockedUntilMs = createBoundedMap<number>(MAX_REMEMBERED_UPSTREAMS);
  const ownerSkippedUntilMs = new Map<string, number>();

  const blockedForMs = (upstreamId: string) =>
    limits.limitPerS(upstreamId) === undefined
      ? 0
      : Math.max(0, (blockedUntilMs.get(upstreamId) ?? 0) - clock.nowMs());

  function withhold(
    upstreamId: string,
    waitMs: number,
    by: WithheldReason,
  ): GateVerdict {
    blockedUntilMs.set(upstreamId, clock.nowMs() + waitMs);
    return {kind: 'withheld', waitMs, by};
  }

  function handleRequest(
    fromHostId: string,
    request: PermitRequest,
  ): PermitReply {
    const {askId, limit, mostWaitMs} = request;
    const {upstream} = limit;
    if (fromHostId !== ownId) limits.applyRecords([limit], 'relayed');
    const known = limits.record(upstream) ?? limit;
    const {limitPerS} = known;
    const permit =
      limitPerS === null
        ? {isGranted: true, waitMs: 0}
        : schedule.take({
            upstream,
            limitPerS,
            mostWaitMs,
            isBackup: host.owners(upstream)[0] !== ownId,
          });
    return {
      kind: 'permit-answer',
      askId,
      ...permit,
      limit: limitPerS === limit.limitPerS ? undefined : known,
    };
  }

  function requestFromOwner(
    owner: string,
    request: Omit<PermitRequest, 'askId'>,
  ): Promise<PermitReply | undefined> {
    if (owner !== ownId) return host.client.ask(owner, request);
    return Promise.resolve(handleRequest(ownId, {...request, askId: 0}));
  }

  async function requestPermit(
    upstreamId: string,
    mostWaitMs: number,
  ): Promise<GateVerdict> {
    for (const owner of host.owners(upstreamId).slice(0, MAX_OWNERS_TRIED)) {
      if ((ownerSkippedUntilMs.get(owner) ?? 0) > clock.nowMs()) continue;
      const limit = limits.record(upstreamId);
      if (!limit) return OPEN;
      const kind = 'permit-ask';
      const answer = await requestFromOwner(owner, {kind, limit, mostWaitMs});
      if (!answer) {
        ownerSkippedUntilMs.set(owner, clock.nowMs() + OWNER_SKIP_MS);
        continue;
      }
      if (answer.limit) limits.applyRecords([answer.limit], 'relayed');
      const {isGranted, waitMs} = answer;
      if (isGranted) return {kind: 'open', waitMs};
      return withhold(upstreamId, waitMs, 'owner');
    }
    return withhold(upstreamId, NO_OWNER_WAIT_MS, 'no-owner');
  }

  return {
    admit(upstreamId, mostWaitMs) {
      if (limits.limitPerS(upstreamId) === undefined) return OPEN;
      const waitMs = blockedForMs(upstreamId);
      if (waitMs > mostWaitMs) {
        return {kind: 'withheld', waitMs, by: 'earlier-answer'};
      }
      return requestPermit(upstreamId, mostWaitMs);
    },
    blockedForMs,
    handleRequest,
  };
}
