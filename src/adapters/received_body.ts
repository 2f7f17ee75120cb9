/** The body of an answer that Node's client receives. */

import type http from 'node:http';
import {createByteQueue} from '../core/byte_queue.js';
import type {AnswerBody, AnswerBodySink} from '../ports/relay.js';
import type {UploadAnswer} from './upload_answers.js';

/**
 * Node makes up to 32 reads of a connection, of 64 KB each, before it turns to
 * the next one. After a read in many parts or a large one, others go first.
 */
const MAX_PARTS_AT_ONCE = 64;
const LARGE_READ_BYTES = 32 * 1024;

export interface ReceivedBody {
  readonly body: AnswerBody;
  /** Ends the body as broken and closes its connection. */
  breakOff(detail: string): void;
}

export interface ReceivedBodyHost {
  readonly isUnframed: boolean;
  /** Whether the call or its connection has failed. */
  hasFailed(): boolean;
  /** Called once, when the body has ended or is given up. */
  onEnd(): void;
  /** Present if the answer may end before its upload was read. */
  readonly upload?: UploadAnswer;
}

type Ending =
  {readonly kind: 'whole'} | {readonly kind: 'broken'; readonly detail: string};

/**
 * Passes on what one read of the connection brings as one chunk. An upstream
 * may send chunks of one byte, so that a read has thousands of them.
 *
 * Detects when the upstream aborts an answer without a content length: Node
 * takes a reset for the end of such a body and reports it as complete. The
 * error of the request or the state of the connection shows the reset first.
 * An answer with a length or chunks shows its end itself; what the connection
 * carries afterwards doesn't matter.
 */
export function createReceivedBody(
  answer: http.IncomingMessage,
  {isUnframed, hasFailed, onEnd, upload}: ReceivedBodyHost,
): ReceivedBody {
  const {socket} = answer;
  let sink: AnswerBodySink | undefined;
  /** Set once the body has ended; the connection may close before it is read. */
  let ending: Ending | undefined;
  let isDelivered = false;
  let isDestroyed = false;
  let isPaused = false;
  /** Set while it is found out whether the end was that of a whole answer. */
  let isConfirming = false;
  /** What the current read of the connection has brought. */
  const read = createByteQueue();
  let partCount = 0;

  function flush(): void {
    const size = read.sizeBytes();
    if (!sink || size === 0 || isPaused || isDestroyed) return;
    const bytes = read.copy(0, size);
    read.drop(size);
    const isLarge = size >= LARGE_READ_BYTES;
    if (isLarge || partCount > MAX_PARTS_AT_ONCE) letOthersRead();
    partCount = 0;
    sink.chunk(bytes);
  }

  /** Whether the connection still belongs to this answer. */
  const isReading = () => !answer.complete && !isDestroyed;

  function letOthersRead(): void {
    if (!isReading()) return;
    socket.pause();
    setImmediate(() => {
      if (!isPaused && isReading()) socket.resume();
    });
  }

  /** A paused body keeps its end, but not the news that it broke off. */
  function deliver(): void {
    flush();
    if (!sink || !ending || isDelivered || isDestroyed) return;
    if (isPaused && ending.kind === 'whole') return;
    isDelivered = true;
    onEnd();
    if (ending.kind === 'whole') sink.end();
    else sink.broken(ending.detail);
  }

  function add(bytes: Buffer): void {
    // Runs after the ticks in which Node's stream asks for the next read.
    if (read.sizeBytes() === 0) queueMicrotask(flush);
    read.push(bytes);
    partCount++;
  }

  /**
   * Stops the parser, too, which would hold one more read, as an object for
   * each chunk in it. The connection of a complete answer is another call's.
   */
  function pause(): void {
    if (isPaused) return;
    isPaused = true;
    if (answer.complete) return;
    answer.pause();
    socket.pause();
  }

  function resume(): void {
    if (!isPaused) return;
    isPaused = false;
    if (!answer.complete) socket.resume();
    answer.resume();
    queueMicrotask(deliver);
  }

  function end(given: Ending): void {
    if (ending || isDestroyed) return;
    ending = given;
    upload?.release();
    if (given.kind === 'broken') onEnd();
    deliver();
  }
  const fail = (detail: string) => end({kind: 'broken', detail});
  answer.on('end', () => {
    // Node also emits `end` when the connection is lost.
    const isWhole = answer.complete && !(isUnframed && hasFailed());
    if (!isWhole) fail('the answer ended early');
    else if (upload) void confirm(upload);
    else end({kind: 'whole'});
  });
  answer.on('error', error => fail(error.message));
  answer.on('close', () => {
    if (!isConfirming) fail('the connection closed');
  });

  async function confirm(answered: UploadAnswer): Promise<void> {
    isConfirming = true;
    const fault = await answered.findFault();
    answered.release();
    if (fault) fail(fault);
    else end({kind: 'whole'});
  }
  return {
    body: {
      isUnframed,
      read(given) {
        sink = given;
        if (ending) deliver();
        else answer.on('data', add);
      },
      pause,
      resume,
      destroy() {
        isDestroyed = true;
        upload?.release();
        onEnd();
        answer.destroy();
      },
    },
    breakOff(detail) {
      if (ending?.kind === 'whole') ending = undefined;
      fail(detail);
      answer.destroy();
    },
  };
}
