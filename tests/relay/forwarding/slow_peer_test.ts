import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {AnswerBodySink, UpstreamPort} from '../../../src/ports/relay.js';
import type {Member} from '../../../src/relay/fleet/members.js';
import {
  FORWARD_PATH,
  SENDER_HEADER,
} from '../../../src/relay/forwarding/forward_client.js';
import {encodeCall} from '../../../src/relay/forwarding/forward_frames.js';
import {
  createForwardServer,
  type ForwardServerHost,
} from '../../../src/relay/forwarding/forward_server.js';
import {createBodyReader} from '../../../src/relay/front/body_reader.js';
import {createCallerBuffers} from '../../../src/relay/front/caller_buffers.js';
import {makeResourceLimits} from '../../support/resource_limits.js';
import {silentLog} from '../../support/silent_log.js';
import {noMetrics} from '../limits/resources_stand_in.js';
import {makeOptions, makeRequest, UPSTREAMS} from './forwarding_site.js';

/** No connection takes bytes after so long without any. */
const FULL_MS = 200;
const PART = Buffer.alloc(64 * 1024);

test(
  'what a peer does not take of an answer is held for a caller',
  {timeout: 10_000},
  async t => {
    // Guards against memory for slow callers of peers that no bound knows of.
    const clock = createVirtualClock();
    const resources = makeResourceLimits();
    const {memory} = resources;
    const shared = {
      clock,
      log: silentLog,
      metrics: noMetrics,
      memory,
      resources,
    };
    let sink: AnswerBodySink | undefined;
    let isPaused = false;
    let lastSentAtMs = 0;
    const flood = () => {
      isPaused = false;
      while (!isPaused) sink?.chunk(PART);
      lastSentAtMs = performance.now();
    };
    const body = {
      isUnframed: false,
      read(given: AnswerBodySink) {
        sink = given;
        flood();
      },
      pause: () => void (isPaused = true),
      resume: flood,
      destroy: () => {},
    };
    const port: Pick<UpstreamPort, 'send'> = {
      send: () =>
        Promise.resolve({
          kind: 'answered',
          status: 200,
          headers: [],
          hasSignature: true,
          body,
        }),
    };
    const host: Partial<ForwardServerHost> = {
      clock,
      registry: {get: () => UPSTREAMS[0], getOpen: () => UPSTREAMS[0]},
      port: port as UpstreamPort,
      peers: () => [{hostId: 'h-1', peerAddress: '127.0.0.1:1'} as Member],
      mayCall: () => true,
      onServed: () => undefined,
      onOutcome: () => undefined,
      bodies: createBodyReader(shared),
      buffers: createCallerBuffers(shared),
    };
    const forward = createForwardServer(host as ForwardServerHost);
    const server = http.createServer((message, response) => {
      forward.handle(message, response);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const peer = net.connect((server.address() as net.AddressInfo).port);
    t.after(() => {
      peer.destroy();
      server.close();
    });
    const {body: requestBody, ...request} = makeRequest('r');
    const message = encodeCall(
      {
        kind: 'send',
        upstreamId: 'u-1',
        request,
        options: makeOptions(),
      },
      requestBody,
    );
    peer.write(
      `POST ${FORWARD_PATH} HTTP/1.1\r\nHost: x\r\n${SENDER_HEADER}: h-1\r\nContent-Length: ${message.length}\r\n\r\n`,
    );
    peer.write(message);
    const isFull = () => isPaused && performance.now() - lastSentAtMs > FULL_MS;
    while (!isFull()) await new Promise(resolve => setTimeout(resolve, 5));
    assert.ok(memory.heldBytes('caller-buffer') > PART.length);
    peer.destroy();
    while (forward.activeCount() > 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.equal(memory.heldBytes(), 0);
  },
);
