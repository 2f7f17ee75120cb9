/**
 * Holds an answer back before it is forwarded, so that another attempt can
 * replace one that breaks off. Large answers aren't held back.
 */

import type {
  AnswerBodySink,
  RawHeaders,
  UpstreamAnswer,
} from '../../ports/relay.js';
import {createChunkList} from './chunk_list.js';

/** Larger answers are streamed; answers of plain services are a few kB. */
const MAX_COLLECTED_BYTES = 256 * 1024;

export interface CollectedAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly chunks: readonly Buffer[];
  readonly sizeBytes: number;
}

/** The part of a large answer that was already read. */
export interface PartialAnswer {
  /** Returns the chunks that were read, once. */
  takeChunks(): readonly Buffer[];
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

/** `onHeld` is called with the size of what is held. */
export function collectAnswer(
  answer: UpstreamAnswer,
  onHeld: (bytes: number) => void,
): Promise<Collected> {
  const {status, headers, body} = answer;
  return new Promise(resolve => {
    const chunks = createChunkList();
    let next: AnswerBodySink | undefined;
    body.read({
      chunk(bytes) {
        if (next) return next.chunk(bytes);
        chunks.push(bytes);
        onHeld(chunks.sizeBytes());
        if (chunks.sizeBytes() <= MAX_COLLECTED_BYTES) return;
        body.pause();
        resolve({
          kind: 'large',
          answer,
          partial: {
            takeChunks: chunks.take,
            continueWith(sink) {
              next = sink;
            },
          },
        });
      },
      end() {
        if (next) return next.end();
        const sizeBytes = chunks.sizeBytes();
        const whole = {status, headers, chunks: chunks.take(), sizeBytes};
        resolve({kind: 'whole', ...whole});
      },
      broken(detail) {
        if (next) return next.broken(detail);
        resolve({kind: 'broken', detail});
      },
    });
  });
}
