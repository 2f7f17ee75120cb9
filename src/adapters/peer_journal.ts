/** Client and server of the journal of an owner in another process. */

import {
  createClient,
  type ServiceImpl,
  type Transport,
} from '@connectrpc/connect';
import {Journal} from '../generated/corianderbend/peer_pb.js';
import type {
  Intent,
  IntentEnd,
  IntentReply,
  StoredAnswer as StoredAnswerMessage,
} from '../generated/corianderbend/peer_pb.js';
import {toCallTimeoutMs} from './peer_connection.js';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
  JournalPort,
  StoredAnswer,
} from '../ports/journal.js';

const CALL_SLACK_MS = 100;
const UNREACHABLE_RETRY_MS = 500;
const RUNNING_RETRY_MS = 200;

function decodeAnswer(message: StoredAnswerMessage | undefined): StoredAnswer {
  return {
    status: message?.status ?? 0,
    headers: message?.headers ?? {},
    body: message?.body ?? new Uint8Array(),
  };
}

function decodeIntent(message: Intent): IntentRequest {
  return {
    service: message.service,
    account: message.account,
    idempotencyKey: message.idempotencyKey,
    fingerprint: message.fingerprint,
    attemptId: message.attemptId,
    entry: message.entry,
    timeoutMs: message.timeoutMs,
  };
}

type RefusalReason = (IntentOutcome & {kind: 'refused'})['reason'];

const refusalReasons: ReadonlySet<string> = new Set<RefusalReason>([
  'platform',
  'not-owner',
  'overloaded',
]);

/** The entry may dispatch only after a reply of kind `proceed`. */
const outcomeDecoders: Readonly<
  Record<string, (reply: IntentReply) => IntentOutcome>
> = {
  proceed: () => ({kind: 'proceed'}),
  answered: reply => ({kind: 'answered', answer: decodeAnswer(reply.answer)}),
  running: reply => ({kind: 'running', retryAfterMs: reply.retryAfterMs}),
  'outcome-unknown': reply => ({
    kind: 'outcome-unknown',
    attemptId: reply.attemptId,
  }),
  conflict: () => ({kind: 'conflict'}),
  refused: reply => ({
    kind: 'refused',
    reason: refusalReasons.has(reply.reason)
      ? (reply.reason as RefusalReason)
      : 'overloaded',
    retryAfterMs: reply.retryAfterMs,
  }),
};

const endDecoders: Readonly<
  Record<JournalEnd['kind'], (message: IntentEnd) => JournalEnd>
> = {
  answered: message => ({
    kind: 'answered',
    answer: decodeAnswer(message.answer),
  }),
  released: () => ({kind: 'released'}),
  'outcome-unknown': () => ({kind: 'outcome-unknown'}),
};

function isEndKind(kind: string): kind is JournalEnd['kind'] {
  return Object.hasOwn(endDecoders, kind);
}

/**
 * The journal of the owner that `transport` connects to.
 *
 * If the reply to `begin` is lost, the intent may be durable. The attempt is
 * never dispatched in this case and is refused as not run; the caller of this
 * port releases the key with `end`.
 */
export function createPeerJournal(transport: Transport): JournalPort {
  const client = createClient(Journal, transport);
  return {
    async begin(request) {
      try {
        const timeoutMs = toCallTimeoutMs(request.timeoutMs + CALL_SLACK_MS);
        const reply = await client.begin(request, {timeoutMs});
        const decode = outcomeDecoders[reply.kind];
        if (decode) return decode(reply);
      } catch {
        // Continues with the refusal: nothing was dispatched.
      }
      return {
        kind: 'refused',
        reason: 'not-owner',
        retryAfterMs: UNREACHABLE_RETRY_MS,
      };
    },
    async end(request, end) {
      try {
        const timeoutMs = toCallTimeoutMs(request.timeoutMs + CALL_SLACK_MS);
        const answer = end.kind === 'answered' ? end.answer : undefined;
        const reply = await client.end(
          {intent: request, kind: end.kind, answer},
          {timeoutMs},
        );
        return reply.durable;
      } catch {
        return false;
      }
    },
  };
}

/** Serves `Journal` from the owner of a partition in this process. */
export function createJournalService(
  findOwner: (request: IntentRequest) => JournalPort | undefined,
): ServiceImpl<typeof Journal> {
  return {
    async begin(message) {
      const request = decodeIntent(message);
      const owner = findOwner(request);
      if (!owner) {
        return {
          kind: 'refused',
          reason: 'not-owner',
          retryAfterMs: RUNNING_RETRY_MS,
        };
      }
      const outcome = await owner.begin(request);
      return {...outcome};
    },
    async end(message) {
      const intent = message.intent;
      if (!intent || !isEndKind(message.kind)) return {durable: false};
      const request = decodeIntent(intent);
      const owner = findOwner(request);
      if (!owner) return {durable: false};
      const durable = await owner.end(
        request,
        endDecoders[message.kind](message),
      );
      return {durable};
    },
  };
}
