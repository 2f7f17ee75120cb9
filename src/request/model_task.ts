/**
 * The task of one model request. Carries out the effects of its state machine,
 * and turns results of engines, shard homes and timers into its events.
 */

import {initialModelState, stepModel} from '../core/request/model_machine.js';
import type {
  ModelEffect,
  ModelEvent,
  ModelFacts,
  ModelState,
  ModelTimer,
} from '../core/request/model_types.js';
import type {RequestError} from '../core/error_kinds.js';
import type {ModelRequest} from '../ports/answer_sink.js';
import type {DecodeHandle, EngineFailure, OwnerTag} from '../ports/engine.js';
import type {Grant, GrantRefusal} from '../ports/grants.js';
import {answerKeyOf, type LookUpOutcome} from './kept_answers.js';
import type {FinishedAnswer} from './live_answer.js';
import {createMachineDriver} from './machine_driver.js';
import type {PauseDetector} from './pause_detector.js';
import type {Releaser} from './releaser.js';
import type {RequestHost, RequestRunnerOptions} from './request_host.js';
import {createNamedTimers} from './timers.js';

/** Receives the answer of a model task. */
export interface ModelOutput {
  push(texts: readonly string[]): void;
  finish(finishReason: 'stop' | 'length'): void;
  replay(answer: FinishedAnswer): void;
  fail(error: RequestError): void;
}

export interface ModelTask {
  callerGone(): void;
  callerReturned(): void;
}

type EffectHandlers = {
  readonly [Kind in ModelEffect['kind']]: (
    effect: Extract<ModelEffect, {kind: Kind}>,
  ) => void;
};

/** The failure for an exception of a port, whose cause isn't classified. */
function portFailure(cause: unknown): EngineFailure {
  return {kind: 'failed', reason: 'broken', detail: String(cause)};
}

export function createModelTask(
  host: RequestHost,
  options: RequestRunnerOptions,
  releaser: Releaser,
  pauseDetector: PauseDetector,
  request: ModelRequest,
  output: ModelOutput,
  onEnded: () => void,
): ModelTask {
  const {clock} = host;
  const {requestId, service} = request;
  // Callers may use one request id for two concurrent requests. The run id
  // keeps the release of one from freeing the sessions of the other.
  const runId = host.random.nextId();
  const facts: ModelFacts = {
    requestId,
    deadlineAtMs: request.deadlineAtMs,
    isKeyed: request.idempotencyKey !== undefined,
    isKept:
      request.idempotencyKey !== undefined &&
      request.requestClass === 'patient',
    policy: options.model,
  };
  const timers = createNamedTimers<ModelTimer | 'deadline'>(clock);
  /** Calls whose outcome isn't known, by attempt and address. */
  const unresolvedCalls = new Set<string>();
  let grantRequestAbort: AbortController | undefined;
  let stream: DecodeHandle | undefined;
  let isEnded = false;

  const step = host.machines?.stepModel ?? stepModel;
  const driver = createMachineDriver<ModelState, ModelEvent, ModelEffect>(
    initialModelState,
    (state, event) => step(facts, state, event),
    effect => perform(effect),
    settle,
  );

  function settle(state: ModelState): void {
    if (state.step !== 'ended' || isEnded) return;
    isEnded = true;
    timers.clearAll();
    host.quarantine.leaveTrial(requestId);
    onEnded();
  }

  function ownerOf(attempt: number): OwnerTag {
    return {
      entry: host.entry,
      requestId,
      attemptId: `${runId}.${attempt}`,
    };
  }

  const callName = (attempt: number, address: string) =>
    `${attempt} ${address}`;

  async function lookUp(): Promise<void> {
    const outcome = await host.keptAnswers
      .lookUp(request)
      .catch((): LookUpOutcome => ({kind: 'none'}));
    if (isEnded) return;
    switch (outcome.kind) {
      case 'none':
        return driver.send({kind: 'looked-up', outcome: 'run'});
      case 'conflict':
        return driver.send({kind: 'looked-up', outcome: 'conflict'});
      case 'finished':
        output.replay(outcome.answer);
        return driver.send({kind: 'looked-up', outcome: 'replayed'});
      case 'running':
        driver.send({kind: 'looked-up', outcome: 'adopted'});
        return followPeerAnswer(outcome.address);
    }
  }

  /** Reads an answer in parts from the entry that produces it. */
  async function followPeerAnswer(address: string): Promise<void> {
    const key = answerKeyOf(request)!;
    while (driver.state().step === 'adopted') {
      const offset = driver.state().deliveredTokens;
      const part = await host.keptAnswers
        .readPeer(address, key, offset, options.peerReadWaitMs)
        .catch(() => ({kind: 'failed'}) as const);
      if (part.kind !== 'part') {
        driver.send({kind: 'adoption-lost'});
        return;
      }
      if (part.texts.length > 0) {
        driver.send({kind: 'adopted-tokens', offset, texts: part.texts});
      }
      if (part.end) {
        driver.send({kind: 'adopted-end', ...part.end});
        return;
      }
    }
  }

  /**
   * Time left for the first token. After a failed run this is the whole
   * remaining wait: the target can hardly be met any more, and with it a home
   * would refuse a caller who is still waiting.
   */
  function ttftLeftMs(): number {
    const targetMs = host.ttftTargetMs?.(service);
    const waitLeftMs = request.deadlineAtMs - clock.nowMs();
    const {deliveredTokens, runs} = driver.state();
    if (targetMs === undefined || deliveredTokens > 0 || runs > 0) {
      return waitLeftMs;
    }
    return Math.min(waitLeftMs, request.arrivedAtMs + targetMs - clock.nowMs());
  }

  async function requestGrant(
    attempt: number,
    resumeOffset: number,
  ): Promise<void> {
    const grantAbort = new AbortController();
    grantRequestAbort = grantAbort;
    const outcome = await host.grants
      .request(
        {
          owner: ownerOf(attempt),
          service,
          account: request.account,
          requestClass: request.requestClass,
          promptTokenCount: request.promptTokens.length,
          maxTokens: request.maxTokens,
          prefixHashes: host.prefixHashes?.(request.promptTokens) ?? [],
          ttftLeftMs: ttftLeftMs(),
          waitLeftMs: request.deadlineAtMs - clock.nowMs(),
          resumeOffset,
          avoidEngineIds: driver.state().failedEngineIds,
        },
        grantAbort.signal,
      )
      .catch((): GrantRefusal => ({
        kind: 'refused',
        reason: 'unreachable',
        retryAfterMs: options.retryBaseDelayMs,
      }));
    if (outcome.kind === 'refused') {
      driver.send({kind: 'grant-refused', attempt, refusal: outcome});
    } else if (pauseDetector.hasJustResumed()) {
      returnStaleGrant(attempt, outcome);
    } else driver.send({kind: 'grant-given', attempt, grant: outcome});
  }

  /**
   * Returns a grant that arrived after a pause of this process. The grant may
   * have expired, and its engines may have begun to leave and must get no new
   * work.
   */
  function returnStaleGrant(attempt: number, grant: Grant): void {
    host.grants.report(grant, {
      kind: 'ended',
      result: 'cancelled',
      tokensDelivered: driver.state().deliveredTokens,
      prefillWasted: false,
    });
    const {retryBaseDelayMs: retryAfterMs} = options;
    driver.send({
      kind: 'grant-refused',
      attempt,
      refusal: {kind: 'refused', reason: 'home-moved', retryAfterMs},
    });
  }

  async function prefill(attempt: number, grant: Grant): Promise<void> {
    const name = callName(attempt, grant.prefillAddress);
    unresolvedCalls.add(name);
    const result = await host
      .enginePort(grant.prefillAddress)
      .prefill({
        owner: ownerOf(attempt),
        model: request.model,
        promptTokens: request.promptTokens,
        priority: options.enginePriorities[request.requestClass],
        timeoutMs: options.model.prefillTimeoutMs,
      })
      .catch(portFailure);
    if (result.kind === 'failed') {
      engineFailed(attempt, grant, 'prefill', result);
      return;
    }
    unresolvedCalls.delete(name);
    driver.send({...result, kind: 'prefill-done', attempt, grant});
  }

  async function importKv(
    effect: Extract<ModelEffect, {kind: 'import'}>,
  ): Promise<void> {
    const {attempt, grant, kvHandle, kvSizeBytes} = effect;
    const name = callName(attempt, grant.decodeAddress);
    unresolvedCalls.add(name);
    const result = await host
      .enginePort(grant.decodeAddress)
      .importKv({
        owner: ownerOf(attempt),
        fromAddress: grant.prefillAddress,
        kvHandle,
        kvSizeBytes,
        timeoutMs: options.model.importTimeoutMs,
      })
      .catch(portFailure);
    if (result.kind === 'failed') {
      engineFailed(attempt, grant, 'import', result);
      return;
    }
    unresolvedCalls.delete(name);
    driver.send({...result, kind: 'import-done', attempt, grant});
  }

  function engineFailed(
    attempt: number,
    grant: Grant,
    during: 'prefill' | 'import',
    failure: EngineFailure,
  ): void {
    driver.send({kind: 'engine-failed', attempt, grant, during, failure});
  }

  function decode(effect: Extract<ModelEffect, {kind: 'decode'}>): void {
    const {attempt, grant} = effect;
    const owner = ownerOf(attempt);
    stream = host.enginePort(grant.decodeAddress).decode(
      {
        owner,
        sessionId: effect.sessionId,
        maxTokens: request.maxTokens,
        fromOffset: effect.fromOffset,
        priority: options.enginePriorities[request.requestClass],
      },
      frame =>
        driver.send({
          kind: 'frame',
          attempt,
          requestId: frame.requestId,
          isOwnAttempt: frame.attemptId === owner.attemptId,
          frame,
        }),
    );
  }

  async function probe(attempt: number, address: string): Promise<void> {
    const result = await host
      .enginePort(address)
      .probe(options.probeTimeoutMs)
      .catch(portFailure);
    driver.send({kind: 'probed', attempt, isAlive: result === 'alive'});
  }

  function requestRetry(): void {
    const verdict = host.quarantine.verdict(request.fingerprint);
    if (verdict === 'quarantined') {
      host.observer?.onRetryDenied?.(service, 'quarantined');
      driver.send({kind: 'retry-denied'});
      return;
    }
    // Resuming a stream doesn't use the retry budget. It happens only after an
    // engine failure and at most a few times for each stream.
    const isResume = driver.state().deliveredTokens > 0;
    if (!isResume && !host.retryBudget.tryTake(service)) {
      host.observer?.onRetryDenied?.(service, 'budget');
      driver.send({kind: 'retry-denied'});
      return;
    }
    host.observer?.onRetry?.(service);
    const delayMs = options.retryBaseDelayMs * (1 + host.random.nextFloat());
    const allow = () => driver.send({kind: 'retry-allowed', delayMs});
    if (verdict === 'clear') allow();
    else host.quarantine.enterTrial(request.fingerprint, requestId, allow);
  }

  const timerEvents: Readonly<
    Record<ModelTimer, (attempt: number) => ModelEvent>
  > = {
    step: attempt => ({kind: 'step-timeout', attempt}),
    start: attempt => ({
      kind: 'start-due',
      attempt,
      nowMs: clock.nowMs(),
      isStale: pauseDetector.hasJustResumed(),
    }),
    retry: () => ({kind: 'retry-due', nowMs: clock.nowMs()}),
    keep: () => ({kind: 'keep-bound'}),
    overrun: () => ({kind: 'overrun'}),
    renew: () => ({kind: 'renew-due'}),
  };

  const effectHandlers: EffectHandlers = {
    'look-up': () => void lookUp(),
    'request-grant': effect =>
      void requestGrant(effect.attempt, effect.resumeOffset),
    'abandon-grant-request': () => grantRequestAbort?.abort(),
    report: effect => host.grants.report(effect.grant, effect.progress),
    prefill: effect => void prefill(effect.attempt, effect.grant),
    import: effect => void importKv(effect),
    decode,
    'stop-stream': () => stream?.cancel(),
    release: effect =>
      releaser.release(
        effect.address,
        ownerOf(effect.attempt),
        unresolvedCalls.has(callName(effect.attempt, effect.address)),
      ),
    probe: effect => void probe(effect.attempt, effect.address),
    blame(effect) {
      host.observer?.onUpstreamLost?.(service, effect.engineId);
      host.quarantine.recordLoss(request.fingerprint, effect.engineId);
    },
    'ask-retry': requestRetry,
    'set-timer'(effect) {
      const {attempt} = driver.state();
      timers.set(effect.timer, effect.delayMs, () =>
        driver.send(timerEvents[effect.timer](attempt)),
      );
    },
    'clear-timer': effect => timers.clear(effect.timer),
    deliver: effect => output.push(effect.texts),
    finish(effect) {
      host.quarantine.clear(request.fingerprint);
      host.observer?.onRequestEnded?.(service, 'answered');
      output.finish(effect.finishReason);
    },
    fail(effect) {
      host.observer?.onRequestEnded?.(service, effect.error.kind);
      output.fail(effect.error);
    },
    drop: effect => host.observer?.onFrameDropped?.(service, effect.what),
  };

  function perform(effect: ModelEffect): void {
    const handler = effectHandlers[effect.kind] as (
      effect: ModelEffect,
    ) => void;
    handler(effect);
  }

  timers.set('deadline', request.deadlineAtMs - clock.nowMs(), () =>
    driver.send({kind: 'deadline'}),
  );
  driver.send({kind: 'started'});
  return {
    callerGone: () => driver.send({kind: 'caller-gone'}),
    callerReturned: () => driver.send({kind: 'caller-back'}),
  };
}
