/**
 * Decode stage of a stand-in engine: continuous batching, where each running
 * sequence advances by one token a step.
 */

import type {Clock} from '../src/ports/clock.js';
import type {
  DecodeCall,
  DecodeEvent,
  EngineFailure,
  EngineSession,
  ImportCall,
  ImportResult,
  OwnerTag,
} from '../src/ports/engine.js';
import type {Random} from '../src/ports/random.js';
import {expectAnswerByHash, type ExpectedAnswer} from './answer_text.js';
import type {EngineCounters} from './engine_counters.js';
import {
  failure,
  isSameOwner,
  type EngineOptions,
  type KvExport,
} from './engine_types.js';

export interface DecodeHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: EngineCounters;
  whenThawed(action: () => void): void;
  slowFactor(): number;
  crash(): void;
  /** Transfers KV cache from the prefill engine at `address`. */
  pullKv(
    address: string,
    kvHandle: string,
    timeoutMs: number,
  ): Promise<KvExport | EngineFailure>;
}

export type DecodeSink = (event: DecodeEvent) => void;

export interface DecodeBatch {
  importKv(call: ImportCall): Promise<ImportResult | EngineFailure>;
  /**
   * Starts decoding an imported session, or replaces the stream of one that is
   * queued or running.
   */
  decode(call: DecodeCall, sink: DecodeSink): void;
  cancel(owner: OwnerTag): void;
  sessions(): readonly EngineSession[];
  slotsUsed(): number;
  clear(): void;
}

interface Session {
  readonly sessionId: string;
  readonly importedAtMs: number;
  readonly kv: KvExport | undefined;
  owner: OwnerTag;
  kvSizeBytes: number;
  state: 'importing' | 'imported' | 'queued' | 'running';
  decode: RunningDecode | undefined;
}

interface RunningDecode {
  readonly call: DecodeCall;
  readonly answer: ExpectedAnswer;
  readonly endOffset: number;
  readonly sink: DecodeSink;
  nextOffset: number;
}

export function createDecodeBatch(
  host: DecodeHost,
  options: EngineOptions,
): DecodeBatch {
  const {clock, counters} = host;
  const sessions = new Map<string, Session>();
  let queue: Session[] = [];
  let running: Session[] = [];
  let isStepping = false;
  let epoch = 0;

  function release(session: Session): void {
    if (!sessions.delete(session.sessionId)) return;
    queue = queue.filter(other => other !== session);
    running = running.filter(other => other !== session);
    counters.freeKv(session.kvSizeBytes);
  }

  function cutStream(session: Session, reason: EngineFailure): void {
    const decode = session.decode;
    if (!decode) return;
    const {requestId, attemptId} = decode.call.owner;
    session.decode = undefined;
    decode.sink({kind: 'cut', requestId, attemptId, failure: reason});
  }

  function admitQueued(): void {
    while (queue.length > 0 && running.length < options.slots) {
      const best = queue.reduce((a, b) =>
        b.decode!.call.priority > a.decode!.call.priority ? b : a,
      );
      queue = queue.filter(other => other !== best);
      best.state = 'running';
      running.push(best);
    }
  }

  /**
   * Reserves memory for one more token; preempts the sequences of lowest
   * priority if it is full.
   */
  function growKv(session: Session): boolean {
    while (!counters.reserveKv(options.kvBytesPerToken)) {
      const victim = running.reduce((a, b) =>
        b.decode!.call.priority <= a.decode!.call.priority ? b : a,
      );
      release(victim);
      cutStream(
        victim,
        failure('no-capacity', 'preempted for lack of KV memory'),
      );
      if (victim === session) return false;
    }
    session.kvSizeBytes += options.kvBytesPerToken;
    return true;
  }

  function advance(session: Session): void {
    const decode = session.decode;
    if (!decode) return;
    if (session.kv?.hasDecodeMarker) {
      host.crash();
      return;
    }
    const {requestId, attemptId} = decode.call.owner;
    if (decode.nextOffset < decode.endOffset) {
      if (!growKv(session)) return;
      const offset = decode.nextOffset++;
      counters.tokenGenerated(session.owner);
      const texts = [decode.answer.textAt(offset)];
      decode.sink({kind: 'tokens', requestId, attemptId, offset, texts});
    }
    if (decode.nextOffset >= decode.endOffset) finish(session, decode);
  }

  function finish(session: Session, decode: RunningDecode): void {
    const {requestId, attemptId} = decode.call.owner;
    release(session);
    session.decode = undefined;
    const isWhole = decode.endOffset >= decode.answer.naturalTokenCount;
    decode.sink({
      kind: 'end',
      requestId,
      attemptId,
      tokenCount: decode.endOffset,
      finishReason: isWhole ? 'stop' : 'length',
    });
  }

  function scheduleStep(): void {
    if (isStepping || running.length + queue.length === 0) return;
    isStepping = true;
    const startEpoch = epoch;
    clock.setTimer(options.stepMs * host.slowFactor(), () =>
      host.whenThawed(() => {
        if (startEpoch !== epoch) return;
        isStepping = false;
        admitQueued();
        for (const session of [...running]) advance(session);
        scheduleStep();
      }),
    );
  }

  function refuseDecode(call: DecodeCall, sink: DecodeSink): void {
    const {requestId, attemptId} = call.owner;
    const reason = failure('expired', 'no such session');
    sink({kind: 'cut', requestId, attemptId, failure: reason});
  }

  /** A repeated decode call replaces the stream of the previous one. */
  function cutPreviousStream(session: Session): void {
    cutStream(session, failure('cancelled', 'taken over by another attempt'));
  }

  async function importKv(
    call: ImportCall,
  ): Promise<ImportResult | EngineFailure> {
    if (!counters.reserveKv(call.kvSizeBytes)) {
      return failure('no-capacity', 'no KV memory for the import');
    }
    const startEpoch = epoch;
    const sessionId = host.random.nextId();
    const session: Session = {
      sessionId,
      importedAtMs: clock.nowMs(),
      kv: undefined,
      owner: call.owner,
      kvSizeBytes: call.kvSizeBytes,
      state: 'importing',
      decode: undefined,
    };
    sessions.set(sessionId, session);
    const kv = await host.pullKv(
      call.fromAddress,
      call.kvHandle,
      call.timeoutMs,
    );
    if (startEpoch !== epoch) return failure('broken', 'the engine restarted');
    if (kv.kind === 'failed') {
      release(session);
      return kv;
    }
    if (!sessions.has(sessionId)) {
      counters.prefillWasted(kv.promptTokenCount);
      return failure('cancelled', 'cancelled during the import');
    }
    sessions.set(sessionId, {...session, kv, state: 'imported'});
    return {kind: 'imported', sessionId};
  }

  return {
    importKv,
    decode(call, sink) {
      const session = sessions.get(call.sessionId);
      if (!session?.kv) {
        refuseDecode(call, sink);
        return;
      }
      cutPreviousStream(session);
      const answer = expectAnswerByHash(
        session.kv.promptHash,
        options.answerTokens,
      );
      session.owner = call.owner;
      session.decode = {
        call,
        answer,
        sink,
        nextOffset: call.fromOffset,
        endOffset: Math.min(call.maxTokens, answer.naturalTokenCount),
      };
      counters.decodeStarted(call.owner);
      if (session.state === 'imported') {
        session.state = 'queued';
        queue.push(session);
      }
      scheduleStep();
    },
    cancel(owner) {
      const owned = [...sessions.values()].filter(session =>
        isSameOwner(session.owner, owner),
      );
      for (const session of owned) {
        const isUnused = session.state === 'imported' && session.kv;
        if (isUnused) counters.prefillWasted(session.kv!.promptTokenCount);
        release(session);
        cutStream(session, failure('cancelled', 'cancelled by its owner'));
      }
    },
    sessions: () =>
      [...sessions.values()].map(session => ({
        owner: session.owner,
        kind: session.decode ? 'decode' : 'import',
        kvSizeBytes: session.kvSizeBytes,
        ageMs: clock.nowMs() - session.importedAtMs,
      })),
    slotsUsed: () => sessions.size,
    clear() {
      epoch++;
      isStepping = false;
      const dropped = [...sessions.values()];
      sessions.clear();
      queue = [];
      running = [];
      for (const session of dropped) {
        cutStream(session, failure('broken', 'the engine died'));
      }
    },
  };
}
