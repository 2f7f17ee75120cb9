/**
 * Stand-in for an engine or a plain service of the users' platform, over real
 * sockets. It records its runs, so that tests see what no caller can: requests
 * that ran twice, and runs whose caller had disconnected.
 */

import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {resetSocket} from '../reset_socket.js';
import {createEngineOrders} from './engine_orders.js';
import {createPauseGate} from './pause_gate.js';
import {createRunProgress} from './run_progress.js';
import type {
  CrashedPort,
  EngineArrival,
  EngineBehaviour,
  EngineOptions,
  EngineRun,
  EngineStandIn,
  StreamBreak,
} from './engine_stand_in_types.js';

function formatEvent(id: number, version?: string, bytes = 0): string {
  const suffix = version === undefined ? '' : ` ${version}`;
  return `id: ${id}\ndata: token-${id}${suffix}${' '.repeat(bytes)}\n\n`;
}

const HANDLE_PATH = '/corianderbend/kv-handle/';
const SIGNATURE = 'X-Engine-Stamp';

/** Returns the ids of a list `ID:TOKENS,ID:TOKENS,...`. */
function readPartIds(headers: http.IncomingHttpHeaders): readonly string[] {
  const list = headers['x-prompt-prefix'];
  if (typeof list !== 'string') return [];
  return list.split(',').map(part => part.split(':')[0].trim());
}

export async function createEngineStandIn(
  options: EngineOptions,
): Promise<EngineStandIn> {
  const {service, eventCount = 5, eventEveryMs = 10} = options;
  const nextIntervalMs = () =>
    typeof eventEveryMs === 'number' ? eventEveryMs : eventEveryMs();
  let {id, version} = options;
  let crashedPort: CrashedPort | undefined;
  const runs: EngineRun[] = [];
  const arrivals: EngineArrival[] = [];
  const sockets = new Set<Socket>();
  const openRuns = new Set<EngineRun>();
  const handles = new Set<string>();
  let role = options.role;
  const orders = createEngineOrders(stage => (role = stage));
  let behaviour: EngineBehaviour = 'answer';
  let crashAfter = Number.POSITIVE_INFINITY;
  let stallAfter = Number.POSITIVE_INFINITY;
  let heartbeatCount = 0;
  let refusals = 0;
  let limitPerS: number | undefined;
  let isLeaving = false;
  let retryAfterSeconds: number | undefined;
  let isUnframed = false;
  let breakOff: StreamBreak | undefined;
  const gate = createPauseGate();
  const progress = createRunProgress(options.preemption);
  /** Open connections on which nothing is sent any more. */
  const silenced = new WeakSet<Socket>();

  function crash(port: CrashedPort = 'closed'): void {
    crashedPort = port;
    for (const run of openRuns) markBrokenOff(run);
    if (port === 'silent') return;
    if (port === 'closed') server.close();
    for (const socket of sockets) resetSocket(socket);
  }

  function markBrokenOff(run: EngineRun): void {
    run.brokenOffAtMs ??= performance.now();
  }

  function fail(run: EngineRun, response: http.ServerResponse): void {
    response.writeHead(500, headersFor(run));
    response.end('own failure');
  }

  /** Returns whether the run ended without a success. */
  function crashOn(run: EngineRun, response: http.ServerResponse): boolean {
    const how = options.crashOf?.(run);
    if (!how) return false;
    if (how === 'fail') {
      fail(run, response);
      return true;
    }
    const end = () => {
      crash(how.port);
      options.onCrash?.(standIn);
    };
    if (how.answersFirst) {
      response.writeHead(200, {...headersFor(run), 'Content-Length': '1000'});
      response.write('id: 1\ndata: to', end);
    } else {
      end();
    }
    return true;
  }

  function recordRun(
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
      parts: readPartIds(message.headers),
      stage,
      startedAtMs: performance.now(),
      wasDisconnected: false,
    };
    runs.push(run);
    return run;
  }

  function markDisconnected(run: EngineRun): void {
    gate.run(() => {
      run.wasDisconnected = true;
      run.disconnectedAtMs ??= performance.now();
    });
  }

  const isSilenced = ({socket}: http.ServerResponse) =>
    socket !== null && silenced.has(socket);

  /**
   * Headers sent with every answer: the rate limit, and whether it is leaving.
   */
  function statusHeaders(): Record<string, string> {
    return {
      ...(limitPerS === undefined ? {} : {'Server-Limit': String(limitPerS)}),
      ...(isLeaving ? {'Server-Leaving': '1'} : {}),
    };
  }

  function headersFor(run: EngineRun): Record<string, string> {
    const requestId = behaviour === 'wrong-id' ? 'another' : run.requestId;
    return {
      ...statusHeaders(),
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
    const hasRetryAfter = status === 503 && retryAfterSeconds !== undefined;
    response.writeHead(status, {
      ...statusHeaders(),
      ...(hasRetryAfter ? {'Retry-After': String(retryAfterSeconds)} : {}),
      'X-Request-Id': String(message.headers['x-request-id']),
      'X-Not-Run': '1',
      'X-Instance-Id': id,
    });
    response.end();
  }

  /** Makes the answer end with its connection if answers are unframed. */
  function frame(response: http.ServerResponse): void {
    if (isUnframed) response.removeHeader('Transfer-Encoding');
  }

  function breakStream(
    response: http.ServerResponse,
    nextEvent: string,
    {restBytes, isReset}: StreamBreak,
  ): void {
    const {socket} = response;
    response.write(nextEvent.slice(0, restBytes), () => {
      if (socket && isReset) resetSocket(socket);
      else socket?.end();
    });
  }

  function stream(run: EngineRun, response: http.ServerResponse): void {
    frame(response);
    response.writeHead(200, {
      ...headersFor(run),
      'Content-Type': 'text/event-stream',
    });
    const lastEventId = run.headers['last-event-id'];
    const canBreakOff = !breakOff?.isFirstRunOnly || lastEventId === undefined;
    let next = Number(lastEventId ?? '0') + 1;
    let sentCount = 0;
    progress.begin(run.requestId);
    const endRun = () => {
      clearInterval(timer);
      progress.end(run.requestId);
    };
    const timer = setInterval(() => {
      if (gate.isPaused || progress.isPreempted(run.requestId)) return;
      if (isSilenced(response)) {
        run.silencedAtMs ??= performance.now();
        // What it makes is lost on the way.
        progress.noteEvent(run.requestId);
        return;
      }
      if (sentCount >= stallAfter) {
        clearInterval(timer);
        return;
      }
      if (canBreakOff && breakOff && sentCount >= breakOff.afterEvents) {
        clearInterval(timer);
        markBrokenOff(run);
        breakStream(response, formatEvent(next, version), breakOff);
        return;
      }
      if (sentCount >= crashAfter) {
        clearInterval(timer);
        response.write(`id: ${next}\ndata: to`, () => crash());
        return;
      }
      response.write(formatEvent(next, version, options.eventBytes));
      run.lastEventAtMs = performance.now();
      progress.noteEvent(run.requestId);
      sentCount++;
      // A caller may resume after the last event, when nothing is left to send.
      if (next >= eventCount) {
        endRun();
        response.end();
      }
      next++;
    }, nextIntervalMs());
    response.on('close', () => {
      if (!options.preemption?.keepsRuns) endRun();
      if (!response.writableFinished) markDisconnected(run);
    });
  }

  function runRequest(
    message: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
  ): void {
    const requestId = String(message.headers['x-request-id']);
    arrivals.push({
      requestId,
      atMs: performance.now(),
      wasAskedToRest: behaviour === 'full' && retryAfterSeconds !== undefined,
    });
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      return refuse(message, response, 421);
    }
    if (behaviour === 'full') return refuse(message, response, 503);
    const source = message.headers['x-kv-source'];
    if (message.headers['x-stage'] === 'prefill') {
      const run = recordRun(message, body, 'prefill');
      const handle = `h${runs.length}`;
      handles.add(handle);
      response.writeHead(200, headersFor(run));
      response.end(JSON.stringify({kv_handle: handle, tokens: 1, version: 1}));
      return;
    }
    const run = recordRun(message, body, source ? 'decode' : 'whole');
    // The caller may have left during a pause.
    if (message.socket.destroyed) {
      run.wasDisconnected = true;
      run.disconnectedAtMs = run.startedAtMs;
      return;
    }
    openRuns.add(run);
    response.on('close', () => {
      openRuns.delete(run);
      if (!response.writableFinished) markDisconnected(run);
    });
    if (crashOn(run, response)) return;
    switch (behaviour) {
      case 'hang':
        return;
      case 'lose-answer':
        markBrokenOff(run);
        resetSocket(message.socket);
        return;
      case 'fail':
        fail(run, response);
        return;
      default:
        if (role) return stream(run, response);
        work(() => {
          frame(response);
          response.writeHead(200, headersFor(run));
          response.end(`answer of ${id}`);
          run.endedAtMs = performance.now();
        });
    }
  }

  function work(answer: () => void): void {
    const workMs = options.workMs?.() ?? 0;
    if (workMs > 0) setTimeout(() => gate.run(answer), workMs);
    else answer();
  }

  function takeMessage(
    message: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
  ): void {
    if (crashedPort === 'resetting') resetSocket(message.socket);
    if (crashedPort || silenced.has(message.socket)) return;
    const handle = message.url?.split(HANDLE_PATH)[1];
    if (handle !== undefined) {
      response.writeHead(handles.delete(handle) ? 200 : 404);
      response.end();
    } else if (message.url === '/corianderbend/report') {
      response.writeHead(200, {'Content-Type': 'application/json'});
      const state = {stage: role, busy: false, seq: orders.taken.length};
      const runsOfStreams = options.reportsRuns && {runs: progress.report()};
      response.end(JSON.stringify({...state, ...runsOfStreams}));
    } else if (message.url === '/corianderbend/order') {
      response.writeHead(orders.take(body));
      response.end();
    } else {
      runRequest(message, body, response);
    }
  }

  const server = http.createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (bytes: Buffer) => chunks.push(bytes));
    message.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      gate.run(() => takeMessage(message, body, response));
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

  const standIn: EngineStandIn = {
    get id() {
      return id;
    },
    address,
    get version() {
      return version;
    },
    runs,
    arrivals,
    orders: orders.taken,
    refusalCount: () => refusals,
    keptResultCount: () => handles.size,
    row: (state = 'ready') => ({
      service,
      address,
      zone: 'ylikool-saal',
      slots: 8,
      state,
      stage: role,
      version,
      seq: ++heartbeatCount,
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
    setRetryAfter(seconds) {
      retryAfterSeconds = seconds;
    },
    crashAfterEvents(count) {
      crashAfter = count;
    },
    stallAfterEvents(count) {
      stallAfter = count;
    },
    setUnframed(unframed) {
      isUnframed = unframed;
    },
    setBreakOff(how) {
      breakOff = how;
    },
    pause: gate.pause,
    resume: gate.resume,
    silenceConnections() {
      for (const socket of sockets) silenced.add(socket);
    },
    crash,
    async restart(newId, newVersion = version) {
      for (const socket of sockets) resetSocket(socket);
      id = newId;
      version = newVersion;
      if (crashedPort === 'closed') {
        await new Promise<void>(resolve =>
          server.listen(port, '127.0.0.1', resolve),
        );
      }
      crashedPort = undefined;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
  return standIn;
}
