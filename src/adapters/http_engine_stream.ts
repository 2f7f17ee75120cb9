/**
 * The long-lived stream on which an engine sends the tokens of all decodes of
 * this process, one line per engine step.
 *
 * Engines send a heartbeat each second. A stream without a line for
 * `silenceMs`, whose engine answers on a new connection, is therefore considered
 * dead even if its socket is open: its decodes are cut, and the next decode
 * opens a new stream. An engine that answers nothing may go on, so its stream
 * stays open; whoever reads a decode may cancel it.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {
  DecodeCall,
  DecodeEvent,
  DecodeHandle,
  EngineFailure,
} from '../ports/engine.js';
import type {Random} from '../ports/random.js';
import {CheckedClient} from './checked_client.js';
import {isConnectError} from './http_caller.js';
import {engineFailureSchema} from './http_engine_schema.js';

export interface EngineStreamHost {
  readonly clock: Clock;
  readonly random: Random;
  /** Starts a decode; `'no-stream'` if the engine doesn't have the stream. */
  startDecode(
    call: DecodeCall,
    stream: string,
    streamId: number,
  ): Promise<'started' | 'no-stream' | EngineFailure>;
  /** Whether the engine answers on a new connection. */
  isAlive(): Promise<boolean>;
  /** Releases the resources that the engine holds for the decode. */
  release(call: DecodeCall): void;
}

export interface EngineStreamOptions {
  /** `http://ip:port`. */
  readonly origin: string;
  readonly silenceMs: number;
  readonly connectTimeoutMs: number;
  /** An unused stream is closed after this long. */
  readonly idleMs: number;
}

export interface EngineStream {
  decode(call: DecodeCall, sink: (event: DecodeEvent) => void): DecodeHandle;
  close(): void;
}

interface RunningDecode {
  readonly call: DecodeCall;
  readonly sink: (event: DecodeEvent) => void;
}

/** One connection of the stream, with a name of its own. */
interface Connection {
  readonly name: string;
  readonly client: CheckedClient;
  readonly running: Map<number, RunningDecode>;
  /** Resolves to undefined once open, or to the reason of the failure. */
  readonly opened: Promise<EngineFailure | undefined>;
  heardAtMs: number;
  remainder: Buffer | undefined;
  watch: TimerHandle | undefined;
  idleTimer: TimerHandle | undefined;
  isClosed: boolean;
}

const NEWLINE = 0x0a;
const MAX_LINE_BYTES = 4 * 1024 * 1024;
const CHECKS_PER_SILENCE = 4;
/** Lines of an engine that answers again arrive within this time. */
const LINE_GRACE_MS = 500;

function failed(
  reason: EngineFailure['reason'],
  detail: string,
): EngineFailure {
  return {kind: 'failed', reason, detail};
}

/** Converts an item of a line to an event; undefined if it is malformed. */
function toEvent(item: unknown, call: DecodeCall): DecodeEvent | undefined {
  const [, second, third, fourth] = item as readonly unknown[];
  const {requestId, attemptId} = call.owner;
  if (typeof second === 'number') {
    const texts = (item as readonly unknown[]).slice(2);
    if (!texts.every(text => typeof text === 'string')) return undefined;
    return {kind: 'tokens', requestId, attemptId, offset: second, texts};
  }
  if (second === 'end' && typeof third === 'number') {
    const finishReason = fourth === 'length' ? 'length' : 'stop';
    return {kind: 'end', requestId, attemptId, tokenCount: third, finishReason};
  }
  const failure = engineFailureSchema.safeParse(third);
  if (second !== 'cut' || !failure.success) return undefined;
  return {kind: 'cut', requestId, attemptId, failure: failure.data};
}

export function createEngineStream(
  host: EngineStreamHost,
  options: EngineStreamOptions,
): EngineStream {
  const {clock} = host;
  let connection: Connection | undefined;
  let nextStreamId = 1;

  function closeConnection(closed: Connection, reason: EngineFailure): void {
    if (closed.isClosed) return;
    closed.isClosed = true;
    if (connection === closed) connection = undefined;
    if (closed.watch) clock.clearTimer(closed.watch);
    if (closed.idleTimer) clock.clearTimer(closed.idleTimer);
    closed.client.destroy().catch(() => undefined);
    const cut = [...closed.running.values()];
    closed.running.clear();
    for (const {call, sink} of cut) {
      const {requestId, attemptId} = call.owner;
      sink({kind: 'cut', requestId, attemptId, failure: reason});
    }
  }

  function watchSilence(watched: Connection): void {
    const silentMs = clock.nowMs() - watched.heardAtMs;
    const delayMs = Math.max(
      options.silenceMs - silentMs,
      options.silenceMs / CHECKS_PER_SILENCE,
    );
    watched.watch = clock.setTimer(delayMs, () => void checkSilence(watched));
  }

  async function checkSilence(watched: Connection): Promise<void> {
    const {heardAtMs} = watched;
    const isSilent = clock.nowMs() - heardAtMs >= options.silenceMs;
    const isAlive = isSilent && (await host.isAlive());
    if (watched.isClosed) return;
    if (!isAlive) return watchSilence(watched);
    watched.watch = clock.setTimer(LINE_GRACE_MS, () => {
      if (watched.heardAtMs > heardAtMs) return watchSilence(watched);
      closeConnection(watched, failed('broken', 'the stream went silent'));
    });
  }

  function closeWhenIdle(idle: Connection): void {
    if (idle.running.size > 0) return;
    if (idle.idleTimer) clock.clearTimer(idle.idleTimer);
    idle.idleTimer = clock.setTimer(options.idleMs, () => {
      if (idle.running.size > 0) return;
      closeConnection(idle, failed('cancelled', 'the stream is not used'));
    });
  }

  function handleItem(from: Connection, item: unknown): void {
    const streamId = Array.isArray(item) ? item[0] : undefined;
    const running = from.running.get(streamId);
    // Drops late or misdirected frames, which belong to no running decode.
    if (!running) return;
    const event = toEvent(item, running.call);
    if (!event) {
      closeConnection(from, failed('broken', 'malformed frame'));
      return;
    }
    if (event.kind !== 'tokens') {
      from.running.delete(streamId);
      closeWhenIdle(from);
    }
    running.sink(event);
  }

  function handleLine(from: Connection, line: string): void {
    if (line.length <= 2) return;
    let items: unknown;
    try {
      items = JSON.parse(line);
    } catch {
      items = undefined;
    }
    if (!Array.isArray(items)) {
      closeConnection(from, failed('broken', 'malformed line'));
      return;
    }
    for (const item of items) handleItem(from, item);
  }

  function handleBytes(from: Connection, chunk: Buffer): void {
    from.heardAtMs = clock.nowMs();
    const bytes = from.remainder
      ? Buffer.concat([from.remainder, chunk])
      : chunk;
    const end = bytes.lastIndexOf(NEWLINE) + 1;
    from.remainder = end < bytes.length ? bytes.subarray(end) : undefined;
    if ((from.remainder?.length ?? 0) > MAX_LINE_BYTES) {
      closeConnection(from, failed('broken', 'the line is too long'));
      return;
    }
    const lines = bytes.toString('utf8', 0, end).split('\n');
    for (const line of lines) handleLine(from, line);
  }

  async function open(getConnection: () => Connection): Promise<undefined> {
    const {client, name} = getConnection();
    const response = await client.request({
      method: 'GET',
      path: `/stream?name=${name}`,
      headersTimeout: options.connectTimeoutMs,
      bodyTimeout: 0,
    });
    response.body.on('data', chunk =>
      handleBytes(getConnection(), chunk as Buffer),
    );
    response.body.on('error', () => undefined);
    response.body.on('close', () =>
      closeConnection(getConnection(), failed('broken', 'the stream ended')),
    );
    return undefined;
  }

  function connect(): Connection {
    const client = new CheckedClient(host, options.origin, {
      connectTimeout: options.connectTimeoutMs,
    });
    const created: Connection = {
      name: host.random.nextId(),
      client,
      running: new Map(),
      opened: Promise.resolve()
        .then(() => open(() => created))
        .catch((error: unknown) => {
          const reason = isConnectError(error) ? 'unreachable' : 'broken';
          const failure = failed(reason, 'the stream did not open');
          closeConnection(created, failure);
          return failure;
        }),
      heardAtMs: clock.nowMs(),
      remainder: undefined,
      watch: undefined,
      idleTimer: undefined,
      isClosed: false,
    };
    watchSilence(created);
    return created;
  }

  /** Starts a decode; tries again if the engine doesn't have the stream. */
  async function start(
    running: RunningDecode,
    streamId: number,
    triesLeft: number,
  ): Promise<void> {
    connection ??= connect();
    const used = connection;
    used.running.set(streamId, running);
    await used.opened;
    if (!used.running.has(streamId)) return;
    const {call} = running;
    const outcome = await host.startDecode(call, used.name, streamId);
    if (outcome === 'started' || !used.running.has(streamId)) return;
    used.running.delete(streamId);
    if (outcome === 'no-stream' && triesLeft > 0) {
      closeConnection(used, failed('broken', 'the engine forgot the stream'));
      await start(running, streamId, triesLeft - 1);
      return;
    }
    // The engine may have started the decode although the call failed.
    if (outcome !== 'no-stream') host.release(call);
    const failure =
      outcome === 'no-stream' ? failed('broken', 'no stream') : outcome;
    const {requestId, attemptId} = call.owner;
    running.sink({kind: 'cut', requestId, attemptId, failure});
  }

  return {
    decode(call, sink) {
      const streamId = nextStreamId++;
      let isOver = false;
      const running: RunningDecode = {
        call,
        sink(event) {
          if (isOver) return;
          isOver = event.kind !== 'tokens';
          sink(event);
        },
      };
      void start(running, streamId, 1);
      return {
        cancel() {
          if (isOver) return;
          connection?.running.delete(streamId);
          host.release(call);
          const {requestId, attemptId} = call.owner;
          const failure = failed('cancelled', 'cancelled by its reader');
          running.sink({kind: 'cut', requestId, attemptId, failure});
        },
      };
    },
    close() {
      if (!connection) return;
      closeConnection(connection, failed('cancelled', 'the process ends'));
    },
  };
}
