/**
 * Reads an answer whole before it is handed on, so that one that breaks off
 * can still be replaced by another attempt. Large ones are not kept back.
 */

import type {
  AnswerBodySink,
  RawHeaders,
  UpstreamAnswer,
} from '../../ports/relay.js';

/** Answers of plain services are a few kB; more than this is passed through. */
const MAX_COLLECTED_BYTES = 256 * 1024;

export interface CollectedAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** What of a large answer was read already, and how to read on. */
export interface BegunAnswer {
  readonly bytes: Buffer;
  /** From now on the body goes to this sink. */
  continueWith(sink: AnswerBodySink): void;
}

export type Collected =
  | CollectedAnswer
  | {readonly kind: 'broken'; readonly detail: string}
  | {
      readonly kind: 'large';
      readonly answer: UpstreamAnswer;
      readonly begun: BegunAnswer;
    };

export function collectAnswer(answer: UpstreamAnswer): Promise<Collected> {
  const {status, headers, body} = answer;
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    let next: AnswerBodySink | undefined;
    body.read({
      chunk(bytes) {
        if (next) return next.chunk(bytes);
        chunks.push(bytes);
        size += bytes.length;
        if (size <= MAX_COLLECTED_BYTES) return;
        body.pause();
        resolve({
          kind: 'large',
          answer,
          begun: {
            bytes: Buffer.concat(chunks),
            continueWith(sink) {
              next = sink;
              body.resume();
            },
          },
        });
      },
      end() {
        if (next) return next.end();
        resolve({kind: 'whole', status, headers, body: Buffer.concat(chunks)});
      },
      broken(detail) {
        if (next) return next.broken(detail);
        resolve({kind: 'broken', detail});
      },
    });
  });
}
