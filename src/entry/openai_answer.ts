/**
 * Answers of the OpenAI-compatible routes, as a stream of server-sent events
 * or as one document.
 *
 * A complete stream ends with `data: [DONE]`. An interrupted stream ends with
 * an `error` event and has no `[DONE]`.
 */

import type {ServerResponse} from 'node:http';
import type {RequestError} from '../core/error_kinds.js';
import type {ModelAnswerSink} from '../ports/answer_sink.js';
import {createEventStream, type EventStream} from './event_stream.js';
import type {CompletionApi} from './openai_request.js';
import {createProblem, writeProblem} from './problem.js';

const MS_PER_SECOND = 1000;

export interface AnswerContext {
  readonly api: CompletionApi;
  readonly requestId: string;
  readonly model: string;
  readonly wallMs: number;
  readonly promptTokenCount: number;
}

interface ApiNames {
  readonly idPrefix: string;
  readonly chunkObject: string;
  readonly wholeObject: string;
}

const namesByApi: Readonly<Record<CompletionApi, ApiNames>> = {
  chat: {
    idPrefix: 'chatcmpl-',
    chunkObject: 'chat.completion.chunk',
    wholeObject: 'chat.completion',
  },
  completion: {
    idPrefix: 'cmpl-',
    chunkObject: 'text_completion',
    wholeObject: 'text_completion',
  },
};

/** The JSON before and after the escaped text of a chunk. */
const choiceFrames: Readonly<Record<CompletionApi, readonly [string, string]>> =
  {
    chat: [
      '"choices":[{"index":0,"delta":{"content":',
      '},"finish_reason":null}]}\n\n',
    ],
    completion: [
      '"choices":[{"index":0,"text":',
      ',"finish_reason":null}]}\n\n',
    ],
  };

const finalChoices: Readonly<
  Record<CompletionApi, (reason: string) => string>
> = {
  chat: reason =>
    `"choices":[{"index":0,"delta":{},"finish_reason":"${reason}"}]}\n\n`,
  completion: reason =>
    `"choices":[{"index":0,"text":"","finish_reason":"${reason}"}]}\n\n`,
};

function createHead(context: AnswerContext): string {
  const {idPrefix, chunkObject} = namesByApi[context.api];
  const head = JSON.stringify({
    id: idPrefix + context.requestId,
    object: chunkObject,
    created: Math.floor(context.wallMs / MS_PER_SECOND),
    model: context.model,
  });
  return `data: ${head.slice(0, -1)},`;
}

/**
 * Streams the answer. The response begins with the first token, so an earlier
 * refusal still gets its own status code.
 */
export function createStreamSink(
  response: ServerResponse,
  context: AnswerContext,
): ModelAnswerSink {
  const head = createHead(context);
  const [frameStart, suffix] = choiceFrames[context.api];
  let stream: EventStream | undefined;

  function openStream(): EventStream {
    stream ??= createEventStream(response, {
      prefix: head + frameStart,
      suffix,
    });
    return stream;
  }

  return {
    tokens(_offset, texts) {
      const text = texts.length === 1 ? texts[0] : texts.join('');
      openStream().write(JSON.stringify(text));
    },
    end(finishReason) {
      const last = head + finalChoices[context.api](finishReason);
      openStream().end(`${last}data: [DONE]\n\n`);
    },
    fail(error: RequestError) {
      if (!stream) {
        writeProblem(response, error, context.requestId);
        return;
      }
      const problem = createProblem(error, context.requestId);
      const data = JSON.stringify({
        error: {...problem, message: problem.title},
      });
      stream.end(`event: error\ndata: ${data}\n\n`);
    },
  };
}

/** Sends one JSON document when the answer is complete. */
export function createWholeSink(
  response: ServerResponse,
  context: AnswerContext,
): ModelAnswerSink {
  const parts: string[] = [];

  function createChoice(finishReason: string) {
    const text = parts.join('');
    const content =
      context.api === 'chat'
        ? {message: {role: 'assistant', content: text}}
        : {text};
    return {index: 0, ...content, finish_reason: finishReason};
  }

  return {
    tokens(_offset, texts) {
      parts.push(...texts);
    },
    end(finishReason, tokenCount) {
      const {idPrefix, wholeObject} = namesByApi[context.api];
      const document = {
        id: idPrefix + context.requestId,
        object: wholeObject,
        created: Math.floor(context.wallMs / MS_PER_SECOND),
        model: context.model,
        choices: [createChoice(finishReason)],
        usage: {
          prompt_tokens: context.promptTokenCount,
          completion_tokens: tokenCount,
          total_tokens: context.promptTokenCount + tokenCount,
        },
      };
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(document));
    },
    fail: error => writeProblem(response, error, context.requestId),
  };
}
