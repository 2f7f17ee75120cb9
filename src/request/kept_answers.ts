/**
 * Keeps the answers of keyed model requests for repeats of the request.
 *
 * A repeat at this entry follows the running answer or gets the finished one.
 * Other entries find the answer through the index. Finished answers of patient
 * requests are also stored in the platform's object store for their retention,
 * so they survive the death of the entry.
 */

import {z} from 'zod';
import type {ModelRequest} from '../ports/answer_sink.js';
import type {Clock} from '../ports/clock.js';
import type {
  AnswerIndexPort,
  AnswerKey,
  AnswerPart,
  AnswerPeerPort,
  AnswerPlace,
} from '../ports/kept_answers.js';
import type {Logger} from '../ports/log.js';
import type {ObjectStorePort} from '../ports/table.js';
import {
  createLiveAnswer,
  type FinishedAnswer,
  type LiveAnswer,
} from './live_answer.js';

export interface KeptAnswersHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly objectStore: ObjectStorePort;
  readonly index?: AnswerIndexPort;
  readonly peers?: AnswerPeerPort;
  /** Where other entries reach this one, `ip:port`. */
  readonly peerAddress: string;
}

export interface KeptAnswersOptions {
  /** Limit of the memory for finished answers at this entry. */
  readonly maxLocalBytes: number;
  readonly indexTimeoutMs: number;
  readonly storeTimeoutMs: number;
  readonly announceIntervalMs: number;
  readonly storeRetryMs: number;
  retentionMs(service: string): number;
}

export type LookUpOutcome =
  | {readonly kind: 'none'}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'finished'; readonly answer: FinishedAnswer}
  | {readonly kind: 'running'; readonly address: string};

export interface KeptAnswers {
  /** The running or finished answer of this entry for the key. */
  find(key: AnswerKey): LiveAnswer | undefined;
  /** Registers a new running answer. */
  open(request: ModelRequest): LiveAnswer;
  /** Must be called once when the answer has ended, complete or not. */
  close(request: ModelRequest, answer: LiveAnswer): void;
  /** Looks for the answer at other entries and in the object store. */
  lookUp(request: ModelRequest): Promise<LookUpOutcome>;
  /** Reads further tokens at the entry that runs the request. */
  readPeer(
    address: string,
    key: AnswerKey,
    fromOffset: number,
    waitMs: number,
  ): Promise<AnswerPart>;
  /** Serves another entry's `readPeer`. */
  serveRead(
    key: AnswerKey,
    fromOffset: number,
    waitMs: number,
  ): Promise<AnswerPart>;
}

const storedAnswerSchema = z.object({
  fingerprint: z.string(),
  expiresAtWallMs: z.number(),
  finishReason: z.enum(['stop', 'length']),
  texts: z.array(z.string()),
});

interface LocalAnswer {
  readonly answer: LiveAnswer;
  sizeBytes: number;
  expiresAtMs: number;
}

export function answerKeyOf(request: ModelRequest): AnswerKey | undefined {
  const {service, account, idempotencyKey} = request;
  if (idempotencyKey === undefined) return undefined;
  return {service, account, idempotencyKey};
}

function encodeKey(key: AnswerKey): string {
  return [key.account, key.service, key.idempotencyKey]
    .map(encodeURIComponent)
    .join('/');
}

/** Key of a kept answer in the object store. */
export function answerObjectKey(key: AnswerKey): string {
  return `answers/${encodeKey(key)}`;
}

export function createKeptAnswers(
  host: KeptAnswersHost,
  options: KeptAnswersOptions,
): KeptAnswers {
  const localAnswers = new Map<string, LocalAnswer>();
  let localBytes = 0;

  function removeLocal(encodedKey: string): void {
    const local = localAnswers.get(encodedKey);
    if (!local) return;
    localBytes -= local.sizeBytes;
    localAnswers.delete(encodedKey);
  }

  function isLive(local: LocalAnswer): boolean {
    return !local.answer.finished() && !local.answer.hasFailed();
  }

  function find(key: AnswerKey): LiveAnswer | undefined {
    const encodedKey = encodeKey(key);
    const local = localAnswers.get(encodedKey);
    if (!local) return undefined;
    if (isLive(local) || host.clock.nowMs() < local.expiresAtMs) {
      return local.answer;
    }
    removeLocal(encodedKey);
    return undefined;
  }

  function announce(key: AnswerKey, place: AnswerPlace): void {
    host.index?.announce(key, place);
  }

  /** Announces repeatedly, so that a new index owner gets the place too. */
  function announceWhileLive(key: AnswerKey, local: LocalAnswer): void {
    if (!host.index || !isLive(local)) return;
    announce(key, {
      kind: 'running',
      fingerprint: local.answer.fingerprint,
      address: host.peerAddress,
    });
    host.clock.setTimer(options.announceIntervalMs, () =>
      announceWhileLive(key, local),
    );
  }

  function evictFinished(): void {
    for (const [encodedKey, local] of localAnswers) {
      if (localBytes <= options.maxLocalBytes) return;
      if (!isLive(local)) removeLocal(encodedKey);
    }
  }

  async function store(
    key: AnswerKey,
    answer: FinishedAnswer,
    expiresAtWallMs: number,
  ): Promise<void> {
    const leftMs = expiresAtWallMs - host.clock.wallMs();
    if (leftMs <= 0) return;
    const body = Buffer.from(JSON.stringify({...answer, expiresAtWallMs}));
    const outcome = await host.objectStore.put(
      answerObjectKey(key),
      body,
      options.storeTimeoutMs,
    );
    if (outcome === 'stored') {
      announce(key, {kind: 'stored', fingerprint: answer.fingerprint});
      host.clock.setTimer(
        leftMs,
        () =>
          void host.objectStore.remove(
            answerObjectKey(key),
            options.storeTimeoutMs,
          ),
      );
      return;
    }
    host.clock.setTimer(
      options.storeRetryMs,
      () => void store(key, answer, expiresAtWallMs),
    );
  }

  async function readStored(
    request: ModelRequest,
    key: AnswerKey,
  ): Promise<LookUpOutcome> {
    const outcome = await host.objectStore.get(
      answerObjectKey(key),
      options.storeTimeoutMs,
    );
    if (outcome.kind === 'failed' || !outcome.value) return {kind: 'none'};
    const stored = parseStored(outcome.value);
    if (!stored || stored.expiresAtWallMs <= host.clock.wallMs()) {
      return {kind: 'none'};
    }
    return stored.fingerprint === request.fingerprint
      ? {kind: 'finished', answer: stored}
      : {kind: 'conflict'};
  }

  function parseStored(body: Uint8Array) {
    try {
      const json: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
      return storedAnswerSchema.parse(json);
    } catch {
      host.log.warn('Could not parse a stored answer.');
      return undefined;
    }
  }

  async function serveRead(
    key: AnswerKey,
    fromOffset: number,
    waitMs: number,
  ): Promise<AnswerPart> {
    const answer = find(key);
    if (!answer || answer.hasFailed()) return {kind: 'absent'};
    const hasNewTokens = answer.tokenCount() > fromOffset;
    if (!hasNewTokens && !answer.finished() && waitMs > 0) {
      await new Promise<void>(resolve => {
        const timer = host.clock.setTimer(waitMs, resolve);
        answer.onNextChange(() => {
          host.clock.clearTimer(timer);
          resolve();
        });
      });
      return serveRead(key, fromOffset, 0);
    }
    const finished = answer.finished();
    return {
      kind: 'part',
      texts: answer.textsFrom(fromOffset),
      end: finished && {
        finishReason: finished.finishReason,
        tokenCount: finished.texts.length,
      },
    };
  }

  return {
    find,
    open(request) {
      const key = answerKeyOf(request)!;
      const answer = createLiveAnswer(request.fingerprint);
      const local: LocalAnswer = {answer, sizeBytes: 0, expiresAtMs: Infinity};
      removeLocal(encodeKey(key));
      localAnswers.set(encodeKey(key), local);
      return answer;
    },
    close(request, answer) {
      const key = answerKeyOf(request)!;
      const local = localAnswers.get(encodeKey(key));
      if (local?.answer !== answer) return;
      const finished = answer.finished();
      if (!finished) {
        removeLocal(encodeKey(key));
        announce(key, {kind: 'none'});
        return;
      }
      const retentionMs = options.retentionMs(request.service);
      local.expiresAtMs = host.clock.nowMs() + retentionMs;
      local.sizeBytes = finished.texts.reduce(
        (size, text) => size + 2 * text.length,
        0,
      );
      localBytes += local.sizeBytes;
      evictFinished();
      if (request.requestClass !== 'patient') return;
      void store(key, finished, host.clock.wallMs() + retentionMs);
    },
    async lookUp(request) {
      const key = answerKeyOf(request)!;
      const local = localAnswers.get(encodeKey(key));
      const place = host.index
        ? await host.index.find(key, options.indexTimeoutMs)
        : ({kind: 'unsure'} as const);
      if (local) announceWhileLive(key, local);
      switch (place.kind) {
        case 'none':
          return {kind: 'none'};
        case 'running':
          if (place.address === host.peerAddress) return {kind: 'none'};
          return place.fingerprint === request.fingerprint
            ? {kind: 'running', address: place.address}
            : {kind: 'conflict'};
        case 'stored':
          return readStored(request, key);
        case 'unsure':
          // Interactive answers aren't in the object store, and a read for each
          // request would use up the platform's read rate.
          return request.requestClass === 'patient'
            ? readStored(request, key)
            : {kind: 'none'};
      }
    },
    async readPeer(address, key, fromOffset, waitMs) {
      if (!host.peers) return {kind: 'failed'};
      return host.peers.read(address, key, fromOffset, waitMs);
    },
    serveRead,
  };
}
