/**
 * The requests of one connection, which a caller may send without waiting for
 * answers (HTTP pipelining). Answers are sent in the order of the requests, so
 * a request runs only if the answers ahead of it are sure to be whole: an
 * answer that is cut closes the connection, and those behind it are lost.
 */

import type {Socket} from 'node:net';

/**
 * Whether the bytes of an answer are all there before the first is sent, or it
 * may be cut after its head.
 */
export type AnswerShape = 'whole' | 'in-parts';

export interface PipelinedRequest {
  /** Called once, in the order of the requests. */
  start(place: PipelinePlace): void;
  /** The connection closed before the answer was sent. */
  onDisconnect(): void;
}

/** A request's place among those of its connection. */
export interface PipelinePlace {
  /** Whether no other request of the connection is open. */
  isOnly(): boolean;
  /** Whether the caller sends requests ahead of answers. */
  isPipelined(): boolean;
  /** Says how the request is answered, as soon as that is known. */
  noteShape(shape: AnswerShape): void;
  /** The answer is whole, and holds so many bytes until it is sent. */
  noteAnswered(heldBytes: number): void;
  /** The answer has been sent. */
  close(): void;
}

export interface Pipeline {
  add(request: PipelinedRequest): void;
  /** Whether a request is open. */
  isOpen(): boolean;
  /** Whether the connection isn't read, as too many requests wait. */
  isPaused(): boolean;
  /** Reads nothing more; the connection closes once all open are answered. */
  stop(): void;
  isStopped(): boolean;
}

export interface PipelineOptions {
  /** Requests of one connection that run. */
  readonly maxRunning: number;
  /** Those that run and those whose answers wait to be sent. */
  readonly maxStarted: number;
  /** No more are run while waiting answers hold so many bytes. */
  readonly maxHeldBytes: number;
  /**
   * The connection isn't read while this many requests wait. What has been read
   * with them is still added.
   */
  readonly maxWaiting: number;
}

export const PIPELINE_OPTIONS: PipelineOptions = {
  maxRunning: 8,
  maxStarted: 256,
  maxHeldBytes: 1024 * 1024,
  maxWaiting: 256,
};

interface Entry {
  heldBytes: number;
  readonly request: PipelinedRequest;
  readonly place: PipelinePlace;
}

export function createPipeline(
  socket: Pick<
    Socket,
    'on' | 'once' | 'pause' | 'resume' | 'destroyed' | 'destroySoon'
  >,
  options: PipelineOptions = PIPELINE_OPTIONS,
): Pipeline {
  /** All requests without a sent answer, in their order. */
  const open = new Set<Entry>();
  const waiting = new Set<Entry>();
  /** Those that have started and hold back the ones behind them. */
  const blocking = new Set<Entry>();
  const running = new Set<Entry>();
  let heldBytes = 0;
  let hasSentAhead = false;
  let isStarting = false;
  let isPaused = false;
  let isStopped = false;

  const mayStart = () =>
    !socket.destroyed &&
    blocking.size === 0 &&
    running.size < options.maxRunning &&
    open.size - waiting.size < options.maxStarted &&
    heldBytes < options.maxHeldBytes;

  function startWaiting(): void {
    if (isStarting) return;
    isStarting = true;
    for (const entry of waiting) {
      if (!mayStart()) break;
      waiting.delete(entry);
      blocking.add(entry);
      running.add(entry);
      entry.request.start(entry.place);
    }
    isStarting = false;
    setPaused(isStopped || waiting.size >= options.maxWaiting);
  }

  function setPaused(paused: boolean): void {
    if (paused === isPaused) return;
    isPaused = paused;
    if (paused) socket.pause();
    else socket.resume();
  }

  // Reading the body of a message resumes its socket.
  socket.on('resume', () => {
    if (isPaused) socket.pause();
  });
  socket.once('close', () => {
    for (const {request} of open) request.onDisconnect();
    for (const each of [open, waiting, blocking, running]) each.clear();
  });

  function hold(entry: Entry, bytes: number): void {
    heldBytes += bytes - entry.heldBytes;
    entry.heldBytes = bytes;
  }

  function createEntry(request: PipelinedRequest): Entry {
    const place: PipelinePlace = {
      isOnly: () => open.size === 1 && open.has(entry),
      isPipelined: () => hasSentAhead,
      noteShape(shape) {
        if (!open.has(entry)) return;
        if (shape === 'in-parts') blocking.add(entry);
        else if (blocking.delete(entry)) startWaiting();
      },
      noteAnswered(bytes) {
        if (!open.has(entry)) return;
        hold(entry, bytes);
        if (running.delete(entry)) startWaiting();
      },
      close() {
        hold(entry, 0);
        for (const each of [open, blocking, running]) each.delete(entry);
        startWaiting();
        if (isStopped && open.size === 0) socket.destroySoon();
      },
    };
    const entry: Entry = {request, place, heldBytes: 0};
    return entry;
  }

  return {
    add(request) {
      const entry = createEntry(request);
      if (open.size > 0) hasSentAhead = true;
      open.add(entry);
      waiting.add(entry);
      startWaiting();
    },
    isOpen: () => open.size > 0,
    isPaused: () => isPaused,
    stop() {
      isStopped = true;
      setPaused(true);
    },
    isStopped: () => isStopped,
  };
}
