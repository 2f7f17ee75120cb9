/**
 * Makes calls to upstreams for peers that don't reach them.
 *
 * The peer keeps the request: its admission, placement, retries and limits. A
 * call is made at most once, to an upstream of this host's own list, and never
 * passed on to a third host.
 */

import type http from 'node:http';
import {splitAddress} from '../../adapters/listen.js';
import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {UpstreamPort} from '../../ports/relay.js';
import type {Member} from '../fleet/members.js';
import type {CallerBuffers, CallerConnection} from '../front/caller_buffers.js';
import type {BodyReader} from '../front/body_reader.js';
import {createCancellation} from '../front/cancellation.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {FORWARD_PATH, SENDER_HEADER} from './forward_client.js';
import {
  decodeCall,
  encodeFrame,
  writeBody,
  type ForwardCall,
  type ForwardOutcome,
} from './forward_frames.js';

export interface ForwardServerHost {
  readonly clock: Clock;
  readonly registry: Pick<UpstreamRegistry, 'get' | 'getOpen'>;
  readonly bodies: Pick<BodyReader, 'read'>;
  /** Makes calls over connections of this host. */
  readonly port: UpstreamPort;
  /** Live hosts except this one. */
  peers(): readonly Member[];
  /** Whether this host reaches the upstream and may send to it now. */
  mayCall(upstreamId: string): boolean;
  onServed(result: 'made' | 'declined'): void;
  /** Holds what peers don't take of the answers to their calls. */
  readonly buffers: Pick<CallerBuffers, 'noteBlocked' | 'noteFree'>;
  onOutcome(
    upstream: Upstream,
    sentAtMs: number,
    outcome: ForwardOutcome,
  ): void;
}

export interface ForwardServer {
  /** Handles the call of a peer; returns false for any other message. */
  handle(message: http.IncomingMessage, response: http.ServerResponse): boolean;
  activeCount(): number;
}

/** Why a call is not made. */
type Declined =
  'sender-unknown' | 'invalid' | 'not-open' | 'too-many' | 'unread';

const DECLINED_STATUSES: Readonly<Record<Declined, number>> = {
  'sender-unknown': 403,
  invalid: 400,
  'not-open': 409,
  'too-many': 429,
  unread: 503,
};
const MAX_ACTIVE_CALLS = 256;
const MAX_CALL_BYTES = 16 * 1024 * 1024;

/** The longest time that a peer may take to send a call. */
const READ_TIMEOUT_MS = 30_000;
const READ_IDLE_TIMEOUT_MS = 5_000;

export function createForwardServer(host: ForwardServerHost): ForwardServer {
  const {registry, port} = host;
  let activeCount = 0;

  /** The port accepts connections from anywhere. */
  function isFromPeer({headers, socket}: http.IncomingMessage): boolean {
    const hostId = headers[SENDER_HEADER.toLowerCase()];
    const sender = host.peers().find(each => each.hostId === hostId);
    return (
      sender !== undefined &&
      splitAddress(sender.peerAddress).ip === socket.remoteAddress
    );
  }

  function findRefusal(message: http.IncomingMessage): Declined | undefined {
    if (!isFromPeer(message)) return 'sender-unknown';
    return activeCount >= MAX_ACTIVE_CALLS ? 'too-many' : undefined;
  }

  function findUpstream({kind, upstreamId}: ForwardCall): Upstream | undefined {
    const isNewWork = kind === 'send' || kind === 'prefill';
    return isNewWork ? registry.getOpen(upstreamId) : registry.get(upstreamId);
  }

  /** Writes an answer; a peer is slow where its caller is. */
  function createWriter(requestId: string, response: http.ServerResponse) {
    const connection: CallerConnection = {
      requestId,
      isStream: () => true,
      bufferedBytes: () => response.writableLength,
      close: () => void response.destroy(),
    };
    const noteFree = () => host.buffers.noteFree(connection);
    response.on('drain', noteFree);
    response.once('close', noteFree);
    return (bytes: Buffer): boolean => {
      const isTaken = response.write(bytes);
      if (!isTaken && !response.destroyed) host.buffers.noteBlocked(connection);
      return isTaken;
    };
  }

  async function make(
    call: ForwardCall,
    upstream: Upstream,
    body: Buffer,
    response: http.ServerResponse,
  ): Promise<void> {
    const cancellation = createCancellation();
    response.once('close', () => cancellation.cancel());
    const sentAtMs = host.clock.nowMs();
    const writeOutcome = (outcome: ForwardOutcome) =>
      void response.write(encodeFrame({kind: 'outcome', outcome}));
    const handleOutcome = (outcome: ForwardOutcome) => {
      host.onOutcome(upstream, sentAtMs, outcome);
      writeOutcome(outcome);
    };
    response.writeHead(200, {'Content-Type': 'application/octet-stream'});
    response.flushHeaders();
    switch (call.kind) {
      case 'probe': {
        const outcome = await port.probe(upstream);
        handleOutcome({kind: 'probed', outcome});
        break;
      }
      case 'release':
        port.releasePrefill(call.place);
        writeOutcome({kind: 'probed', outcome: 'answered'});
        break;
      case 'prefill': {
        const {request, options} = call;
        handleOutcome(
          await port.prefill(
            {...request, body},
            {...options, upstream},
            cancellation,
          ),
        );
        break;
      }
      case 'send': {
        const {request, options} = call;
        const outcome = await port.send(
          {...request, body},
          {...options, upstream},
          cancellation,
        );
        if (outcome.kind !== 'answered') {
          handleOutcome(outcome);
          break;
        }
        const {body: answerBody, ...head} = outcome;
        cancellation.onCancel(() => answerBody.destroy());
        const write = createWriter(request.requestId, response);
        response.on('drain', () => answerBody.resume());
        handleOutcome(head);
        writeBody(answerBody, write, () => void response.end());
        return;
      }
    }
    response.end();
  }

  function decline(why: Declined, response: http.ServerResponse): void {
    host.onServed('declined');
    response.writeHead(DECLINED_STATUSES[why], {'Content-Length': '0'});
    response.end();
  }

  async function serve(
    message: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const refused = findRefusal(message);
    const {bytes, error} = await host.bodies.read(message, response, {
      requestId: '',
      maxBytes: MAX_CALL_BYTES,
      end: () => void response.destroy(),
      waitMs: READ_TIMEOUT_MS,
      idleTimeoutMs: READ_IDLE_TIMEOUT_MS,
      refusal: refused && {kind: 'host-overloaded', detail: refused},
    });
    if (error) return decline(refused ?? 'unread', response);
    if (!bytes) return void response.destroy();
    if (activeCount >= MAX_ACTIVE_CALLS) return decline('too-many', response);
    const decoded = decodeCall(bytes);
    if (!decoded) return decline('invalid', response);
    const {call, body} = decoded;
    const upstream = findUpstream(call);
    if (!upstream || !host.mayCall(upstream.id)) {
      return decline('not-open', response);
    }
    activeCount++;
    response.once('close', () => activeCount--);
    host.onServed('made');
    await make(call, upstream, body, response);
  }

  return {
    handle(message, response) {
      if (message.method !== 'POST' || message.url !== FORWARD_PATH) {
        return false;
      }
      serve(message, response).catch(() => response.destroy());
      return true;
    },
    activeCount: () => activeCount,
  };
}
