/**
 * Keeps copies of the origins of streams at a few other hosts, and asks them
 * when a caller takes a stream up here. Which hosts follows from the id of the
 * stream, so that all hosts find the same ones.
 */

import {hashText} from '../../core/hash_text.js';
import type {Clock} from '../../ports/clock.js';
import type {Member} from '../fleet/members.js';
import {rankOwners} from '../fleet/owners.js';
import {
  createPeerRequestClient,
  FIRST_ASK_ID_RANGE,
} from '../fleet/peer_request_client.js';
import {createPeerRequestServer} from '../fleet/peer_request_server.js';
import type {Random} from '../../ports/random.js';
import {
  isValidOriginMessage,
  MAX_COPIES,
  type OriginCopies,
  type OriginMessage,
  type OriginReply,
  type OriginRequest,
} from './origin_messages.js';
import type {OriginArchive} from './origin_archive.js';
import type {StreamOrigin, StreamOrigins} from './stream_origins.js';
import type {SeenVersions, VersionHistory} from './version_history.js';

export interface OriginExchangeHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly hostId: string;
  readonly origins: StreamOrigins;
  readonly history: VersionHistory;
  readonly archive: Pick<OriginArchive, 'add'>;
  /** Hosts that write origins to the store, in the same order at all hosts. */
  archiverIds(): readonly string[];
  /** Live hosts except this one. */
  peers(): readonly Pick<Member, 'hostId' | 'state'>[];
  /** Whether few enough hosts exist to ask all of them. */
  isMesh(): boolean;
  send(hostId: string, message: OriginMessage): void;
}

/** What the hosts that answered know. */
export interface OriginFindings {
  readonly origin?: StreamOrigin;
  /** One entry for each host that answered. */
  readonly seen: readonly SeenVersions[];
  /** Hosts that did not answer in time. */
  readonly silentIds: readonly string[];
}

type OriginQuery = Omit<OriginRequest, 'kind' | 'askId'>;

export interface OriginExchange {
  /** Sends copies of the origins to the hosts that keep them. */
  copy(origins: readonly StreamOrigin[]): void;
  /** Has the origins written to the store. */
  archive(origins: readonly StreamOrigin[]): void;
  /** Asks hosts until one knows the origin or all have answered or timed out. */
  ask(query: OriginQuery): Promise<OriginFindings>;
  /**
   * Asks the hosts that were silent until one knows the origin, or all have
   * answered, died or used up the time.
   */
  askAgain(
    query: OriginQuery,
    before: OriginFindings,
    timeoutMs: number,
  ): Promise<OriginFindings>;
  receive(fromHostId: string, message: OriginMessage): void;
}

/** Two copies may be lost with their hosts at once. */
const COPY_COUNT = 3;
/** The host where the stream began may rank among those with copies. */
const ASKED_COUNT = COPY_COUNT + 1;
const RANKING_TOPIC = 'stream-origin';

const toRequest = (query: OriginQuery) =>
  ({kind: 'stream-origin-ask', ...query}) as const;

function add(before: OriginFindings, more: OriginFindings): OriginFindings {
  return {
    origin: more.origin,
    seen: [...before.seen, ...more.seen],
    silentIds: [...before.silentIds, ...more.silentIds],
  };
}

export function createOriginExchange(host: OriginExchangeHost): OriginExchange {
  const {clock, hostId, origins, history} = host;
  const client = createPeerRequestClient<OriginRequest, OriginReply>({
    clock,
    firstAskId: host.random.nextInt(FIRST_ASK_ID_RANGE),
    tell: host.send,
  });
  const server = createPeerRequestServer<OriginRequest, OriginReply>({
    decide: (_, {askId, requestId, service, windowMs}) => ({
      kind: 'stream-origin-answer',
      askId,
      origin: origins.find(requestId),
      seen: history.seenWithin(service, windowMs),
    }),
    tell: host.send,
  });

  function rank(requestId: string, hostIds: readonly string[]): string[] {
    return rankOwners(RANKING_TOPIC, requestId, hostIds).filter(
      each => each !== hostId,
    );
  }

  /** Hosts that are to keep a copy; a host that leaves would soon lose it. */
  function copyHolders(requestId: string): readonly string[] {
    const staying = host.peers().filter(({state}) => state !== 'leaving');
    const ids = staying.map(each => each.hostId);
    return rank(requestId, ids).slice(0, COPY_COUNT);
  }

  /** In a small fleet, one host writes all in fewer calls. */
  function archiversOf({requestId}: StreamOrigin): readonly string[] {
    const ids = host.archiverIds();
    const index = host.isMesh() ? 0 : hashText(requestId) % ids.length;
    return ids.slice(index, index + 1);
  }

  function sendTo(
    receiversOf: (origin: StreamOrigin) => readonly string[],
    flags: Pick<OriginCopies, 'isForArchive'>,
    sent: readonly StreamOrigin[],
  ): void {
    const byReceiver = new Map<string, StreamOrigin[]>();
    for (const origin of sent) {
      for (const receiver of receiversOf(origin)) {
        const known = byReceiver.get(receiver);
        if (known) known.push(origin);
        else byReceiver.set(receiver, [origin]);
      }
    }
    for (const [receiver, all] of byReceiver) {
      for (let i = 0; i < all.length; i += MAX_COPIES) {
        const part = all.slice(i, i + MAX_COPIES);
        const message = {
          kind: 'stream-origins',
          origins: part,
          ...flags,
        } as const;
        if (receiver === hostId) take(message);
        else host.send(receiver, message);
      }
    }
  }

  function take({origins: taken, isForArchive}: OriginCopies): void {
    if (isForArchive) host.archive.add(taken);
    else for (const origin of taken) origins.add(origin, true);
  }

  async function askEach(
    hostIds: readonly string[],
    request: Omit<OriginRequest, 'askId'>,
  ): Promise<OriginFindings> {
    const seen: SeenVersions[] = [];
    const silentIds: string[] = [];
    return new Promise(resolve => {
      let openCount = hostIds.length;
      if (openCount === 0) resolve({seen, silentIds});
      for (const each of hostIds) {
        void client.ask(each, request).then(reply => {
          openCount--;
          if (reply) seen.push(reply.seen);
          else silentIds.push(each);
          const {origin} = reply ?? {};
          if (origin || openCount === 0) resolve({origin, seen, silentIds});
        });
      }
    });
  }

  return {
    copy: copied => sendTo(({requestId}) => copyHolders(requestId), {}, copied),
    archive: archived => sendTo(archiversOf, {isForArchive: true}, archived),
    async ask(query) {
      const request = toRequest(query);
      const ids = host.peers().map(each => each.hostId);
      const ranked = rank(query.requestId, [hostId, ...ids]);
      const first = await askEach(ranked.slice(0, ASKED_COUNT), request);
      if (first.origin || !host.isMesh()) return first;
      const second = await askEach(ranked.slice(ASKED_COUNT), request);
      return add(first, second);
    },
    async askAgain(query, before, timeoutMs) {
      const untilMs = clock.nowMs() + timeoutMs;
      let found = before;
      while (!found.origin && clock.nowMs() < untilMs) {
        const alive = new Set(host.peers().map(each => each.hostId));
        const silentIds = found.silentIds.filter(each => alive.has(each));
        if (silentIds.length === 0) break;
        const answers = await askEach(silentIds, toRequest(query));
        found = add({...found, silentIds: []}, answers);
      }
      return found;
    },
    receive(fromHostId, message) {
      if (!isValidOriginMessage(message)) return;
      switch (message.kind) {
        case 'stream-origins':
          take(message);
          return;
        case 'stream-origin-ask':
          server.receive(fromHostId, message);
          return;
        case 'stream-origin-answer':
          client.receive(fromHostId, message);
          return;
      }
    },
  };
}
