/**
 * Buffers an answer before it is forwarded, so that another attempt can replace
 * one that breaks off. Large answers aren't buffered.
 */

import type {
  AnswerBodySink,
  RawHeaders,
  UpstreamAnswer,
} from '../../ports/relay.js';

/** Larger answers are streamed; answers of plain services are a few kB. */
const MAX_COLLECTED_BYTES = 256 * 1024;

export interface CollectedAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** The part of a large answer that was already read. */
export interface PartialAnswer {
  readonly bytes: Buffer;
  /** Sends the rest of the body to this sink. */
  continueWith(sink: AnswerBodySink): void;
}

export type Collected =
  | CollectedAnswer
  | {readonly kind: 'broken'; readonly detail: string}
  | {
      readonly kind: 'large';
      readonly answer: UpstreamAnswer;
      readonly partial: PartialAnswer;
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
          partial: {
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
