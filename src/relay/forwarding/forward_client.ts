/** Has peers make calls to upstreams that this host doesn't reach. */

import {findHeadFault} from '../../adapters/answer_head.js';
import type {HttpExchange, HttpHead} from '../../adapters/http_exchange.js';
import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {
  AnswerBody,
  AnswerBodySink,
  Cancellation,
} from '../../ports/relay.js';
import type {Member} from '../fleet/members.js';
import {
  createFrameReader,
  encodeCall,
  joinData,
  type ForwardCall,
  type ForwardedOptions,
  type ForwardOutcome,
  type Frame,
} from './forward_frames.js';
import type {ForwardPeers} from './forward_peers.js';

export interface ForwardClientHost {
  readonly clock: Clock;
  readonly exchange: HttpExchange;
  readonly hostId: string;
  readonly peers: ForwardPeers;
  onCalled(result: Forwarded['kind']): void;
}

/** How a peer's call to an upstream ended. */
export type Forwarded =
  | {
      readonly kind: 'outcome';
      readonly outcome: ForwardOutcome;
      /** Present if the upstream answered with a body. */
      readonly body: AnswerBody;
    }
  /** No peer made the call. */
  | {readonly kind: 'declined'}
  /** The peer broke off; the upstream may have run the request. */
  | {readonly kind: 'lost'; readonly detail: string}
  | {readonly kind: 'cancelled'};

export interface ForwardLimits {
  /** How many peers may fail to reach the upstream; those that decline don't. */
  readonly maxUnreached: number;
  /** Within this time the outcome must arrive from a peer. */
  readonly timeoutMs: number;
}

export interface ForwardClient {
  /**
   * Asks peers in turn until one reaches the upstream, or as many as given did
   * not.
   */
  call(
    call: ForwardCall,
    limits: ForwardLimits,
    requestBody?: Buffer,
    cancellation?: Cancellation,
  ): Promise<Forwarded>;
}

/** The options with the time that has passed deducted. */
export function deductTime<Options extends ForwardedOptions>(
  options: Options,
  passedMs: number,
): Options {
  return {
    ...options,
    leftMs: options.leftMs - passedMs,
    headTimeoutMs: options.headTimeoutMs - passedMs,
  };
}

function deductTimeOf(call: ForwardCall, passedMs: number): ForwardCall {
  if (call.kind === 'probe' || call.kind === 'release') return call;
  return {...call, options: deductTime(call.options, passedMs)};
}

export const FORWARD_PATH = '/peer/forward';
/** Names the sender, which the peer looks up among the live hosts. */
export const SENDER_HEADER = 'X-Peer-Host';
const CONNECT_TIMEOUT_MS = 200;
/** A peer that does not read the head of a call within this time is skipped. */
const READ_TIMEOUT_MS = 500;
/** For the way to the peer and back. */
const OUTCOME_MARGIN_MS = 100;
const STATUS_ACCEPTED = 200;
const PEER_BROKE_OFF = 'the peer that made the call broke off';

/** What arrives of an answer; `lost` if the peer broke off. */
type AnswerEvent = Frame | {readonly kind: 'lost'};
type BodyEvent = Exclude<AnswerEvent, {kind: 'outcome'}>;

interface FramedAnswer {
  /** Undefined if the peer broke off. */
  readOutcome(): Promise<ForwardOutcome | undefined>;
  readonly body: AnswerBody;
}

function deliver(event: BodyEvent, sink: AnswerBodySink): void {
  switch (event.kind) {
    case 'data':
      return sink.chunk(event.bytes);
    case 'end':
      return sink.end();
    case 'broken':
      return sink.broken(event.detail);
    case 'lost':
      return sink.broken(PEER_BROKE_OFF, {isOfPeer: true});
  }
}

/**
 * Reads frames and holds back those of the body until it is read, and while it
 * is paused; one read may bring many. That it broke off is told at once.
 */
function createFramedAnswer(body: AnswerBody, onEnd: () => void): FramedAnswer {
  const reader = createFrameReader();
  let held: BodyEvent[] = [];
  let sink: AnswerBodySink | undefined;
  let hasEnded = false;
  let isPaused = false;
  let isDestroyed = false;
  let onOutcome: (outcome: ForwardOutcome | undefined) => void = () => {};

  function end(): void {
    if (hasEnded) return;
    hasEnded = true;
    onEnd();
    onOutcome(undefined);
  }

  function receive(event: AnswerEvent): void {
    if (hasEnded) return;
    if (event.kind === 'outcome') return onOutcome(event.outcome);
    if (event.kind !== 'data') end();
    const isBreak = event.kind === 'broken' || event.kind === 'lost';
    if (isBreak && isPaused) held = [event];
    else held.push(event);
  }

  function deliverHeld(): void {
    if (!sink) return;
    if (held[0]?.kind === 'broken' || held[0]?.kind === 'lost') {
      isPaused = false;
    }
    while (held.length > 0 && !isPaused && !isDestroyed) {
      const [event] = held.splice(0, 1);
      deliver(event, sink);
    }
  }

  function push(bytes: Buffer): void {
    try {
      for (const frame of joinData(reader.push(bytes))) receive(frame);
    } catch {
      body.destroy();
      receive({kind: 'lost'});
    }
    deliverHeld();
    if (held.length > 0) body.pause();
  }

  function resume(): void {
    isPaused = false;
    deliverHeld();
    if (!isPaused && !hasEnded) body.resume();
  }

  return {
    readOutcome() {
      const outcome = new Promise<ForwardOutcome | undefined>(resolve => {
        onOutcome = resolve;
      });
      const lose = () => {
        receive({kind: 'lost'});
        deliverHeld();
      };
      body.read({chunk: push, end: lose, broken: lose});
      return outcome;
    },
    body: {
      isUnframed: false,
      read(given) {
        sink = given;
        resume();
      },
      pause() {
        isPaused = true;
        body.pause();
      },
      resume() {
        if (isPaused) resume();
      },
      destroy() {
        isDestroyed = true;
        held = [];
        end();
        body.destroy();
      },
    },
  };
}

/** Whether the upstream sent an answer to the peer. */
export function hasReached(outcome: ForwardOutcome): boolean {
  switch (outcome.kind) {
    case 'answered':
    case 'prefilled':
    case 'rejected':
      return true;
    case 'probed':
      return outcome.outcome === 'answered';
    case 'unreachable':
    case 'withheld':
    case 'quarantined':
    case 'broken':
    case 'cancelled':
      return false;
  }
}

/** An answer counts as broken if no answer may have its head. */
function checkHead(outcome: ForwardOutcome): ForwardOutcome {
  if (outcome.kind !== 'answered') return outcome;
  const fault = findHeadFault(outcome.status, outcome.headers);
  return fault === undefined ? outcome : {kind: 'broken', detail: fault};
}

/** Whether another peer may make the call, since nothing was sent. */
function isUnreached(forwarded: Forwarded): boolean {
  if (forwarded.kind !== 'outcome') return false;
  const {outcome} = forwarded;
  if (outcome.kind === 'probed') return outcome.outcome !== 'answered';
  return outcome.kind === 'unreachable';
}

export function createForwardClient(host: ForwardClientHost): ForwardClient {
  const {clock, exchange, peers} = host;

  async function readAnswer(
    {hostId}: Member,
    head: HttpHead,
    timeoutMs: number,
    cancellation: Cancellation | undefined,
  ): Promise<Forwarded> {
    peers.begin(hostId);
    const answer = createFramedAnswer(head.body, () => peers.end(hostId));
    let timer: TimerHandle | undefined;
    const timeout = new Promise<undefined>(resolve => {
      timer = clock.setTimer(timeoutMs + OUTCOME_MARGIN_MS, () =>
        resolve(undefined),
      );
    });
    const received = await Promise.race([answer.readOutcome(), timeout]);
    if (timer) clock.clearTimer(timer);
    const outcome = received && checkHead(received);
    if (!outcome || outcome !== received) answer.body.destroy();
    if (outcome) return {kind: 'outcome', outcome, body: answer.body};
    return cancellation?.isCancelled
      ? {kind: 'cancelled'}
      : {kind: 'lost', detail: PEER_BROKE_OFF};
  }

  /** Undefined if the peer can't be reached. */
  async function callPeer(
    peer: Member,
    message: Buffer,
    timeoutMs: number,
    cancellation: Cancellation | undefined,
  ): Promise<Forwarded | undefined> {
    const head = await exchange.start(
      {
        address: peer.peerAddress,
        method: 'POST',
        target: FORWARD_PATH,
        headers: ['Host', peer.peerAddress, SENDER_HEADER, host.hostId],
        body: message,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        // A suspended peer would make the call when it goes on.
        continueTimeoutMs: READ_TIMEOUT_MS,
        answerTimeoutMs: READ_TIMEOUT_MS + timeoutMs + OUTCOME_MARGIN_MS,
        mayReuseConnection: false,
      },
      cancellation,
    );
    switch (head.kind) {
      case 'cancelled':
        return head;
      case 'unreachable':
        return undefined;
      case 'broken':
        return {kind: 'lost', detail: PEER_BROKE_OFF};
      case 'answered':
        if (head.status === STATUS_ACCEPTED) {
          return readAnswer(peer, head, timeoutMs, cancellation);
        }
        head.body.destroy();
        return {kind: 'declined'};
    }
  }

  function noteResult({hostId}: Member, forwarded?: Forwarded): void {
    if (!forwarded) return peers.noteFailed(hostId);
    switch (forwarded.kind) {
      case 'cancelled':
        return;
      case 'lost':
        return peers.noteFailed(hostId);
      case 'declined':
        return peers.noteUnreached(hostId);
      case 'outcome':
        if (hasReached(forwarded.outcome)) peers.noteServed(hostId);
        else peers.noteUnreached(hostId);
    }
  }

  return {
    async call(call, limits, requestBody, cancellation) {
      const {maxUnreached, timeoutMs} = limits;
      const startedAtMs = clock.nowMs();
      let unreachedCount = 0;
      for (const peer of peers.candidates()) {
        const passedMs = clock.nowMs() - startedAtMs;
        if (unreachedCount >= maxUnreached || passedMs >= timeoutMs) break;
        const forwarded = await callPeer(
          peer,
          encodeCall(deductTimeOf(call, passedMs), requestBody),
          timeoutMs - passedMs,
          cancellation,
        );
        noteResult(peer, forwarded);
        if (!forwarded || forwarded.kind === 'declined') continue;
        if (isUnreached(forwarded)) {
          unreachedCount++;
          continue;
        }
        host.onCalled(forwarded.kind);
        return forwarded;
      }
      host.onCalled('declined');
      return {kind: 'declined'};
    },
  };
}
