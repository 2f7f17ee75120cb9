/** HTTP front of the stand-in engine; docs/PROTOCOLS.md tells what it speaks. */

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
  createHttpFront,
  type FrontHandler,
  type FrontStream,
  type HttpFront,
} from './http_front.js';

/** Over HTTP the caller's own timeout decides. */
const CALL_TIMEOUT_MS = Number.POSITIVE_INFINITY;
const HEARTBEAT_MS = 1_000;

/** One line of the stream is an array of these. */
type StreamItem =
  | readonly [streamId: number, offset: number, ...texts: string[]]
  | readonly [streamId: number, kind: 'end', count: number, reason: string]
  | readonly [streamId: number, kind: 'cut', failure: unknown];

/** The stream of all decodes that one entry runs here. */
interface EntryStream {
  push(item: StreamItem): void;
}

interface DecodeBody extends DecodeCall {
  /** Which stream brings the answer, and its number there. */
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
 * All that one engine step brings for an entry goes out in one write: the
 * step is one synchronous run, and the flush waits for its end.
 */
function createEntryStream(stream: FrontStream, gate: FaultGate): EntryStream {
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
): Promise<HttpFront> {
  const streams = new Map<string, EntryStream>();

  const answer =
    <T>(call: (body: T) => Promise<unknown>): FrontHandler =>
    async request => ({
      status: 200,
      body: await call(request.json() as T),
    });

  const openStream: FrontHandler = async (request, open) => {
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

  const front: HttpFront = await createHttpFront({
    address,
    routes: {
      'POST /prefill': answer<PrefillCall>(call =>
        core.prefill({...call, timeoutMs: CALL_TIMEOUT_MS}),
      ),
      'POST /import': answer<ImportCall>(call => core.importKv(call)),
      'POST /export': answer<{kvHandle: string; timeoutMs: number}>(call =>
        core.exportKv(call.kvHandle, call.timeoutMs),
      ),
      'POST /decode': answer<DecodeBody>(startDecode),
      'GET /stream': openStream,
      'POST /cancel': answer<OwnerTag>(owner =>
        core.cancel(owner, CALL_TIMEOUT_MS),
      ),
      'GET /sessions': answer(() => core.sessions(CALL_TIMEOUT_MS)),
      'GET /load': answer(() => core.load(CALL_TIMEOUT_MS)),
      'GET /cache-events': async request => ({
        status: 200,
        body: await core.cacheEvents(
          Number(request.query.get('after') ?? 0),
          CALL_TIMEOUT_MS,
        ),
      }),
      'POST /order': answer<EngineOrder>(order =>
        core.order(order, CALL_TIMEOUT_MS),
      ),
      'GET /alive': answer(() => core.probe(CALL_TIMEOUT_MS)),
      'GET /books': async () => ({status: 200, body: core.books()}),
      'PUT /faults': createFaultHandler(core, () => front),
    },
  });
  core.gate.onBreak(what => {
    if (what === 'crash') void front.close();
  });
  return front;
}
