/**
 * Stand-in for a model engine, prefill or decode. It runs on a clock and a
 * random source, in process or behind `engine_server.ts`.
 *
 * It is no friend to the router: what an entry leaves behind keeps running
 * and keeps its memory until somebody cancels it.
 */

import type {
  DecodeCall,
  DecodeEvent,
  EngineFailure,
  EngineLoadReport,
  EngineOrder,
  EnginePort,
  EngineRole,
  OrderOutcome,
} from '../src/ports/engine.js';
import {createDecodeBatch, type DecodeSink} from './decode_batch.js';
import {createRunningBooks} from './engine_books.js';
import {
  defaultEngineOptions,
  failure,
  type EngineBooks,
  type EngineFaults,
  type EngineHost,
  type EngineOptions,
  type KvSource,
} from './engine_types.js';
import {
  createFaultGate,
  type FaultGate,
  type GateFailure,
} from './fault_gate.js';
import {createPrefillPool} from './prefill_pool.js';
import {createPrefixCache} from './prefix_cache.js';

/** The engine as a port, with switches for its faults and its books. */
export interface EngineCore extends EnginePort, KvSource {
  readonly options: EngineOptions;
  readonly gate: FaultGate;
  setLeaving(isLeaving: boolean): void;
  setFaults(patch: Partial<EngineFaults>): void;
  /** Everything it holds is lost; calls fail until `restart`. */
  crash(): void;
  restart(): void;
  books(): EngineBooks;
}

const noFaults: EngineFaults = {
  stallTransfers: false,
  slowFactor: 1,
  loadLagMs: 0,
  cacheEventLagMs: 0,
  cacheEventLostShare: 0,
  staleFrameShare: 0,
  orderDelayMs: 0,
  answerDelayMs: 0,
};

const STALE_FRAME_DELAY_MS = 120;
const MAX_SNAPSHOTS = 1_000;

/** One open stream, from the engine to its reader. */
interface Attachment {
  readonly sink: DecodeSink;
  readonly call: DecodeCall;
  /** The reader has had its last event. */
  isEnded: boolean;
  /** The connection under it is silent. */
  isSilent: boolean;
}

function gateFailed(reason: GateFailure): EngineFailure {
  return failure(reason, `the engine gave no answer: ${reason}`);
}

export function createEngineCore(
  host: EngineHost,
  patch: Partial<EngineOptions> = {},
): EngineCore {
  const options: EngineOptions = {...defaultEngineOptions, ...patch};
  const {clock, random} = host;
  const gate = createFaultGate({clock, random}, options);
  const books = createRunningBooks(options.kvTotalBytes);
  const cache = createPrefixCache(
    {clock, random},
    {engineId: options.engineId, maxBlocks: options.cacheBlocks},
  );
  const attachments = new Set<Attachment>();
  const snapshots: {
    readonly atMs: number;
    readonly report: EngineLoadReport;
  }[] = [];
  let faults: EngineFaults = {...noFaults, loadLagMs: options.loadLagMs};
  let role: EngineRole = options.role;
  let models = [...options.models];
  let isLeaving = false;
  let leavingSinceMs = 0;
  let highestFence = 0;
  let sequence = 0;

  const shared = {
    clock,
    random,
    books,
    whenThawed: gate.whenThawed,
    slowFactor: () => faults.slowFactor,
    crash,
  };
  const prefills = createPrefillPool({...shared, cache}, options);
  const decodes = createDecodeBatch({...shared, pullKv}, options);

  gate.onBreak(what => {
    for (const attachment of attachments) {
      if (what !== 'freeze') attachment.isSilent = true;
      if (what === 'crash') end(attachment, failure('broken', 'engine died'));
      else watchSilence(attachment, what);
    }
  });

  function crash(): void {
    if (!gate.isUp()) return;
    books.crashed();
    gate.crash();
    prefills.clear();
    decodes.clear();
    books.freeAllKv();
    cache.clear();
    if (options.restartMs > 0) clock.setTimer(options.restartMs, restart);
  }

  function restart(): void {
    gate.restart();
    isLeaving = false;
  }

  /** As a reader finds out by missing heartbeats; the engine runs on. */
  function watchSilence(attachment: Attachment, what: string): void {
    clock.setTimer(options.silenceDetectMs, () => {
      if (what === 'freeze' && !gate.isFrozen()) return;
      end(attachment, failure('broken', `the stream is silent: ${what}`));
    });
  }

  function end(attachment: Attachment, reason: EngineFailure): void {
    if (attachment.isEnded) return;
    attachment.isEnded = true;
    attachments.delete(attachment);
    const {requestId, attemptId} = attachment.call.owner;
    attachment.sink({kind: 'cut', requestId, attemptId, failure: reason});
  }

  function after(delayMs: number, action: () => void): void {
    if (delayMs > 0) clock.setTimer(delayMs, action);
    else action();
  }

  function deliver(attachment: Attachment, event: DecodeEvent): void {
    after(options.latencyMs, () =>
      gate.whenThawed(() => {
        if (attachment.isEnded || attachment.isSilent) return;
        if (event.kind !== 'tokens') {
          attachment.isEnded = true;
          attachments.delete(attachment);
        }
        attachment.sink(event);
      }),
    );
    const isRepeated =
      event.kind === 'tokens' &&
      faults.staleFrameShare > 0 &&
      random.nextFloat() < faults.staleFrameShare;
    if (!isRepeated) return;
    clock.setTimer(STALE_FRAME_DELAY_MS, () => {
      if (!attachment.isEnded && !attachment.isSilent) attachment.sink(event);
    });
  }

  function pullKv(address: string, kvHandle: string, timeoutMs: number) {
    const source = host.kvSource(address);
    if (source) return source.exportKv(kvHandle, timeoutMs);
    return Promise.resolve(failure('unreachable', 'no such prefill engine'));
  }

  function refuseNewWork(wanted: EngineRole): EngineFailure | undefined {
    if (role !== wanted) return failure('refused', `this engine is ${role}`);
    if (!isLeaving) return undefined;
    books.workWhileLeaving(clock.nowMs() - leavingSinceMs);
    return failure('leaving', 'the engine is leaving');
  }

  function reportNow(): EngineLoadReport {
    return {
      engineId: options.engineId,
      role,
      models,
      sequence: ++sequence,
      slotsTotal: options.slots,
      slotsUsed: decodes.slotsUsed(),
      kvTotalBytes: options.kvTotalBytes,
      kvUsedBytes: books.kvUsedBytes(),
      queuedTokens: prefills.queuedTokens(),
      leaving: isLeaving,
    };
  }

  /** Snapshots are taken as work comes and goes. */
  function remember(): void {
    if (faults.loadLagMs === 0) return;
    snapshots.push({atMs: clock.nowMs(), report: reportNow()});
    if (snapshots.length > MAX_SNAPSHOTS) snapshots.shift();
  }

  function lagging(): EngineLoadReport {
    remember();
    const seenUntilMs = clock.nowMs() - faults.loadLagMs;
    const old = snapshots.filter(snapshot => snapshot.atMs <= seenUntilMs);
    const shown = old.at(-1) ?? snapshots[0];
    return shown?.report ?? reportNow();
  }

  function carryOut(order: EngineOrder, sentAtMs: number): OrderOutcome {
    if (options.checksFences && order.fence < highestFence) {
      return {kind: 'fenced', highestFence};
    }
    if (clock.nowMs() - sentAtMs > order.lifeMs) {
      return failure('refused', 'the order came after its life');
    }
    highestFence = Math.max(highestFence, order.fence);
    after(options.orderMs, () => apply(order));
    return {kind: 'accepted'};
  }

  function apply(order: EngineOrder): void {
    const {action} = order;
    if (action.kind === 'change-role') role = action.role;
    if (action.kind === 'load-model' && !models.includes(action.model)) {
      models = [...models, action.model];
    }
    books.orderApplied({
      orderId: order.orderId,
      fence: order.fence,
      actionKind: action.kind,
      atMs: clock.nowMs(),
    });
  }

  function startDecode(call: DecodeCall, attachment: Attachment): void {
    if (attachment.isEnded || attachment.isSilent) return;
    if (!gate.isUp()) {
      end(attachment, failure('unreachable', 'the engine is down'));
      return;
    }
    gate.whenThawed(() => {
      decodes.decode(call, event => deliver(attachment, event));
      remember();
    });
  }

  function cancelAll(owner: DecodeCall['owner']): void {
    prefills.cancel(owner);
    decodes.cancel(owner);
    remember();
  }

  return {
    options,
    gate,
    prefill: call =>
      gate.call({
        timeoutMs: call.timeoutMs,
        failed: gateFailed,
        run: () => refuseNewWork('prefill') ?? prefills.run(call),
      }),
    importKv: call =>
      gate.call({
        timeoutMs: call.timeoutMs,
        failed: gateFailed,
        run: () => refuseNewWork('decode') ?? decodes.importKv(call),
      }),
    decode(call, sink) {
      const attachment: Attachment = {
        call,
        sink,
        isEnded: false,
        isSilent: false,
      };
      attachments.add(attachment);
      after(options.latencyMs, () => startDecode(call, attachment));
      return {
        cancel() {
          after(options.latencyMs, () => {
            if (!attachment.isSilent) {
              gate.whenThawed(() => cancelAll(call.owner));
            }
          });
          end(attachment, failure('cancelled', 'cancelled by its reader'));
        },
      };
    },
    cancel: (owner, timeoutMs) =>
      gate.call<'released', EngineFailure>({
        timeoutMs,
        failed: gateFailed,
        run() {
          cancelAll(owner);
          return 'released';
        },
      }),
    sessions: timeoutMs =>
      gate.call({
        timeoutMs,
        failed: gateFailed,
        run: () => [...prefills.sessions(), ...decodes.sessions()],
      }),
    load: timeoutMs =>
      gate.call({
        timeoutMs,
        failed: gateFailed,
        run: () => (faults.loadLagMs === 0 ? reportNow() : lagging()),
      }),
    cacheEvents: (afterSequence, timeoutMs) =>
      gate.call({
        timeoutMs,
        failed: gateFailed,
        run: () => cache.events(afterSequence),
      }),
    order(order, timeoutMs) {
      const sentAtMs = clock.nowMs();
      return gate.call<OrderOutcome, EngineFailure>({
        timeoutMs,
        failed: gateFailed,
        run: () =>
          new Promise(resolve =>
            after(faults.orderDelayMs, () =>
              resolve(carryOut(order, sentAtMs)),
            ),
          ),
      });
    },
    probe: timeoutMs =>
      gate.call<'alive', EngineFailure>({
        timeoutMs,
        isFresh: true,
        failed: gateFailed,
        run: () => 'alive',
      }),
    exportKv: (kvHandle, timeoutMs) =>
      gate.call({
        timeoutMs,
        failed: gateFailed,
        run: () => prefills.exportKv(kvHandle, () => faults.stallTransfers),
      }),
    setLeaving(value) {
      if (value && !isLeaving) leavingSinceMs = clock.nowMs();
      isLeaving = value;
      remember();
    },
    setFaults(next) {
      faults = {...faults, ...next};
      cache.setEventFaults({
        lagMs: faults.cacheEventLagMs,
        lostShare: faults.cacheEventLostShare,
      });
      gate.delayAnswers(faults.answerDelayMs);
    },
    crash,
    restart,
    books: () => ({
      ...books.totals(),
      engineId: options.engineId,
      role,
      isUp: gate.isUp(),
      sessions: [...prefills.sessions(), ...decodes.sessions()],
    }),
  };
}
