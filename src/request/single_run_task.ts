/** The task of one call to a plain service that must not be sent twice. */

import {
  initialSingleRunState,
  stepSingleRun,
  type SingleRunEffect,
  type SingleRunEnd,
  type SingleRunEvent,
  type SingleRunState,
} from '../core/request/single_run_machine.js';
import type {PlainFacts} from '../core/request/plain_types.js';
import type {
  PlainAnswerSink,
  PlainRequest,
  RunningRequest,
} from '../ports/answer_sink.js';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
} from '../ports/journal.js';
import {createMachineDriver} from './machine_driver.js';
import {createPlainCalls, storedAnswerOf} from './plain_calls.js';
import type {RequestHost, RequestRunnerOptions} from './request_host.js';
import {createNamedTimers} from './timers.js';

type EffectHandlers = {
  readonly [Kind in SingleRunEffect['kind']]: (
    effect: Extract<SingleRunEffect, {kind: Kind}>,
  ) => void;
};

const END_RETRY_MS = 250;
const MAX_END_TRIES = 8;
const END_TIMEOUT_MS = 2_000;

function journalEndOf(end: SingleRunEnd): JournalEnd {
  return end.kind === 'answered'
    ? {kind: 'answered', answer: storedAnswerOf(end.answer)}
    : end;
}

export function createSingleRunTask(
  host: RequestHost,
  options: RequestRunnerOptions,
  request: PlainRequest,
  sink: PlainAnswerSink,
  onEnded: () => void,
): RunningRequest {
  const {clock} = host;
  const {service} = request;
  const facts: PlainFacts = {
    requestId: request.requestId,
    deadlineAtMs: request.deadlineAtMs,
    isKeyed: request.idempotencyKey !== undefined,
    policy: options.plain,
  };
  // The request id may come from the caller. If it identified the attempt, a
  // repeat with the same id would count as the first attempt and run again.
  const attemptId = host.random.nextId();
  const timers = createNamedTimers<'deadline' | 'ask' | 'linger'>(clock);
  let isEnded = false;

  const step = host.machines?.stepSingleRun ?? stepSingleRun;
  const driver = createMachineDriver<
    SingleRunState,
    SingleRunEvent,
    SingleRunEffect
  >(
    initialSingleRunState,
    (state, event) => step(facts, state, event),
    effect => perform(effect),
    settle,
  );
  const calls = createPlainCalls(host, options, request, event =>
    driver.send(event),
  );

  function settle(state: SingleRunState): void {
    if (state.step !== 'ended' || isEnded) return;
    isEnded = true;
    timers.clearAll();
    onEnded();
  }

  function intentOf(timeoutMs: number): IntentRequest {
    return {
      service,
      account: request.account,
      idempotencyKey: request.idempotencyKey!,
      fingerprint: request.fingerprint,
      attemptId,
      entry: host.entry,
      timeoutMs,
    };
  }

  async function beginIntent(ask: number): Promise<void> {
    const leftMs = Math.max(1, request.deadlineAtMs - clock.nowMs());
    const outcome = await host.journal
      .begin(intentOf(leftMs))
      .catch((): IntentOutcome => ({
        kind: 'refused',
        reason: 'platform',
        retryAfterMs: options.plain.defaultRetryAfterMs,
      }));
    const isQuarantined =
      host.quarantine.verdict(request.fingerprint) === 'quarantined';
    driver.send(
      outcome.kind === 'proceed' && isQuarantined
        ? {kind: 'quarantined', ask}
        : {kind: 'intent', ask, outcome, nowMs: clock.nowMs()},
    );
  }

  /**
   * Retries until the end is durable. If it is never recorded, repeats with
   * the key get `outcome-unknown` and don't run.
   */
  async function endIntent(end: JournalEnd, tries: number): Promise<void> {
    const isDurable = await host.journal
      .end(intentOf(END_TIMEOUT_MS), end)
      .catch(() => false);
    if (isDurable || tries >= MAX_END_TRIES) {
      if (!isDurable) {
        host.log.warn('The end of a call could not be recorded.', {
          requestId: request.requestId,
          end: end.kind,
        });
      }
      driver.send({kind: 'recorded'});
      return;
    }
    const delayMs = END_RETRY_MS * 2 ** (tries - 1);
    clock.setTimer(delayMs, () => void endIntent(end, tries + 1));
  }

  const effectHandlers: EffectHandlers = {
    'begin-intent': effect => void beginIntent(effect.ask),
    'end-intent': effect => void endIntent(journalEndOf(effect.end), 1),
    pick: effect => calls.pick(effect.attempt, effect.excludeIds),
    call: effect => calls.call(effect.call),
    'abort-call': effect => calls.abort(effect.attempt),
    'ask-retry': () => calls.requestRetry(),
    suspect: effect => void calls.probe(effect.call),
    'set-timer': effect =>
      timers.set(effect.timer, effect.delayMs, () =>
        driver.send({
          kind: effect.timer === 'ask' ? 'ask-again' : 'linger-over',
        }),
      ),
    answer(effect) {
      host.quarantine.clear(request.fingerprint);
      host.observer?.onRequestEnded?.(service, 'answered');
      sink.end(storedAnswerOf(effect.answer));
    },
    'stored-answer'(effect) {
      host.observer?.onRequestEnded?.(service, 'answered');
      sink.end(effect.outcome.answer);
    },
    fail(effect) {
      host.observer?.onRequestEnded?.(service, effect.error.kind);
      sink.fail(effect.error);
    },
    drop: effect => host.observer?.onFrameDropped?.(service, effect.what),
  };

  function perform(effect: SingleRunEffect): void {
    const handler = effectHandlers[effect.kind] as (
      effect: SingleRunEffect,
    ) => void;
    handler(effect);
  }

  timers.set('deadline', request.deadlineAtMs - clock.nowMs(), () =>
    driver.send({kind: 'deadline'}),
  );
  driver.send({kind: 'started', nowMs: clock.nowMs()});
  return {callerGone: () => driver.send({kind: 'caller-gone'})};
}
