/**
 * Stand-in for a prefill or decode engine. It takes its clock and its random
 * source from the caller, and runs in process or behind `engine_server.ts`.
 *
 * Work whose router host is gone keeps running and keeps its memory until it
 * is cancelled: the engine does no cleanup that a router could depend on.
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
import {createEngineCounters} from './engine_counters.js';
import {
  defaultEngineOptions,
  failure,
  type EngineStats,
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

/** The engine port, with controls for its faults and a view of its state. */
export interface EngineCore extends EnginePort, KvSource {
  readonly options: EngineOptions;
  readonly gate: FaultGate;
  setLeaving(isLeaving: boolean): void;
  setFaults(patch: Partial<EngineFaults>): void;
  /** Drops all state; calls fail until `restart`. */
  crash(): void;
  restart(): void;
  stats(): EngineStats;
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

/** A decode stream from the engine to its reader. */
interface OpenStream {
  readonly sink: DecodeSink;
  readonly call: DecodeCall;
  /** The last event was delivered to the reader. */
  isEnded: boolean;
  /** Its connection is silent: no more events arrive. */
  isSilent: boolean;
}

function toEngineFailure(reason: GateFailure): EngineFailure {
  return failure(reason, `the engine gave no answer: ${reason}`);
}

export function createEngineCore(
  host: EngineHost,
  patch: Partial<EngineOptions> = {},
): EngineCore {
  const options: EngineOptions = {...defaultEngineOptions, ...patch};
  const {clock, random} = host;
  const gate = createFaultGate({clock, random}, options);
  const counters = createEngineCounters(options.kvTotalBytes);
  const cache = createPrefixCache(
    {clock, random},
    {engineId: options.engineId, maxBlocks: options.cacheBlocks},
  );
  const openStreams = new Set<OpenStream>();
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
    counters,
    whenThawed: gate.whenThawed,
    slowFactor: () => faults.slowFactor,
    crash,
  };
  const prefills = createPrefillPool({...shared, cache}, options);
  const decodes = createDecodeBatch({...shared, pullKv}, options);

  gate.onBreak(what => {
    for (const stream of openStreams) {
      if (what !== 'freeze') stream.isSilent = true;
      if (what === 'crash') endStream(stream, failure('broken', 'engine died'));
      // A frozen engine answers no probe either, so its streams stay open.
      if (what === 'silence') endWhenSilenceIsDetected(stream);
    }
  });

  function crash(): void {
    if (!gate.isUp()) return;
    counters.crashed();
    gate.crash();
    prefills.clear();
    decodes.clear();
    counters.freeAllKv();
    cache.clear();
    if (options.restartMs > 0) clock.setTimer(options.restartMs, restart);
  }

  function restart(): void {
    gate.restart();
    isLeaving = false;
  }

  /**
   * Ends the stream when its reader would miss the heartbeats; the engine keeps
   * decoding.
   */
  function endWhenSilenceIsDetected(stream: OpenStream): void {
    clock.setTimer(options.silenceDetectMs, () =>
      gate.whenThawed(() =>
        endStream(stream, failure('broken', 'the stream is silent')),
      ),
    );
  }

  function endStream(stream: OpenStream, reason: EngineFailure): void {
    if (stream.isEnded) return;
    stream.isEnded = true;
    openStreams.delete(stream);
    const {requestId, attemptId} = stream.call.owner;
    stream.sink({kind: 'cut', requestId, attemptId, failure: reason});
  }

  function runAfter(delayMs: number, action: () => void): void {
    if (delayMs > 0) clock.setTimer(delayMs, action);
    else action();
  }

  function deliver(stream: OpenStream, event: DecodeEvent): void {
    runAfter(options.latencyMs, () =>
      gate.whenThawed(() => {
        if (stream.isEnded || stream.isSilent) return;
        if (event.kind !== 'tokens') {
          stream.isEnded = true;
          openStreams.delete(stream);
        }
        stream.sink(event);
      }),
    );
    const isRepeated =
      event.kind === 'tokens' &&
      faults.staleFrameShare > 0 &&
      random.nextFloat() < faults.staleFrameShare;
    if (!isRepeated) return;
    clock.setTimer(STALE_FRAME_DELAY_MS, () => {
      if (!stream.isEnded && !stream.isSilent) stream.sink(event);
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
    counters.workRefusedWhileLeaving(clock.nowMs() - leavingSinceMs);
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
      kvUsedBytes: counters.kvUsedBytes(),
      queuedTokens: prefills.queuedTokens(),
      leaving: isLeaving,
    };
  }

  /**
   * Called whenever the load changes, so that `delayedReport` has past values.
   */
  function recordLoadSnapshot(): void {
    if (faults.loadLagMs === 0) return;
    snapshots.push({atMs: clock.nowMs(), report: reportNow()});
    if (snapshots.length > MAX_SNAPSHOTS) snapshots.shift();
  }

  function delayedReport(): EngineLoadReport {
    recordLoadSnapshot();
    const visibleUntilMs = clock.nowMs() - faults.loadLagMs;
    const old = snapshots.filter(snapshot => snapshot.atMs <= visibleUntilMs);
    const visible = old.at(-1) ?? snapshots[0];
    return visible?.report ?? reportNow();
  }

  function handleOrder(order: EngineOrder, sentAtMs: number): OrderOutcome {
    if (options.checksFences && order.fence < highestFence) {
      return {kind: 'fenced', highestFence};
    }
    if (clock.nowMs() - sentAtMs > order.lifeMs) {
      return failure('refused', 'the order came after its life');
    }
    highestFence = Math.max(highestFence, order.fence);
    runAfter(options.orderMs, () => applyOrder(order));
    return {kind: 'accepted'};
  }

  function applyOrder(order: EngineOrder): void {
    const {action} = order;
    if (action.kind === 'change-role') role = action.role;
    if (action.kind === 'load-model' && !models.includes(action.model)) {
      models = [...models, action.model];
    }
    counters.orderApplied({
      orderId: order.orderId,
      fence: order.fence,
      actionKind: action.kind,
      atMs: clock.nowMs(),
    });
  }

  function startDecode(call: DecodeCall, stream: OpenStream): void {
    if (stream.isEnded || stream.isSilent) return;
    if (!gate.isUp()) {
      endStream(stream, failure('unreachable', 'the engine is down'));
      return;
    }
    gate.whenThawed(() => {
      decodes.decode(call, event => deliver(stream, event));
      recordLoadSnapshot();
    });
  }

  function cancelAll(owner: DecodeCall['owner']): void {
    prefills.cancel(owner);
    decodes.cancel(owner);
    recordLoadSnapshot();
  }

  return {
    options,
    gate,
    prefill: call =>
      gate.call({
        timeoutMs: call.timeoutMs,
        failed: toEngineFailure,
        run: () => refuseNewWork('prefill') ?? prefills.run(call),
      }),
    importKv: call =>
      gate.call({
        timeoutMs: call.timeoutMs,
        failed: toEngineFailure,
        run: () => refuseNewWork('decode') ?? decodes.importKv(call),
      }),
    decode(call, sink) {
      const stream: OpenStream = {
        call,
        sink,
        isEnded: false,
        isSilent: false,
      };
      openStreams.add(stream);
      runAfter(options.latencyMs, () => startDecode(call, stream));
      return {
        cancel() {
          runAfter(options.latencyMs, () => {
            if (!stream.isSilent) {
              gate.whenThawed(() => cancelAll(call.owner));
            }
          });
          endStream(stream, failure('cancelled', 'cancelled by its reader'));
        },
      };
    },
    cancel: (owner, timeoutMs) =>
      gate.call<'released', EngineFailure>({
        timeoutMs,
        failed: toEngineFailure,
        run() {
          cancelAll(owner);
          return 'released';
        },
      }),
    sessions: timeoutMs =>
      gate.call({
        timeoutMs,
        failed: toEngineFailure,
        run: () => [...prefills.sessions(), ...decodes.sessions()],
      }),
    load: timeoutMs =>
      gate.call({
        timeoutMs,
        failed: toEngineFailure,
        run: () => (faults.loadLagMs === 0 ? reportNow() : delayedReport()),
      }),
    cacheEvents: (afterSequence, timeoutMs) =>
      gate.call({
        timeoutMs,
        failed: toEngineFailure,
        run: () => cache.events(afterSequence),
      }),
    order(order, timeoutMs) {
      const sentAtMs = clock.nowMs();
      return gate.call<OrderOutcome, EngineFailure>({
        timeoutMs,
        failed: toEngineFailure,
        run: () =>
          new Promise(resolve =>
            runAfter(faults.orderDelayMs, () =>
              resolve(handleOrder(order, sentAtMs)),
            ),
          ),
      });
    },
    probe: timeoutMs =>
      gate.call<'alive', EngineFailure>({
        timeoutMs,
        isFresh: true,
        failed: toEngineFailure,
        run: () => 'alive',
      }),
    exportKv: (kvHandle, timeoutMs) =>
      gate.call({
        timeoutMs,
        failed: toEngineFailure,
        run: () => prefills.exportKv(kvHandle, () => faults.stallTransfers),
      }),
    setLeaving(value) {
      if (value && !isLeaving) leavingSinceMs = clock.nowMs();
      isLeaving = value;
      recordLoadSnapshot();
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
    stats: () => ({
      ...counters.totals(),
      engineId: options.engineId,
      role,
      isUp: gate.isUp(),
      sessions: [...prefills.sessions(), ...decodes.sessions()],
    }),
  };
}
