/** Client and server of the grants of a shard's home in another process. */

import {
  Code,
  ConnectError,
  createClient,
  type ServiceImpl,
  type Transport,
} from '@connectrpc/connect';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  Home,
  type AnnouncedGrant as AnnouncedGrantMessage,
  type GrantReply,
  type GrantReplySchema,
  type GrantReport,
  type GrantReportSchema,
  type GrantRequest as GrantRequestMessage,
  type GrantRequestSchema,
} from '../generated/corianderbend/peer_pb.js';
import {toCallTimeoutMs} from './peer_connection.js';
import type {Clock} from '../ports/clock.js';
import type {AnnouncedGrant} from '../scheduling/dispatcher.js';
import type {
  Grant,
  GrantPort,
  GrantProgress,
  GrantRefusal,
  GrantRequest,
} from '../ports/grants.js';

/** Reports to one home are batched for this long. */
const REPORT_WINDOW_MS = 20;
const REPORT_TIMEOUT_MS = 2000;
/** A home answers from memory, within the wait of the request. */
const REQUEST_SLACK_MS = 200;
const UNREACHABLE_RETRY_MS = 500;
const MAX_PENDING_REPORTS = 10_000;

const refusalReasons: ReadonlySet<string> = new Set<GrantRefusal['reason']>([
  'not-feasible',
  'account-limit',
  'queue-full',
  'no-engine',
  'home-moved',
  'unreachable',
  'cancelled',
]);

function refusal(
  reason: GrantRefusal['reason'],
  retryAfterMs: number,
): GrantRefusal {
  return {kind: 'refused', reason, retryAfterMs};
}

function encodeRequest(
  shardId: string,
  request: GrantRequest,
): MessageInitShape<typeof GrantRequestSchema> {
  const {requestClass, prefixHashes, avoidEngineIds = [], ...rest} = request;
  return {
    ...rest,
    shardId,
    patient: requestClass === 'patient',
    prefixHashes: [...prefixHashes],
    avoidEngineIds: [...avoidEngineIds],
  };
}

function decodeRequest(message: GrantRequestMessage): GrantRequest {
  const owner = message.owner;
  if (!owner) throw new ConnectError('owner is missing', Code.InvalidArgument);
  const {patient, ...rest} = message;
  return {...rest, owner, requestClass: patient ? 'patient' : 'interactive'};
}

function decodeReply(reply: GrantReply): Grant | GrantRefusal {
  const {outcome} = reply;
  if (outcome.case === 'granted') return {...outcome.value, kind: 'granted'};
  const value = outcome.value;
  const reason = value?.reason ?? '';
  return refusal(
    refusalReasons.has(reason)
      ? (reason as GrantRefusal['reason'])
      : 'unreachable',
    value?.retryAfterMs ?? UNREACHABLE_RETRY_MS,
  );
}

function encodeReply(
  outcome: Grant | GrantRefusal,
): MessageInitShape<typeof GrantReplySchema> {
  return outcome.kind === 'granted'
    ? {outcome: {case: 'granted', value: outcome}}
    : {outcome: {case: 'refused', value: outcome}};
}

function encodeReport(
  shardId: string,
  grant: Grant,
  progress: GrantProgress,
): MessageInitShape<typeof GrantReportSchema> {
  const {kind, ...rest} = progress;
  return {
    shardId,
    grantId: grant.grantId,
    homeEpoch: grant.homeEpoch,
    step: kind,
    ...rest,
  };
}

type ProgressDecoders = Readonly<
  Record<string, (report: GrantReport) => GrantProgress>
>;

const endResults: ReadonlySet<string> = new Set([
  'whole',
  'cancelled',
  'failed',
]);

const progressDecoders: ProgressDecoders = {
  'prefill-started': () => ({kind: 'prefill-started'}),
  'prefill-done': report => ({
    kind: 'prefill-done',
    kvSizeBytes: report.kvSizeBytes,
    cachedTokens: report.cachedTokens,
  }),
  'decode-started': () => ({kind: 'decode-started'}),
  renew: report => ({kind: 'renew', tokensDelivered: report.tokensDelivered}),
  ended: report => ({
    kind: 'ended',
    result: endResults.has(report.result)
      ? (report.result as 'whole' | 'cancelled' | 'failed')
      : 'failed',
    failedEngineId: report.failedEngineId || undefined,
    tokensDelivered: report.tokensDelivered,
    prefillWasted: report.prefillWasted,
  }),
};

/** A grant with only the fields by which the home finds it. */
export function createGrantReference(report: GrantReport): Grant {
  return {
    kind: 'granted',
    grantId: report.grantId,
    homeEpoch: report.homeEpoch,
    prefillEngineId: '',
    prefillAddress: '',
    decodeEngineId: '',
    decodeAddress: '',
    lifeMs: 0,
    startInMs: 0,
  };
}

/** Grants of the home of `shardId`, in the process of `transport`. */
export function createPeerGrants(
  host: {readonly clock: Clock},
  transport: Transport,
  shardId: string,
): HomePort {
  const client = createClient(Home, transport);
  let pending: MessageInitShape<typeof GrantReportSchema>[] = [];
  let isScheduled = false;

  async function flush(): Promise<void> {
    isScheduled = false;
    const reports = pending;
    pending = [];
    try {
      await client.reportGrants({reports}, {timeoutMs: REPORT_TIMEOUT_MS});
    } catch {
      // A lost report is not sent again: the home stops counting the grant as
      // used when its lifetime ends.
    }
  }

  return {
    async request(request, signal) {
      if (signal.aborted) return refusal('cancelled', 0);
      try {
        const timeoutMs = toCallTimeoutMs(
          request.waitLeftMs + REQUEST_SLACK_MS,
        );
        const reply = await client.requestGrant(
          encodeRequest(shardId, request),
          {signal, timeoutMs},
        );
        return decodeReply(reply);
      } catch {
        return signal.aborted
          ? refusal('cancelled', 0)
          : refusal('unreachable', UNREACHABLE_RETRY_MS);
      }
    },
    report(grant, progress) {
      if (pending.length >= MAX_PENDING_REPORTS) return;
      pending.push(encodeReport(shardId, grant, progress));
      if (isScheduled) return;
      isScheduled = true;
      host.clock.setTimer(REPORT_WINDOW_MS, () => void flush());
    },
    adopt({grant, request, isDecoding, tokensDelivered}) {
      const message = {
        grant,
        request: encodeRequest(shardId, request),
        isDecoding,
        tokensDelivered,
      };
      // If the call is lost, the new home learns of the grant by its `renew`.
      client
        .adoptGrants(
          {shardId, grants: [message]},
          {timeoutMs: REPORT_TIMEOUT_MS},
        )
        .catch(() => {});
    },
  };
}

/** The calls that peers make to a home. */
export interface HomePort extends GrantPort {
  /** Announces a grant of an earlier home to the new one. */
  adopt(announced: AnnouncedGrant): void;
}

/** The home of a shard; undefined if it is not in this process. */
export type FindHome = (shardId: string) => HomePort | undefined;

function decodeAnnounced(
  message: AnnouncedGrantMessage,
): AnnouncedGrant | undefined {
  if (!message.grant || !message.request) return undefined;
  return {
    grant: {...message.grant, kind: 'granted'},
    request: decodeRequest(message.request),
    isDecoding: message.isDecoding,
    tokensDelivered: message.tokensDelivered,
  };
}

/** Serves `Home` from the homes in this process. */
export function createHomeService(
  findHome: FindHome,
): ServiceImpl<typeof Home> {
  return {
    async requestGrant(message, context) {
      const request = decodeRequest(message);
      const home = findHome(message.shardId);
      if (!home) return encodeReply(refusal('home-moved', 0));
      return encodeReply(await home.request(request, context.signal));
    },
    reportGrants(message) {
      for (const report of message.reports) {
        const home = findHome(report.shardId);
        const decode = progressDecoders[report.step];
        if (home && decode) {
          home.report(createGrantReference(report), decode(report));
        }
      }
      return {};
    },
    adoptGrants(message) {
      const home = findHome(message.shardId);
      for (const item of message.grants) {
        const announced = decodeAnnounced(item);
        if (announced) home?.adopt(announced);
      }
      return {};
    },
  };
}
