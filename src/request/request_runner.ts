/** Starts the task that fits a request and knows which requests still run. */

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
import {createPauseWatch} from './pause_watch.js';
import {createReleaser} from './releaser.js';
import {
  defaultRequestRunnerOptions,
  type RequestHost,
  type RequestRunnerOptions,
} from './request_host.js';
import {createSingleRunTask} from './single_run_task.js';

const ended: RunningRequest = {callerGone() {}};

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

/** The runner, as the sweep of engine sessions sees it. */
export interface SweptRequestRunner extends RequestRunner {
  /** Whether the request has not ended here. */
  isRunning(requestId: string): boolean;
}

export function createRequestRunner(
  host: RequestHost,
  options: RequestRunnerOptions = defaultRequestRunnerOptions,
): SweptRequestRunner {
  const releaser = createReleaser(host);
  const pauseWatch = createPauseWatch(host.clock);
  const keyedTasks = new Map<LiveAnswer, ModelTask>();
  /** By request id; a caller may give the same id to several. */
  const runningIds = new Map<string, number>();
  let activeCount = 0;

  function noteStarted(requestId: string): void {
    activeCount++;
    runningIds.set(requestId, (runningIds.get(requestId) ?? 0) + 1);
  }

  function noteEnded(requestId: string): void {
    activeCount--;
    const left = runningIds.get(requestId)! - 1;
    if (left > 0) runningIds.set(requestId, left);
    else runningIds.delete(requestId);
  }

  function isQuarantined(fingerprint: string): boolean {
    return host.quarantine.verdict(fingerprint) === 'quarantined';
  }

  function runUnkeyed(
    request: ModelRequest,
    sink: ModelAnswerSink,
  ): RunningRequest {
    noteStarted(request.requestId);
    return createModelTask(
      host,
      options,
      releaser,
      pauseWatch,
      request,
      directOutput(sink),
      () => noteEnded(request.requestId),
    );
  }

  /** Reads a running answer; the last reader to leave is the caller's end. */
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
    noteStarted(request.requestId);
    const task = createModelTask(
      host,
      options,
      releaser,
      pauseWatch,
      request,
      liveOutput(live),
      () => {
        hasEnded = true;
        noteEnded(request.requestId);
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
      const known = key && host.keptAnswers.find(key);
      if (known && known.fingerprint !== request.fingerprint) {
        sink.fail(conflictError);
        return ended;
      }
      if (known) {
        keyedTasks.get(known)?.callerBack();
        return follow(known, sink);
      }
      if (isQuarantined(request.fingerprint)) {
        sink.fail(quarantinedError);
        return ended;
      }
      return key ? startKeyed(request, sink) : runUnkeyed(request, sink);
    },
    runPlain(request, sink) {
      host.retryBudget.requestStarted(request.service);
      // With a key, an earlier call may have run: the journal is asked first.
      const isJournalled =
        !request.repeatable && request.idempotencyKey !== undefined;
      if (!isJournalled && isQuarantined(request.fingerprint)) {
        sink.fail(quarantinedError);
        return ended;
      }
      noteStarted(request.requestId);
      const create = request.repeatable ? createPlainTask : createSingleRunTask;
      return create(host, options, request, sink, () =>
        noteEnded(request.requestId),
      );
    },
    activeCount: () => activeCount,
    isRunning: requestId => runningIds.has(requestId),
  };
}
