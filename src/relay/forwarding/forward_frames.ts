/**
 * The messages of a call that a peer makes to an upstream. The frames of the
 * answer have an explicit end, so that a peer that ends half-way isn't taken
 * for an upstream that has answered.
 */

import {isFieldValue} from '../../adapters/answer_head.js';
import type {
  AnswerBody,
  PrefillOutcome,
  PrefillResultPlace,
  ProbeOutcome,
  RelayRequest,
  SendFailure,
  SendOptions,
  UpstreamAnswer,
} from '../../ports/relay.js';

/** Options of a send; the peer finds the upstream in its own list. */
export type ForwardedOptions = Omit<SendOptions, 'upstream'>;
/** The request without its body, which follows as bytes, and without its key. */
export type ForwardedRequest = Omit<RelayRequest, 'body' | 'keyDigest'>;

export type ForwardCall = {readonly upstreamId: string} & (
  | {
      readonly kind: 'send' | 'prefill';
      readonly request: ForwardedRequest;
      readonly options: ForwardedOptions;
    }
  | {readonly kind: 'probe'}
  | {readonly kind: 'release'; readonly place: PrefillResultPlace}
);

/** The first frame of an answer. */
export type ForwardOutcome =
  | Omit<UpstreamAnswer, 'body'>
  | PrefillOutcome
  | SendFailure
  | {readonly kind: 'probed'; readonly outcome: ProbeOutcome};

export type Frame =
  | {readonly kind: 'outcome'; readonly outcome: ForwardOutcome}
  | {readonly kind: 'data'; readonly bytes: Buffer}
  | {readonly kind: 'end'}
  /** The upstream broke off. */
  | {readonly kind: 'broken'; readonly detail: string};

const LENGTH_BYTES = 4;
const FRAME_HEAD_BYTES = 1 + LENGTH_BYTES;
/** A frame holds a head, or what one read of an upstream brought. */
const MAX_FRAME_BYTES = 1024 * 1024;

const FRAME_CODES: Readonly<Record<Frame['kind'], number>> = {
  outcome: 1,
  data: 2,
  end: 3,
  broken: 4,
};

const FRAME_READERS: ReadonlyMap<number, (payload: Buffer) => Frame> = new Map<
  number,
  (payload: Buffer) => Frame
>([
  [
    FRAME_CODES.outcome,
    payload => ({kind: 'outcome', outcome: decodeOutcome(payload)}),
  ],
  [FRAME_CODES.data, bytes => ({kind: 'data', bytes})],
  [FRAME_CODES.end, () => ({kind: 'end'})],
  [
    FRAME_CODES.broken,
    payload => ({kind: 'broken', detail: payload.toString()}),
  ],
]);

/** Throws if the bytes are no outcome. */
function decodeOutcome(payload: Buffer): ForwardOutcome {
  const outcome: unknown = JSON.parse(payload.toString());
  if (!isOutcome(outcome)) throw new Error('The peer sent no outcome.');
  return outcome;
}

function payloadOf(frame: Frame): Buffer {
  switch (frame.kind) {
    case 'outcome':
      return Buffer.from(JSON.stringify(frame.outcome));
    case 'data':
      return frame.bytes;
    case 'end':
      return Buffer.alloc(0);
    case 'broken':
      return Buffer.from(frame.detail);
  }
}

export function encodeFrame(frame: Frame): Buffer {
  const payload = payloadOf(frame);
  const head = Buffer.alloc(FRAME_HEAD_BYTES);
  head[0] = FRAME_CODES[frame.kind];
  head.writeUInt32BE(payload.length, 1);
  return Buffer.concat([head, payload]);
}

export interface FrameReader {
  /**
   * Adds bytes and returns the frames that they complete, in order. Throws if
   * the bytes are no frames.
   */
  push(bytes: Buffer): readonly Frame[];
}

export function createFrameReader(): FrameReader {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push(bytes) {
      pending = pending.length > 0 ? Buffer.concat([pending, bytes]) : bytes;
      const frames: Frame[] = [];
      while (pending.length >= FRAME_HEAD_BYTES) {
        const readFrame = FRAME_READERS.get(pending[0]);
        const size = pending.readUInt32BE(1);
        if (!readFrame || size > MAX_FRAME_BYTES) {
          throw new Error('The peer sent no frame.');
        }
        const end = FRAME_HEAD_BYTES + size;
        if (pending.length < end) break;
        frames.push(readFrame(pending.subarray(FRAME_HEAD_BYTES, end)));
        pending = pending.subarray(end);
      }
      return frames;
    },
  };
}

/** Joins the bytes of frames that follow one another. */
export function joinData(frames: readonly Frame[]): readonly Frame[] {
  const joined: Frame[] = [];
  let parts: Buffer[] = [];
  const endParts = () => {
    if (parts.length === 0) return;
    const bytes = parts.length === 1 ? parts[0] : Buffer.concat(parts);
    joined.push({kind: 'data', bytes});
    parts = [];
  };
  for (const frame of frames) {
    if (frame.kind === 'data') {
      parts.push(frame.bytes);
      continue;
    }
    endParts();
    joined.push(frame);
  }
  endParts();
  return joined;
}

/** The call as JSON with its length in front, then the body of the request. */
export function encodeCall(call: ForwardCall, body?: Buffer): Buffer {
  const text = Buffer.from(JSON.stringify(call));
  const head = Buffer.alloc(LENGTH_BYTES);
  head.writeUInt32BE(text.length);
  return Buffer.concat([head, text, body ?? Buffer.alloc(0)]);
}

const CALL_KINDS: ReadonlySet<unknown> = new Set<ForwardCall['kind']>([
  'send',
  'prefill',
  'probe',
  'release',
]);

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

function isRequest(value: unknown): boolean {
  if (!isObject(value)) return false;
  const {requestId, method, target, headers} = value;
  const texts = [requestId, method, target];
  return texts.every(each => typeof each === 'string') && isTextList(headers);
}

function isTextList(value: unknown): boolean {
  return Array.isArray(value) && value.every(each => typeof each === 'string');
}

const isAny = () => true;

/** Whether an outcome of each kind has the fields that are used of it. */
const OUTCOME_CHECKS: Readonly<
  Record<ForwardOutcome['kind'], (fields: Record<string, unknown>) => boolean>
> = {
  answered: ({status, headers}) =>
    typeof status === 'number' && isTextList(headers),
  prefilled: ({handle}) => isFieldValue(handle),
  probed: isAny,
  unreachable: isAny,
  withheld: isAny,
  quarantined: isAny,
  rejected: isAny,
  broken: isAny,
  cancelled: isAny,
};

function isOutcome(value: unknown): value is ForwardOutcome {
  if (!isObject(value) || typeof value.kind !== 'string') return false;
  if (!Object.hasOwn(OUTCOME_CHECKS, value.kind)) return false;
  return OUTCOME_CHECKS[value.kind as ForwardOutcome['kind']](value);
}

function isCall(value: unknown): value is ForwardCall {
  if (!isObject(value)) return false;
  const {kind, upstreamId, request, options, place} = value;
  if (!CALL_KINDS.has(kind) || typeof upstreamId !== 'string') return false;
  if (kind === 'probe') return true;
  if (kind === 'release') return isObject(place);
  const times = isObject(options)
    ? ['leftMs', 'connectTimeoutMs', 'headTimeoutMs'].map(name => options[name])
    : [undefined];
  return isRequest(request) && times.every(each => Number.isFinite(each));
}

/** Returns undefined for bytes that are no valid call. */
export function decodeCall(
  bytes: Buffer,
): {readonly call: ForwardCall; readonly body: Buffer} | undefined {
  if (bytes.length < LENGTH_BYTES) return undefined;
  const end = LENGTH_BYTES + bytes.readUInt32BE(0);
  if (end > bytes.length) return undefined;
  try {
    const call: unknown = JSON.parse(bytes.toString('utf8', LENGTH_BYTES, end));
    return isCall(call) ? {call, body: bytes.subarray(end)} : undefined;
  } catch {
    return undefined;
  }
}

/** Writes the frames of a body; returns false from `write` to pause it. */
export function writeBody(
  body: AnswerBody,
  write: (bytes: Buffer) => boolean,
  end: () => void,
): void {
  body.read({
    chunk(bytes) {
      if (!write(encodeFrame({kind: 'data', bytes}))) body.pause();
    },
    end() {
      write(encodeFrame({kind: 'end'}));
      end();
    },
    broken(detail) {
      write(encodeFrame({kind: 'broken', detail}));
      end();
    },
  });
}
