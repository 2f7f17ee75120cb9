/** Requests on kept connections, beside changes of the configuration. */

import assert from 'node:assert/strict';
import http from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import type {EngineStandIn} from '../../stand_ins/users_platform/engine_stand_in_types.js';
import {
  createSite,
  HOST,
  makeConfiguration,
  PROMPT_HEADERS,
  untilReady,
  wait,
  type Site,
} from './relay_site.js';
import {pause} from './silent_site.js';

const PATHS = ['/saldo/1', '/makse/1', '/lisa/1', '/mustand/1'];
const CALLER_COUNT = 24;
const SILENCE_MS = 1_500;
const STEP_MS = 150;
const LONG_MS = 9_000;
const LONG_IDLE_MS = 15_000;

type Step = (configuration: {
  readonly routes: ReadonlyArray<{readonly service: string}>;
  readonly services: readonly object[];
  readonly limits: object;
}) => object;

const moved = (service: string) => (service === 'ledger' ? 'koopia' : service);
const limitIdle =
  (idleMs: number): Step =>
  ({limits}) => ({
    limits: {...limits, idle_timeout_ms: idleMs},
  });

const STEPS: readonly Step[] = [
  limitIdle(200),
  limitIdle(LONG_IDLE_MS),
  ({routes}) => ({
    routes: routes.map(each => ({...each, timeout_ms: LONG_MS - 1_000})),
  }),
  ({routes}) => ({
    routes: routes.map(each => ({...each, service: moved(each.service)})),
  }),
  () => ({routes: [], services: []}),
  limitIdle(300),
  () => ({}),
];

let site: Site;

beforeEach(async () => {
  site = await createSite();
});

afterEach(() => site.close());

function configure(change: Step): void {
  const base = makeConfiguration() as Parameters<Step>[0];
  const copy = {name: 'koopia', health_path: '/healthz', max_conns: 100};
  const whole = {
    ...base,
    routes: base.routes.map(each => ({...each, timeout_ms: LONG_MS})),
    services: [...base.services, copy],
  };
  site.configure({...whole, ...change(whole)});
}

const addUpstreams = (service: string, role?: 'prefill' | 'decode') =>
  Promise.all(
    [1, 2].map(i =>
      site.addUpstream({
        id: `${service}-${role ?? 'plain'}-${i}`,
        service,
        role,
        eventCount: 20,
        eventEveryMs: 25,
      }),
    ),
  );

interface CallEnd {
  readonly requestId: string;
  /** Absent if the connection was closed without an answer. */
  readonly status?: number;
  readonly isWhole: boolean;
}

function call(
  address: string,
  path: string,
  requestId: string,
  agent: http.Agent,
): Promise<CallEnd> {
  const [host, port] = address.split(':');
  const headers = {
    ...PROMPT_HEADERS,
    Host: HOST,
    'X-Request-Id': requestId,
    'X-Deadline-Ms': String(LONG_MS),
  };
  const method = path === PATHS[0] ? 'GET' : 'POST';
  return new Promise(resolve => {
    const request = http.request({host, port, path, method, headers, agent});
    request.on('error', () => resolve({requestId, isWhole: false}));
    request.on('response', answer => {
      const {statusCode: status} = answer;
      const settle = () =>
        resolve({requestId, status, isWhole: answer.complete});
      answer.resume();
      answer.on('end', settle).on('error', settle);
    });
    request.end();
  });
}

test('requests on kept connections end with an answer beside configurations and silences', async () => {
  // Guards against a connection that is closed under a request that was read or passed on.
  const plain = [
    ...(await addUpstreams('ledger')),
    ...(await addUpstreams('koopia')),
  ];
  const decode = await addUpstreams('drafts', 'decode');
  const prefill = await addUpstreams('drafts', 'prefill');
  configure(() => ({}));
  const entry = await site.addEntry();
  await untilReady(site, entry);
  const ends: CallEnd[] = [];
  let isOver = false;

  async function callAgain(index: number): Promise<void> {
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let i = 0; !isOver; i++) {
      const path = PATHS[(index + i) % PATHS.length];
      const id = `call-${index}-${i}`;
      ends.push(await call(entry.settings.callerAddress, path, id, agent));
      await wait((index * i) % 60);
    }
    agent.destroy();
  }

  async function changeConfigurations(): Promise<void> {
    for (const step of [...STEPS, ...STEPS]) {
      configure(step);
      await wait(STEP_MS);
    }
  }

  const callers = Array.from({length: CALLER_COUNT}, (_, i) => callAgain(i));
  const silence = async (upstreams: readonly EngineStandIn[]) =>
    Promise.all([pause(upstreams, SILENCE_MS), changeConfigurations()]);
  await silence(plain);
  await silence([...plain, ...decode]);
  isOver = true;
  await Promise.all(callers);
  const passedOn = new Set(
    [...plain, ...decode, ...prefill].flatMap(({arrivals}) =>
      arrivals.map(({requestId}) => requestId),
    ),
  );
  const isLost = ({requestId, status, isWhole}: CallEnd) =>
    status === undefined ? passedOn.has(requestId) : !isWhole;
  assert.deepEqual(ends.filter(isLost), []);
  const statuses = new Set(ends.map(({status}) => status));
  assert.ok(statuses.has(200) && statuses.has(404), [...statuses].join());
});
