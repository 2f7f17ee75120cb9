/** HTTP server of the stand-in engine. The protocol is in docs/PROTOCOLS.md. */

import type {
  DecodeCall,
  DecodeEvent,
  EngineOrder,
  ImportCall,
  OwnerTag,
  PrefillCall,
} from '../src/ports/engine.js';
import type {EngineCore} from './engine_core.js';
import type {FaultGate} from './fault_gate.js';
import {createFaultHandler} from './fault_routes.js';
import {
  createStandInServer,
  type RouteHandler,
  type ServerStream,
  type StandInServer,
} from './stand_in_server.js';

/** Calls over HTTP are bounded by the caller's own timeout. */
const CALL_TIMEOUT_MS = Number.POSITIVE_INFINITY;
const HEARTBEAT_MS = 1_000;

/** Each line of the stream is an array of these. */
type StreamItem =
  | readonly [streamId: number, offset: number, ...texts: string[]]
  | readonly [streamId: number, kind: 'end', count: number, reason: string]
  | readonly [streamId: number, kind: 'cut', failure: unknown];

/** The stream that carries all decodes of one router host. */
interface EntryStream {
  push(item: StreamItem): void;
}

interface DecodeBody extends DecodeCall {
  /**
   * Name of the stream that carries the answer; `streamId` identifies the
   * answer within it.
   */
  readonly stream: string;
  readonly streamId: number;
}

function toItem(streamId: number, event: DecodeEvent): StreamItem {
  switch (event.kind) {
    case 'tokens':
      return [streamId, event.offset, ...event.texts];
    case 'end':
      return [streamId, 'end', event.tokenCount, event.finishReason];
    case 'cut':
      return [streamId, 'cut', event.failure];
  }
}

/**
 * Writes all events of an engine step for one router host at once: a step runs
 * synchronously, and the flush is a microtask that runs after it.
 */
function createEntryStream(stream: ServerStream, gate: FaultGate): EntryStream {
  let items: StreamItem[] = [];
  const heartbeat = setInterval(() => {
    if (!gate.isFrozen()) stream.write('[]\n');
  }, HEARTBEAT_MS);
  stream.onClose(() => clearInterval(heartbeat));
  stream.write('[]\n');

  function flush(): void {
    const line = JSON.stringify(items);
    items = [];
    stream.write(`${line}\n`);
  }
  return {
    push(item) {
      if (items.length === 0) queueMicrotask(flush);
      items.push(item);
    },
  };
}

export async function createEngineServer(
  core: EngineCore,
  address: string,
): Promise<StandInServer> {
  const streams = new Map<string, EntryStream>();

  const handleJson =
    <T>(call: (body: T) => Promise<unknown>): RouteHandler =>
    async request => ({
      status: 200,
      body: await call(request.json() as T),
    });

  const openStream: RouteHandler = async (request, open) => {
    const name = request.query.get('name') ?? '';
    const stream = open();
    const entryStream = createEntryStream(stream, core.gate);
    streams.set(name, entryStream);
    stream.onClose(() => {
      if (streams.get(name) === entryStream) streams.delete(name);
    });
    return 'streaming';
  };

  async function startDecode(body: DecodeBody): Promise<unknown> {
    const stream = streams.get(body.stream);
    if (!stream) return {isStarted: false};
    core.decode(body, event => stream.push(toItem(body.streamId, event)));
    return {isStarted: true};
  }

  const server: StandInServer = await createStandInServer({
    address,
    routes: {
      'POST /prefill': handleJson<PrefillCall>(call =>
        core.prefill({...call, timeoutMs: CALL_TIMEOUT_MS}),
      ),
      'POST /import': handleJson<ImportCall>(call => core.importKv(call)),
      'POST /export': handleJson<{kvHandle: string; timeoutMs: number}>(call =>
        core.exportKv(call.kvHandle, call.timeoutMs),
      ),
      'POST /decode': handleJson<DecodeBody>(startDecode),
      'GET /stream': openStream,
      'POST /cancel': handleJson<OwnerTag>(owner =>
        core.cancel(owner, CALL_TIMEOUT_MS),
      ),
      'GET /sessions': handleJson(() => core.sessions(CALL_TIMEOUT_MS)),
      'GET /load': handleJson(() => core.load(CALL_TIMEOUT_MS)),
      'GET /cache-events': async request => ({
        status: 200,
        body: await core.cacheEvents(
          Number(request.query.get('after') ?? 0),
          CALL_TIMEOUT_MS,
        ),
      }),
      'POST /order': handleJson<EngineOrder>(order =>
        core.order(order, CALL_TIMEOUT_MS),
      ),
      'GET /alive': handleJson(() => core.probe(CALL_TIMEOUT_MS)),
      'GET /books': async () => ({status: 200, body: core.stats()}),
      'PUT /faults': createFaultHandler(core, () => server),
    },
  });
  core.gate.onBreak(what => {
    if (what === 'crash') void server.close();
  });
  return server;
}
