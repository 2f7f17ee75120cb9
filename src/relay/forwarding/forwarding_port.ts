/**
 * Wraps an upstream port so that calls to upstreams that this host doesn't
 * reach are made by a peer that does.
 *
 * Only a call of which nothing was sent moves from this host to a peer, or from
 * one peer to the next, so that a request still runs at most once.
 */

import type {Upstream} from '../../core/upstream.js';
import type {Clock} from '../../ports/clock.js';
import type {
  Cancellation,
  PrefillOutcome,
  ProbeOutcome,
  RelayRequest,
  SendFailure,
  SendOptions,
  UpstreamAnswer,
  UpstreamPort,
} from '../../ports/relay.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';
import {
  deductTime,
  hasReached,
  type Forwarded,
  type ForwardClient,
} from './forward_client.js';
import type {ForwardOutcome} from './forward_frames.js';
import type {UpstreamLinks} from './upstream_links.js';

export interface ForwardingPortHost {
  readonly clock: Clock;
  /** Makes calls over connections of this host. */
  readonly direct: UpstreamPort;
  readonly client: ForwardClient;
  readonly links: UpstreamLinks;
  readonly registry: Pick<UpstreamRegistry, 'get'>;
}

type Call = 'send' | 'prefill';
type Outcome = UpstreamAnswer | PrefillOutcome | SendFailure;

const PROBE_TIMEOUT_MS = 800;
/** After this time without an answer, a peer probes as well. */
const PEER_PROBE_DELAY_MS = 400;
/** How many peers try to reach an upstream behind a cut link. */
const MAX_UNREACHED = 4;
/** The same while the upstream may have ended. */
const MAX_UNREACHED_IN_DOUBT = 2;
/** An upstream that answered within this time is not probed. */
const SILENT_MS = 1_000;
const NO_PATH: SendFailure = {
  kind: 'unreachable',
  detail: 'neither this host nor a peer reaches the upstream',
};

const isAnswer = (outcome: ProbeOutcome | undefined) =>
  outcome === 'answered' || outcome === 'other-instance';

export interface ForwardingPort {
  readonly port: UpstreamPort;
  /** A call that this host made directly had this outcome. */
  noteDirect(
    upstream: Upstream,
    sentAtMs: number,
    outcome: ForwardOutcome,
  ): void;
}

export function createForwardingPort(host: ForwardingPortHost): ForwardingPort {
  const {clock, direct, client, links, registry} = host;
  const probing = new Set<string>();

  function toOutcome(forwarded: Forwarded): Outcome | undefined {
    switch (forwarded.kind) {
      case 'declined':
        return undefined;
      case 'lost':
        return {kind: 'broken', detail: forwarded.detail, isOfPeer: true};
      case 'cancelled':
        return forwarded;
      case 'outcome': {
        const {outcome, body} = forwarded;
        if (outcome.kind === 'answered') return {...outcome, body};
        if (outcome.kind === 'probed') return undefined;
        return outcome;
      }
    }
  }

  /** Undefined if no peer made the call. */
  async function forward(
    call: Call,
    request: RelayRequest,
    options: SendOptions,
    maxUnreached: number,
    cancellation: Cancellation,
  ): Promise<Outcome | undefined> {
    const {upstream, ...forwarded} = options;
    if (options.leftMs <= 0) return undefined;
    const {body, ...rest} = request;
    // A key is known to the host that took the request only.
    const head = {...rest, keyDigest: undefined};
    const outcome = toOutcome(
      await client.call(
        {
          kind: call,
          upstreamId: upstream.id,
          request: head,
          options: forwarded,
        },
        {maxUnreached, timeoutMs: options.headTimeoutMs},
        body,
        cancellation,
      ),
    );
    if (outcome && hasReached(outcome)) links.noteReachedByPeer(upstream.id);
    return outcome;
  }

  async function callDirectly<Result extends Outcome>(
    options: SendOptions,
    call: (options: SendOptions) => Promise<Result>,
  ): Promise<Result> {
    const sentAtMs = clock.nowMs();
    const outcome = await call(options);
    // An open connection may outlive the path for new ones.
    const isNew = !options.mayReuseConnection;
    if (isNew && hasReached(outcome)) {
      links.noteReached(options.upstream.id, sentAtMs);
    }
    return outcome;
  }

  const forwarding =
    <Result extends Outcome>(call: Call, send: SendTo<Result>) =>
    async (
      request: RelayRequest,
      options: SendOptions,
      cancellation: Cancellation,
    ): Promise<Result | SendFailure> => {
      const startedAtMs = clock.nowMs();
      const left = () => deductTime(options, clock.nowMs() - startedAtMs);
      const sendDirectly = () =>
        callDirectly(left(), given => send(request, given, cancellation));
      const sendByPeer = (maxUnreached: number) =>
        forward(call, request, left(), maxUnreached, cancellation) as Promise<
          Result | SendFailure | undefined
        >;
      switch (links.pathTo(options.upstream.id)) {
        case 'peer':
          return (await sendByPeer(MAX_UNREACHED)) ?? NO_PATH;
        case 'peer-first':
          return (await sendByPeer(MAX_UNREACHED)) ?? sendDirectly();
        case 'direct': {
          const outcome = await sendDirectly();
          if (outcome.kind !== 'unreachable') return outcome;
          // A live upstream also resets connections beyond its limit. Where
          // others have answered meanwhile, one of them takes the call sooner.
          const isLikelyOfUpstream =
            outcome.wasConnected || links.wasAnyReachedSince(startedAtMs);
          if (isLikelyOfUpstream || left().leftMs <= 0) {
            probeIfSilent(options.upstream);
            return outcome;
          }
          return (await sendByPeer(MAX_UNREACHED_IN_DOUBT)) ?? outcome;
        }
      }
    };

  async function probeByPeer(upstream: Upstream): Promise<boolean> {
    const forwarded = await client.call(
      {kind: 'probe', upstreamId: upstream.id},
      {maxUnreached: MAX_UNREACHED_IN_DOUBT, timeoutMs: PROBE_TIMEOUT_MS},
    );
    return forwarded.kind === 'outcome' && hasReached(forwarded.outcome);
  }

  async function probeDirectly(upstream: Upstream): Promise<ProbeOutcome> {
    const sentAtMs = clock.nowMs();
    const outcome = await direct.probe(upstream);
    if (isAnswer(outcome)) links.noteReached(upstream.id, sentAtMs);
    return outcome;
  }

  /**
   * A peer reached the upstream. One that was silent may have gone on since
   * this host's probe, so it is probed again before its link counts as cut.
   */
  async function confirmCut(upstream: Upstream): Promise<void> {
    const outcome = await probeDirectly(upstream);
    if (!isAnswer(outcome)) links.noteReachedByPeer(upstream.id);
  }

  async function probe(upstream: Upstream) {
    let outcome: ProbeOutcome | undefined;
    const own = probeDirectly(upstream).then(each => (outcome = each));
    const delay = new Promise<undefined>(resolve => {
      clock.setTimer(PEER_PROBE_DELAY_MS, () => resolve(undefined));
    });
    await Promise.race([own, delay]);
    const isReachedByPeer = !isAnswer(outcome) && (await probeByPeer(upstream));
    if (!isReachedByPeer || isAnswer(outcome)) return own;
    if (outcome === 'refused') links.noteReachedByPeer(upstream.id);
    else void confirmCut(upstream);
    return 'answered';
  }

  function probeIfSilent(upstream: Upstream): void {
    if (links.wasReachedWithin(upstream.id, SILENT_MS)) return;
    if (probing.has(upstream.id)) return;
    probing.add(upstream.id);
    void probe(upstream).finally(() => probing.delete(upstream.id));
  }

  const port: UpstreamPort = {
    ...direct,
    send: forwarding('send', direct.send),
    prefill: forwarding('prefill', direct.prefill),
    probe,
    releasePrefill(place) {
      const upstream = registry.get(place.engineId);
      if (!upstream || links.pathTo(upstream.id) === 'direct') {
        direct.releasePrefill(place);
        return;
      }
      void client.call(
        {kind: 'release', upstreamId: upstream.id, place},
        {maxUnreached: MAX_UNREACHED, timeoutMs: PROBE_TIMEOUT_MS},
      );
    },
  };

  return {
    port,
    noteDirect(upstream, sentAtMs, outcome) {
      if (hasReached(outcome)) {
        links.noteReached(upstream.id, sentAtMs);
      } else if (outcome.kind === 'unreachable' || outcome.kind === 'broken') {
        probeIfSilent(upstream);
      }
    },
  };
}

type SendTo<Result> = (
  request: RelayRequest,
  options: SendOptions,
  cancellation: Cancellation,
) => Promise<Result>;
