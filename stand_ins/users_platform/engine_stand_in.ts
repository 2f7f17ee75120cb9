/**
 * Stand-in for an engine or a plain service of the users' platform, over real
 * sockets. It keeps a list of what it ran, so that tests see what a caller
 * cannot: what ran twice, and what ran for a caller that had left.
 */

import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {resetSocket} from '../reset_socket.js';

/** What the upstream does with the next requests. */
export type EngineBehaviour =
  | 'answer'
  /** Its own failure, signed. */
  | 'fail'
  /** Refuses truthfully. */
  | 'full'
  /** Runs the request and resets the connection. */
  | 'lose-answer'
  /** Answers with the id of another request. */
  | 'wrong-id'
  /** Answers without its signature. */
  | 'unsigned'
  /** Never answers. */
  | 'hang';

export interface EngineRun {
  readonly requestId: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly stage: 'whole' | 'prefill' | 'decode';
  /** When it began, on the steady clock of this process. */
  readonly startedAtMs: number;
  /** The caller's connection closed before the end. */
  wasLeft: boolean;
  /** When it was left, on the same clock. */
  leftAtMs?: number;
}

/** A request that reached it, on the steady clock of this process. */
export interface EngineArrival {
  readonly requestId: string;
  readonly atMs: number;
}

export interface EngineOptions {
  readonly id: string;
  readonly service: string;
  readonly role?: 'prefill' | 'decode';
  readonly eventCount?: number;
  readonly eventEveryMs?: number;
}

export interface EngineStandIn {
  readonly id: string;
  readonly address: string;
  /** The value of its row in the store. */
  row(state?: 'ready' | 'draining'): object;
  readonly runs: EngineRun[];
  /** Each request for it, those that it refused among them. */
  readonly arrivals: readonly EngineArrival[];
  /** Requests that it refused. */
  refusalCount(): number;
  /** Prefill results that it keeps; those that a decode engine took, too. */
  heldResults(): number;
  /** Orders that it took, in order. */
  readonly orders: ReadonlyArray<{
    readonly stage: string;
    readonly fence: number;
  }>;
  setBehaviour(behaviour: EngineBehaviour): void;
  /** Names the limit in all answers; undefined: in none. */
  setLimit(perS: number | undefined): void;
  /** Says in all answers that it leaves. */
  setLeaving(): void;
  /** Asks for so much rest in each refusal for lack of room. */
  setRest(seconds: number | undefined): void;
  /** After this many events of a stream the engine crashes. */
  crashAfterEvents(count: number): void;
  /** After this many events a stream says nothing more, and stays open. */
  stallAfterEvents(count: number): void;
  crash(): void;
  close(): void;
}

const HANDLE_PATH = '/corianderbend/kv-handle/';
const SIGNATURE = 'X-Engine-Stamp';

export async function createEngineStandIn(
  options: EngineOptions,
): Promise<EngineStandIn> {
  const {id, service, eventCount = 5, eventEveryMs = 10} = options;
  const runs: EngineRun[] = [];
  const arrivals: EngineArrival[] = [];
  const orders: Array<{stage: string; fence: number}> = [];
  const sockets = new Set<Socket>();
  const handles = new Set<string>();
  let role = options.role;
  let behaviour: EngineBehaviour = 'answer';
  let crashAfter = Number.POSITIVE_INFINITY;
  let stallAfter = Number.POSITIVE_INFINITY;
  let highestFence = 0;
  let heartbeat = 0;
  let refusals = 0;
  let limitPerS: number | undefined;
  let isLeaving = false;
  let restSeconds: number | undefined;

  function crash(): void {
    server.close();
    for (const socket of sockets) resetSocket(socket);
  }

  function note(
    message: http.IncomingMessage,
    body: string,
    stage: EngineRun['stage'],
  ): EngineRun {
    const run: EngineRun = {
      requestId: String(message.headers['x-request-id']),
      headers: message.headers,
      method: message.method ?? '',
      target: message.url ?? '',
      body,
      stage,
      startedAtMs: performance.now(),
      wasLeft: false,
    };
    runs.push(run);
    return run;
  }

  function noteLeft(run: EngineRun): void {
    run.wasLeft = true;
    run.leftAtMs ??= performance.now();
  }

  /** What it says of itself in every answer. */
  function signals(): Record<string, string> {
    return {
      ...(limitPerS === undefined ? {} : {'Server-Limit': String(limitPerS)}),
      ...(isLeaving ? {'Server-Leaving': '1'} : {}),
    };
  }

  function headersFor(run: EngineRun): Record<string, string> {
    const requestId = behaviour === 'wrong-id' ? 'another' : run.requestId;
    return {
      ...signals(),
      'X-Request-Id': requestId,
      ...(behaviour === 'unsigned' ? {} : {[SIGNATURE]: `signed-by-${id}`}),
    };
  }

  function refuse(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    status: number,
  ): void {
    refusals++;
    const isResting = status === 503 && restSeconds !== undefined;
    response.writeHead(status, {
      ...signals(),
      ...(isResting ? {'Retry-After': String(restSeconds)} : {}),
      'X-Request-Id': String(message.headers['x-request-id']),
      'X-Not-Run': '1',
      'X-Instance-Id': id,
    });
    response.end();
  }

  function stream(run: EngineRun, response: http.ServerResponse): void {
    response.writeHead(200, {
      ...headersFor(run),
      'Content-Type': 'text/event-stream',
    });
    let next = Number(run.headers['last-event-id'] ?? '0') + 1;
    let made = 0;
    const timer = setInterval(() => {
      if (made >= stallAfter) {
        clearInterval(timer);
        return;
      }
      if (made >= crashAfter) {
        clearInterval(timer);
        response.write(`id: ${next}\ndata: to`, crash);
        return;
      }
      response.write(`id: ${next}\ndata: token-${next}\n\n`);
      made++;
      // A caller may resume after the last event, with nothing left to send.
      if (next >= eventCount) {
        clearInterval(timer);
        response.end();
      }
      next++;
    }, eventEveryMs);
    response.on('close', () => {
      clearInterval(timer);
      if (!response.writableFinished) noteLeft(run);
    });
  }

  function runRequest(
    message: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
  ): void {
    const requestId = String(message.headers['x-request-id']);
    arrivals.push({requestId, atMs: performance.now()});
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      return refuse(message, response, 421);
    }
    if (behaviour === 'full') return refuse(message, response, 503);
    const source = message.headers['x-kv-source'];
    if (message.headers['x-stage'] === 'prefill') {
      const run = note(message, body, 'prefill');
      const handle = `h${runs.length}`;
      handles.add(handle);
      response.writeHead(200, headersFor(run));
      response.end(JSON.stringify({kv_handle: handle, tokens: 1, version: 1}));
      return;
    }
    const run = note(message, body, source ? 'decode' : 'whole');
    response.on('close', () => {
      if (!response.writableFinished) noteLeft(run);
    });
    switch (behaviour) {
      case 'hang':
        return;
      case 'lose-answer':
        resetSocket(message.socket);
        return;
      case 'fail':
        response.writeHead(500, headersFor(run));
        response.end('own failure');
        return;
      default:
        if (role) return stream(run, response);
        response.writeHead(200, headersFor(run));
        response.end(`answer of ${id}`);
    }
  }

  function takeOrder(body: string, response: http.ServerResponse): void {
    const order = JSON.parse(body) as {
      stage: 'prefill' | 'decode';
      fence: number;
      expect_rev?: number;
    };
    const isFenced = order.fence < highestFence;
    const isStale =
      order.expect_rev !== undefined && order.expect_rev !== orders.length;
    if (isFenced || isStale) {
      response.writeHead(isFenced ? 412 : 409);
      response.end();
      return;
    }
    highestFence = order.fence;
    orders.push({stage: order.stage, fence: order.fence});
    role = order.stage;
    response.writeHead(202);
    response.end();
  }

  const server = http.createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (bytes: Buffer) => chunks.push(bytes));
    message.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      const handle = message.url?.split(HANDLE_PATH)[1];
      if (handle !== undefined) {
        response.writeHead(handles.delete(handle) ? 200 : 404);
        response.end();
      } else if (message.url === '/corianderbend/report') {
        response.writeHead(200, {'Content-Type': 'application/json'});
        response.end(
          JSON.stringify({stage: role, busy: false, seq: orders.length}),
        );
      } else if (message.url === '/corianderbend/order') {
        takeOrder(body, response);
      } else {
        runRequest(message, body, response);
      }
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;

  return {
    id,
    address,
    runs,
    arrivals,
    orders,
    refusalCount: () => refusals,
    heldResults: () => handles.size,
    row: (state = 'ready') => ({
      service,
      address,
      zone: 'ylikool-saal',
      slots: 8,
      state,
      stage: role,
      seq: ++heartbeat,
    }),
    setBehaviour(next) {
      behaviour = next;
    },
    setLimit(perS) {
      limitPerS = perS;
    },
    setLeaving() {
      isLeaving = true;
    },
    setRest(seconds) {
      restSeconds = seconds;
    },
    crashAfterEvents(count) {
      crashAfter = count;
    },
    stallAfterEvents(count) {
      stallAfter = count;
    },
    crash,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
