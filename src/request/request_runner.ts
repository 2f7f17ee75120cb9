/** Starts a task for each request and tracks the requests that are running. */

import type {RequestError} from '../core/error_kinds.js';
import type {
  ModelAnswerSink,
  ModelRequest,
  RequestRunner,
  RunningRequest,
} from '../ports/answer_sink.js';
import {answerKeyOf} from './kept_answers.js';
import {replay, type LiveAnswer} from './live_answer.js';
import {
  createModelTask,
  type ModelOutput,
  type ModelTask,
} from './model_task.js';
import {createPlainTask} from './plain_task.js';
import {createPauseDetector} from './pause_detector.js';
import {createReleaser} from './releaser.js';
import {
  defaultRequestRunnerOptions,
  type RequestHost,
  type RequestRunnerOptions,
} from './request_host.js';
import {createSingleRunTask} from './single_run_task.js';

const endedRequest: RunningRequest = {callerGone() {}};

const quarantinedError: RequestError = {
  kind: 'quarantined',
  detail: 'Earlier runs of this request crashed upstreams.',
};

const conflictError: RequestError = {
  kind: 'key-conflict',
  detail: 'The key belongs to another request.',
};

function directOutput(sink: ModelAnswerSink): ModelOutput {
  let offset = 0;
  return {
    push(texts) {
      sink.tokens(offset, texts);
      offset += texts.length;
    },
    finish: reason => sink.end(reason, offset),
    replay: answer => replay(answer, sink),
    fail: error => sink.fail(error),
  };
}

function liveOutput(live: LiveAnswer): ModelOutput {
  return {
    push: texts => live.push(texts),
    finish: reason => live.finish(reason),
    replay(answer) {
      live.push(answer.texts);
      live.finish(answer.finishReason);
    },
    fail: error => live.fail(error),
  };
}

/** A request runner that the sweep of engine sessions can query by id. */
export interface QueryableRequestRunner extends RequestRunner {
  /** Whether a request with this id is still running in this process. */
  isRunning(requestId: string): boolean;
}

export function createRequestRunner(
  host: RequestHost,
  options: RequestRunnerOptions = defaultRequestRunnerOptions,
): QueryableRequestRunner {
  const releaser = createReleaser(host);
  const pauseDetector = createPauseDetector(host.clock);
  const keyedTasks = new Map<LiveAnswer, ModelTask>();
  /** Number of running requests by id, since callers may reuse an id. */
  const runningCounts = new Map<string, number>();
  let activeCount = 0;

  function recordStart(requestId: string): void {
    activeCount++;
    runningCounts.set(requestId, (runningCounts.get(requestId) ?? 0) + 1);
  }

  function recordEnd(requestId: string): void {
    activeCount--;
    const remaining = runningCounts.get(requestId)! - 1;
    if (remaining > 0) runningCounts.set(requestId, remaining);
    else runningCounts.delete(requestId);
  }

  function isQuarantined(fingerprint: string): boolean {
    return host.quarantine.verdict(fingerprint) === 'quarantined';
  }

  function runUnkeyed(
    request: ModelRequest,
    sink: ModelAnswerSink,
  ): RunningRequest {
    recordStart(request.requestId);
    return createModelTask(
      host,
      options,
      releaser,
      pauseDetector,
      request,
      directOutput(sink),
      () => recordEnd(request.requestId),
    );
  }

  /**
   * Attaches the sink to a running answer. When the last reader disconnects,
   * the task is told that its caller is gone.
   */
  function follow(live: LiveAnswer, sink: ModelAnswerSink): RunningRequest {
    const detach = live.attach(sink);
    let isGone = false;
    return {
      callerGone() {
        if (isGone) return;
        isGone = true;
        detach();
        if (live.readerCount() === 0) keyedTasks.get(live)?.callerGone();
      },
    };
  }

  function startKeyed(
    request: ModelRequest,
    sink: ModelAnswerSink,
  ): RunningRequest {
    const live = host.keptAnswers.open(request);
    const running = follow(live, sink);
    let hasEnded = false;
    recordStart(request.requestId);
    const task = createModelTask(
      host,
      options,
      releaser,
      pauseDetector,
      request,
      liveOutput(live),
      () => {
        hasEnded = true;
        recordEnd(request.requestId);
        keyedTasks.delete(live);
        host.keptAnswers.close(request, live);
      },
    );
    if (!hasEnded) keyedTasks.set(live, task);
    return running;
  }

  return {
    runModel(request, sink) {
      host.retryBudget.requestStarted(request.service);
      const key = answerKeyOf(request);
      const existing = key && host.keptAnswers.find(key);
      if (existing && existing.fingerprint !== request.fingerprint) {
        sink.fail(conflictError);
        return endedRequest;
      }
      if (existing) {
        keyedTasks.get(existing)?.callerReturned();
        return follow(existing, sink);
      }
      if (isQuarantined(request.fingerprint)) {
        sink.fail(quarantinedError);
        return endedRequest;
      }
      return key ? startKeyed(request, sink) : runUnkeyed(request, sink);
    },
    runPlain(request, sink) {
      host.retryBudget.requestStarted(request.service);
      // With a key, an earlier call may already have run, so the task asks the
      // journal before it checks the quarantine.
      const isJournalled =
        !request.repeatable && request.idempotencyKey !== undefined;
      if (!isJournalled && isQuarantined(request.fingerprint)) {
        sink.fail(quarantinedError);
        return endedRequest;
      }
      recordStart(request.requestId);
      const create = request.repeatable ? createPlainTask : createSingleRunTask;
      return create(host, options, request, sink, () =>
        recordEnd(request.requestId),
      );
    },
    activeCount: () => activeCount,
    isRunning: requestId => runningCounts.has(requestId),
  };
}
