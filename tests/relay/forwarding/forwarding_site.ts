/**
 * Hosts that make calls to upstreams for each other over real sockets, in
 * virtual time: no call times out because the machine is busy.
 */

import {createHttpExchange} from '../../../src/adapters/http_exchange.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../../src/core/virtual_clock.js';
import type {Upstream} from '../../../src/core/upstream.js';
import type {Clock} from '../../../src/ports/clock.js';
import type {
  AnswerBodySink,
  BreakCause,
  Cancellation,
  RelayRequest,
  SendFailure,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../../src/ports/relay.js';
import type {Member} from '../../../src/relay/fleet/members.js';
import {
  createForwarding,
  type Forwarding,
} from '../../../src/relay/forwarding/forwarding.js';
import {
  createAuxiliaryServer,
  type AuxiliaryServer,
} from '../../../src/relay/front/auxiliary_server.js';
import {createCallerBuffers} from '../../../src/relay/front/caller_buffers.js';
import type {UpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {
  createUnlimitedConnections,
  noMetrics,
} from '../limits/resources_stand_in.js';

/** How the connections of a host to upstreams behave. */
export type DirectBehaviour =
  | 'answer'
  | 'refuse'
  | 'lose'
  /** Sends the request and never gets an answer. */
  | 'hang'
  /** Answers with the first bytes of a body that doesn't end. */
  | 'begin'
  /** Answers with the first bytes of a body, then breaks off. */
  | 'break-off'
  /** Answers without a body. */
  | 'no-body';

export interface ForwardingHostStandIn {
  readonly member: Member;
  readonly forwarding: Forwarding;
  behaviour: DirectBehaviour;
  /** Upstreams that this host sends no new work to. */
  readonly closed: Set<string>;
  /** Ids of the requests that this host sent over its own connections. */
  readonly sent: string[];
  /** The time that each of them had left. */
  readonly sentLeftMs: number[];
  /** Requests whose connection to the upstream was closed by this host. */
  readonly closedCalls: string[];
  die(): void;
}

export interface ForwardingSite {
  readonly clock: VirtualClock;
  /** Has all upstreams answer nothing until then. */
  silenceUpstreams(durationMs: number): void;
  readonly hosts: readonly ForwardingHostStandIn[];
  close(): void;
}

export const UPSTREAMS = ['u-1', 'u-2', 'u-3'].map(
  id => ({id, name: id, service: 'ledger', address: `${id}:1`}) as Upstream,
);

export const makeRequest = (requestId: string): RelayRequest => ({
  requestId,
  method: 'POST',
  target: '/makse/1',
  host: 'raamatud.example',
  headers: ['X-Request-Id', requestId],
  body: Buffer.from('rida=1'),
  arrivedAtMs: 0,
  waitMs: 5_000,
});

export const makeOptions = (upstream = UPSTREAMS[0]): SendOptions => ({
  upstream,
  leftMs: 2_000,
  connectTimeoutMs: 300,
  headTimeoutMs: 2_000,
  mayReuseConnection: false,
});

const MIN_PORT = 20_000;
const PORT_COUNT = 10_000;

export const REFUSED: SendFailure = {kind: 'unreachable', detail: 'refused'};

const PROBE_TIMEOUT_MS = 800;

function createDirectPort(
  host: ForwardingHostStandIn,
  clock: Clock,
  silentUntilMs: () => number,
): UpstreamPort {
  const answer = (requestId: string): UpstreamAnswer => ({
    kind: 'answered',
    status: host.behaviour === 'no-body' ? 204 : 200,
    headers: ['X-Answer', 'yes'],
    hasSignature: true,
    body: {
      isUnframed: true,
      read(sink: AnswerBodySink) {
        if (host.behaviour === 'no-body') return sink.end();
        sink.chunk(Buffer.from('first '));
        if (host.behaviour === 'begin') return;
        if (host.behaviour === 'break-off') return sink.broken('it crashed');
        sink.chunk(Buffer.from('last'));
        sink.end();
      },
      pause: () => {},
      resume: () => {},
      destroy: () => void host.closedCalls.push(requestId),
    },
  });
  return {
    send({requestId}: RelayRequest, {leftMs}: SendOptions) {
      if (host.behaviour === 'refuse') return Promise.resolve(REFUSED);
      host.sent.push(requestId);
      host.sentLeftMs.push(leftMs);
      if (host.behaviour === 'hang') return new Promise<never>(() => {});
      if (host.behaviour === 'lose') {
        return Promise.resolve({kind: 'broken', detail: 'no answer'});
      }
      return Promise.resolve(answer(requestId));
    },
    probe() {
      if (host.behaviour === 'refuse') return Promise.resolve('refused');
      const silentMs = silentUntilMs() - clock.nowMs();
      if (silentMs <= 0) return Promise.resolve('answered');
      return new Promise(resolve => {
        clock.setTimer(Math.min(silentMs, PROBE_TIMEOUT_MS), () =>
          resolve(silentMs > PROBE_TIMEOUT_MS ? 'no-answer' : 'answered'),
        );
      });
    },
  } as Partial<UpstreamPort> as UpstreamPort;
}

/**
 * Peers recognize each other by the address that calls come from, so that all
 * listen on the default one, below the ports of outgoing connections.
 */
async function listenAnywhere(server: AuxiliaryServer): Promise<string> {
  for (;;) {
    const port = MIN_PORT + Math.floor(Math.random() * PORT_COUNT);
    const address = `127.0.0.1:${port}`;
    try {
      await server.listen(address);
      return address;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
    }
  }
}

export async function createForwardingSite(
  hostCount: number,
): Promise<ForwardingSite> {
  const clock = createVirtualClock();
  const exchange = createHttpExchange({clock});
  let silentUntilMs = 0;
  const hosts: ForwardingHostStandIn[] = [];
  const servers: AuxiliaryServer[] = [];
  for (let i = 0; i < hostCount; i++) {
    const member = {
      hostId: `h-${i}`,
      failureDomain: 'raadi-ruum',
      state: 'ready',
    } as Member;
    const closed = new Set<string>();
    const get = (id: string) => UPSTREAMS.find(each => each.id === id);
    const host = {
      member,
      behaviour: 'answer',
      closed,
      sent: [],
      sentLeftMs: [],
      closedCalls: [],
      die: () => servers[i].close(),
    } as Partial<ForwardingHostStandIn> as ForwardingHostStandIn;
    const forwarding = createForwarding({
      clock,
      random: createSeededRandom(i),
      log: silentLog,
      metrics: {count: () => {}},
      exchange,
      registry: {
        get,
        getOpen: (id: string) => (closed.has(id) ? undefined : get(id)),
      } as Partial<UpstreamRegistry> as UpstreamRegistry,
      bodies: createBodyReader({
        clock,
        log: silentLog,
        metrics: noMetrics,
        resources: makeResourceLimits(),
      }),
      direct: createDirectPort(host, clock, () => silentUntilMs),
      self: member,
      peers: () => hosts.filter(each => each !== host).map(each => each.member),
      isServing: () => true,
      isBlocked: () => false,
      buffers: createCallerBuffers({
        clock,
        log: silentLog,
        metrics: {count: () => {}},
        memory: makeResourceLimits().memory,
      }),
    });
    hosts.push(Object.assign(host, {forwarding}));
    const server = createAuxiliaryServer(
      {clock, connections: createUnlimitedConnections()},
      () => undefined,
      forwarding.server.handle,
    );
    servers.push(server);
    Object.assign(member, {peerAddress: await listenAnywhere(server)});
  }
  return {
    clock,
    hosts,
    silenceUpstreams(durationMs) {
      silentUntilMs = clock.nowMs() + durationMs;
    },
    close() {
      for (const {forwarding} of hosts) forwarding.links.stop();
      for (const server of servers) server.close();
      exchange.close();
    },
  };
}

export interface ReadResult {
  readonly text: string;
  readonly end: 'whole' | 'broken' | 'cancelled';
  readonly cause?: BreakCause;
}

/** Reads the body; `onData` is called with each part. */
export function readAnswer(
  outcome: UpstreamAnswer | SendFailure,
  cancellation: Cancellation,
  onData: () => void = () => {},
): Promise<ReadResult | SendFailure> {
  if (outcome.kind !== 'answered') return Promise.resolve(outcome);
  return new Promise(resolve => {
    let text = '';
    cancellation.onCancel(() => {
      outcome.body.destroy();
      resolve({text, end: 'cancelled'});
    });
    outcome.body.read({
      chunk(bytes) {
        text += bytes.toString();
        onData();
      },
      end: () => resolve({text, end: 'whole'}),
      broken: (_detail, cause) => resolve({text, end: 'broken', cause}),
    });
  });
}
