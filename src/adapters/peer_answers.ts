/** The index of kept model answers, and reading answers from other entries. */

import {
  createClient,
  type ServiceImpl,
  type Transport,
} from '@connectrpc/connect';
import {
  AnswerIndex,
  AnswerPeer,
  type AnswerKey as AnswerKeyMessage,
  type AnswerPart as AnswerPartMessage,
  type AnswerPlace as AnswerPlaceMessage,
} from '../generated/corianderbend/peer_pb.js';
import {toCallTimeoutMs} from './peer_connection.js';
import type {
  AnswerIndexPort,
  AnswerKey,
  AnswerPart,
  AnswerPeerPort,
  AnswerPlace,
} from '../ports/kept_answers.js';

const ANNOUNCE_TIMEOUT_MS = 1000;
const READ_SLACK_MS = 500;

const UNSURE: AnswerPlace = {kind: 'unsure'};
const FAILED: AnswerPart = {kind: 'failed'};

function decodeKey(message: AnswerKeyMessage | undefined): AnswerKey {
  return {
    service: message?.service ?? '',
    account: message?.account ?? '',
    idempotencyKey: message?.idempotencyKey ?? '',
  };
}

const placeDecoders: Readonly<
  Record<string, (message: AnswerPlaceMessage) => AnswerPlace>
> = {
  running: ({fingerprint, address}) => ({
    kind: 'running',
    fingerprint,
    address,
  }),
  stored: ({fingerprint}) => ({kind: 'stored', fingerprint}),
  none: () => ({kind: 'none'}),
};

function decodePlace(message: AnswerPlaceMessage | undefined): AnswerPlace {
  const decode = message && placeDecoders[message.kind];
  return decode ? decode(message) : UNSURE;
}

function decodePart(message: AnswerPartMessage): AnswerPart {
  if (message.kind === 'absent') return {kind: 'absent'};
  if (message.kind !== 'part') return FAILED;
  if (!message.isEnd) return {kind: 'part', texts: message.texts};
  const finishReason = message.finishReason === 'length' ? 'length' : 'stop';
  const end = {finishReason, tokenCount: message.tokenCount} as const;
  return {kind: 'part', texts: message.texts, end};
}

/** The answer index of the owner that `transport` connects to. */
export function createPeerAnswerIndex(transport: Transport): AnswerIndexPort {
  const client = createClient(AnswerIndex, transport);
  return {
    async find(key, timeoutMs) {
      try {
        return decodePlace(
          await client.find({key}, {timeoutMs: toCallTimeoutMs(timeoutMs)}),
        );
      } catch {
        return UNSURE;
      }
    },
    announce(key, place) {
      const options = {timeoutMs: ANNOUNCE_TIMEOUT_MS};
      // Announced again while the answer runs, so one may be lost.
      client.announce({key, place}, options).catch(() => {});
    },
  };
}

/** Serves the answer index from the owners in this process. */
export function createAnswerIndexService(
  findIndex: (key: AnswerKey) => AnswerIndexPort | undefined,
): ServiceImpl<typeof AnswerIndex> {
  return {
    async find(message, context) {
      const key = decodeKey(message.key);
      const timeoutMs = context.timeoutMs() ?? ANNOUNCE_TIMEOUT_MS;
      const place = await findIndex(key)?.find(key, timeoutMs);
      return {...(place ?? UNSURE)};
    },
    announce(message) {
      const key = decodeKey(message.key);
      findIndex(key)?.announce(key, decodePlace(message.place));
      return {};
    },
  };
}

/** Reads answers from other entries. */
export function createAnswerPeers(
  getTransport: (address: string) => Transport,
): AnswerPeerPort {
  return {
    async read(address, key, fromOffset, waitMs) {
      try {
        const client = createClient(AnswerPeer, getTransport(address));
        const options = {timeoutMs: toCallTimeoutMs(waitMs + READ_SLACK_MS)};
        const request = {key, fromOffset, waitMs};
        return decodePart(await client.read(request, options));
      } catch {
        return FAILED;
      }
    },
  };
}

export type ReadLocalAnswer = (
  key: AnswerKey,
  fromOffset: number,
  waitMs: number,
) => Promise<AnswerPart>;

/** Serves the answers of this entry to other entries. */
export function createAnswerPeerService(
  readLocal: ReadLocalAnswer,
): ServiceImpl<typeof AnswerPeer> {
  return {
    async read(message) {
      const {fromOffset, waitMs} = message;
      const part = await readLocal(decodeKey(message.key), fromOffset, waitMs);
      if (part.kind !== 'part') return {kind: part.kind};
      return {
        kind: 'part',
        texts: [...part.texts],
        isEnd: part.end !== undefined,
        ...part.end,
      };
    },
  };
}
