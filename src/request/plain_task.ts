/** The task of one call to a plain service that may be repeated. */

import {
  initialPlainState,
  stepPlain,
  type PlainEffect,
  type PlainEvent,
  type PlainState,
} from '../core/request/plain_machine.js';
import type {PlainFacts} from '../core/request/plain_types.js';
import type {
  PlainAnswerSink,
  PlainRequest,
  RunningRequest,
} from '../ports/answer_sink.js';
import {createMachineDriver} from './machine_driver.js';
import {createPlainCalls, storedAnswerOf} from './plain_calls.js';
import type {RequestHost, RequestRunnerOptions} from './request_host.js';
import {createNamedTimers} from './timers.js';

type EffectHandlers = {
  readonly [Kind in PlainEffect['kind']]: (
    effect: Extract<PlainEffect, {kind: Kind}>,
  ) => void;
};

export function createPlainTask(
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
    isKeyed: false,
    policy: options.plain,
  };
  const timers = createNamedTimers<'deadline' | 'hedge'>(clock);
  let isEnded = false;

  const step = host.machines?.stepPlain ?? stepPlain;
  const driver = createMachineDriver<PlainState, PlainEvent, PlainEffect>(
    initialPlainState,
    (state, event) => step(facts, state, event),
    effect => perform(effect),
    settle,
  );
  const calls = createPlainCalls(host, options, request, event =>
    driver.send(event),
  );

  function settle(state: PlainState): void {
    if (state.step !== 'ended' || isEnded) return;
    isEnded = true;
    timers.clearAll();
    onEnded();
  }

  const effectHandlers: EffectHandlers = {
    pick: effect => calls.pick(effect.attempt, effect.excludeIds),
    call: effect => calls.call(effect.call),
    'abort-call': effect => calls.abort(effect.attempt),
    'ask-retry': () => calls.requestRetry(),
    'set-hedge-timer': effect =>
      timers.set('hedge', effect.delayMs, () =>
        driver.send({kind: 'hedge-due'}),
      ),
    probe: effect =>
      void calls.probe(effect.call).then(isAlive =>
        driver.send({
          kind: 'probed',
          upstreamId: effect.call.upstreamId,
          isAlive,
        }),
      ),
    answer(effect) {
      host.quarantine.clear(request.fingerprint);
      host.observer?.onRequestEnded?.(service, 'answered');
      sink.end(storedAnswerOf(effect.answer));
    },
    fail(effect) {
      host.observer?.onRequestEnded?.(service, effect.error.kind);
      sink.fail(effect.error);
    },
    drop: effect => host.observer?.onFrameDropped?.(service, effect.what),
  };

  function perform(effect: PlainEffect): void {
    const handler = effectHandlers[effect.kind] as (
      effect: PlainEffect,
    ) => void;
    handler(effect);
  }

  timers.set('deadline', request.deadlineAtMs - clock.nowMs(), () =>
    driver.send({kind: 'deadline'}),
  );
  driver.send({kind: 'started', nowMs: clock.nowMs()});
  return {callerGone: () => driver.send({kind: 'caller-gone'})};
}
