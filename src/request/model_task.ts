/**
 * The task of one model request: carries out the effects of its machine and
 * turns what engines, homes and timers bring into the machine's events.
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
import type {PauseWatch} from './pause_watch.js';
import type {Releaser} from './releaser.js';
import type {RequestHost, RequestRunnerOptions} from './request_host.js';
import {createNamedTimers} from './timers.js';

/** Where the task's answer goes. */
export interface ModelOutput {
  push(texts: readonly string[]): void;
  finish(finishReason: 'stop' | 'length'): void;
  replay(answer: FinishedAnswer): void;
  fail(error: RequestError): void;
}

export interface ModelTask {
  callerGone(): void;
  callerBack(): void;
}

type EffectHandlers = {
  readonly [Kind in ModelEffect['kind']]: (
    effect: Extract<ModelEffect, {kind: Kind}>,
  ) => void;
};

/** A port that throws has failed in a way that says nothing of the engine. */
function portFailure(cause: unknown): EngineFailure {
  return {kind: 'failed', reason: 'broken', detail: String(cause)};
}

export function createModelTask(
  host: RequestHost,
  options: RequestRunnerOptions,
  releaser: Releaser,
  pauseWatch: PauseWatch,
  request: ModelRequest,
  output: ModelOutput,
  onEnded: () => void,
): ModelTask {
  const {clock} = host;
  const {requestId, service} = request;
  // Request ids may come from callers, who may use one twice at a time: the
  // release of one request must not free what the other holds.
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
  /** Calls whose end is not known, by run and address. */
  const doubtfulCalls = new Set<string>();
  let queuePlace: AbortController | undefined;
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
        return readPeer(outcome.address);
    }
  }

  /** Follows the answer that another entry makes, part by part. */
  async function readPeer(address: string): Promise<void> {
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
   * Time left for the first token. Once a run has failed only the whole wait
   * counts: the target is as good as missed, and a home that held the request
   * to it would refuse a caller who is still waiting.
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
    const place = new AbortController();
    queuePlace = place;
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
        place.signal,
      )
      .catch((): GrantRefusal => ({
        kind: 'refused',
        reason: 'unreachable',
        retryAfterMs: options.retryBaseDelayMs,
      }));
    if (outcome.kind === 'refused') {
      driver.send({kind: 'grant-refused', attempt, refusal: outcome});
    } else if (pauseWatch.hasJustWoken()) {
      returnStale(attempt, outcome);
    } else driver.send({kind: 'grant-given', attempt, grant: outcome});
  }

  /**
   * The grant may have lapsed while this process was paused, and its engines
   * may have left since: used now, it would bring them new work.
   */
  function returnStale(attempt: number, grant: Grant): void {
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
    doubtfulCalls.add(name);
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
    doubtfulCalls.delete(name);
    driver.send({...result, kind: 'prefill-done', attempt, grant});
  }

  async function importKv(
    effect: Extract<ModelEffect, {kind: 'import'}>,
  ): Promise<void> {
    const {attempt, grant, kvHandle, kvSizeBytes} = effect;
    const name = callName(attempt, grant.decodeAddress);
    doubtfulCalls.add(name);
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
    doubtfulCalls.delete(name);
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

  function askRetry(): void {
    const verdict = host.quarantine.verdict(request.fingerprint);
    if (verdict === 'quarantined') {
      host.observer?.onRetryDenied?.(service, 'quarantined');
      driver.send({kind: 'retry-denied'});
      return;
    }
    // A stream that has begun resumes outside the budget: at most a few times
    // for each stream, and only after an engine failed under it.
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
      isStale: pauseWatch.hasJustWoken(),
    }),
    retry: () => ({kind: 'retry-due', nowMs: clock.nowMs()}),
    keep: () => ({kind: 'keep-bound'}),
    overrun: () => ({kind: 'overrun'}),
    renew: () => ({kind: 'renew-due'}),
  };

  const effects: EffectHandlers = {
    'look-up': () => void lookUp(),
    'request-grant': effect =>
      void requestGrant(effect.attempt, effect.resumeOffset),
    'abandon-grant-request': () => queuePlace?.abort(),
    report: effect => host.grants.report(effect.grant, effect.progress),
    prefill: effect => void prefill(effect.attempt, effect.grant),
    import: effect => void importKv(effect),
    decode,
    'stop-stream': () => stream?.cancel(),
    release: effect =>
      releaser.release(
        effect.address,
        ownerOf(effect.attempt),
        doubtfulCalls.has(callName(effect.attempt, effect.address)),
      ),
    probe: effect => void probe(effect.attempt, effect.address),
    blame(effect) {
      host.observer?.onEngineBlamed?.(service, effect.engineId);
      host.quarantine.blame(request.fingerprint, effect.engineId);
    },
    'ask-retry': askRetry,
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
    const handler = effects[effect.kind] as (effect: ModelEffect) => void;
    handler(effect);
  }

  timers.set('deadline', request.deadlineAtMs - clock.nowMs(), () =>
    driver.send({kind: 'deadline'}),
  );
  driver.send({kind: 'started'});
  return {
    callerGone: () => driver.send({kind: 'caller-gone'}),
    callerBack: () => driver.send({kind: 'caller-back'}),
  };
}
