/** Upstreams of the callers that press: endless, slow or large answers. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  createEndlessEngine,
  type EndlessAnswer,
} from '../platform/endless_engine.js';
import {OK} from '../platform/raw_engine.js';
import {HOST, makeConfiguration} from '../platform/relay_site.js';
import {ownLoopback} from '../support/free_address.js';
import type {ConfigurationAdditions} from './soak_site.js';

interface EndlessService {
  readonly kind: 'endless-stream' | 'endless-plain';
  readonly answer: EndlessAnswer;
}

interface SizedService {
  readonly kind: 'sized';
  readonly workMs: number;
  readonly answerBytes: number;
}

const EVENTS = `${OK}Content-Type: text/event-stream\r\n\r\n`;
const FIRST_EVENT = 'id: 1\ndata: token-1\n\n';

const endlessStream = (head: string, repeated: string): EndlessService => ({
  kind: 'endless-stream',
  answer: {head, repeated},
});

const services = {
  comments: endlessStream(EVENTS + FIRST_EVENT, ': c\n\n'.repeat(13_000)),
  'long-comments': endlessStream(
    EVENTS + FIRST_EVENT,
    `: ${'c'.repeat(1_000)}\n\n`.repeat(64),
  ),
  'only-comments': endlessStream(EVENTS, ': c\n\n'.repeat(13_000)),
  'same-id': endlessStream(EVENTS, 'id: 1\ndata: x\n\n'.repeat(4_000)),
  events: endlessStream(EVENTS, 'data: token\n\n'.repeat(5_000)),
  line: endlessStream(`${EVENTS}${FIRST_EVENT}data: `, 'x'.repeat(65_536)),
  body: {
    kind: 'endless-plain',
    answer: {head: `${OK}\r\n`, repeated: 'x'.repeat(65_536)},
  },
  quick: {kind: 'sized', workMs: 5, answerBytes: 100},
  slow: {kind: 'sized', workMs: 4_000, answerBytes: 100},
  held: {kind: 'sized', workMs: 60_000, answerBytes: 100},
  large: {kind: 'sized', workMs: 5, answerBytes: 5_000_000},
} as const satisfies Readonly<Record<string, EndlessService | SizedService>>;

export type PressingService = keyof typeof services;

/** Streams are requests to the other services. */
export const isModelService = (name: PressingService): boolean =>
  services[name].kind === 'endless-stream';

/** So many slots that requests don't queue for them. */
const SLOTS = 2_000;
export const PRESSING_TIMEOUT_MS = 14_000;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Routes and services for these, and the limits of the deployment. */
export function toPressingConfiguration(
  names: readonly PressingService[],
): ConfigurationAdditions {
  const [, model] = (
    makeConfiguration() as {readonly services: readonly object[]}
  ).services as ReadonlyArray<{readonly engine?: object}>;
  const engine = {...model.engine, slots: SLOTS, kv_tokens: 1e8};
  return {
    routes: names.map(name => ({
      name: `press-${name}`,
      host: HOST,
      prefix: `/${name}/`,
      kind: isModelService(name) ? 'streaming' : 'non_idempotent',
      service: name,
      timeout_ms: PRESSING_TIMEOUT_MS,
      goal_ms: 200,
      ...(isModelService(name) ? {gap_goal_ms: 300} : {}),
      attempts: 1,
      priority: 1,
    })),
    services: names.map(name => ({
      name,
      health_path: '/healthz',
      max_conns: SLOTS,
      ...(isModelService(name) ? {engine} : {}),
    })),
    limits: {max_body_bytes: MAX_BODY_BYTES},
  };
}

/** An upstream that is listening. */
export interface PressingEngine {
  /** Value of its row in the store. */
  readonly row: object;
  close(): void;
}

async function createSizedEngine(
  service: string,
  {workMs, answerBytes}: SizedService,
): Promise<PressingEngine> {
  const body = Buffer.alloc(answerBytes, 'x');
  const server = http.createServer((message, response) => {
    message.resume();
    message.on('end', () =>
      setTimeout(() => {
        response.writeHead(200, {
          'X-Engine-Stamp': 'sized',
          'X-Request-Id': String(message.headers['x-request-id']),
          'Content-Length': body.length,
        });
        response.end(body);
      }, workMs),
    );
  });
  await new Promise<void>(resolve => server.listen(0, ownLoopback(), resolve));
  const {port} = server.address() as AddressInfo;
  return {
    row: {
      service,
      address: `${ownLoopback()}:${port}`,
      zone: 'ylikool-saal',
      slots: SLOTS,
      state: 'ready',
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function createEndless(
  service: string,
  answer: EndlessAnswer,
  role?: 'prefill' | 'decode',
  isSound = false,
): Promise<PressingEngine> {
  const calls = isSound ? undefined : (role ?? 'plain');
  const engine = await createEndlessEngine({service, role, calls, answer});
  return {row: {...engine.row, slots: SLOTS}, close: engine.close};
}

/** Starts the upstreams of these services; of two decode engines, one is sound. */
export async function startPressingEngines(
  names: readonly PressingService[],
): Promise<readonly PressingEngine[]> {
  const started = names.map(name => {
    const service = services[name];
    if (service.kind === 'sized') return [createSizedEngine(name, service)];
    const {answer, kind} = service;
    if (kind === 'endless-plain') return [createEndless(name, answer)];
    return [
      createEndless(name, answer, 'prefill', true),
      createEndless(name, answer, 'decode', true),
      createEndless(name, answer, 'decode'),
    ];
  });
  return Promise.all(started.flat());
}
