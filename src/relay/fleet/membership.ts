/**
 * Which hosts live, as far as this host can tell, and who tells whom.
 *
 * Few hosts each go by what they hear of each other. Of many, three coordinators
 * hear all; the others go by the word of the first of these that has had time
 * to hear everyone. What a host hears itself always counts.
 *
 * Word of who is gone goes down the order of coordinators only: a coordinator
 * goes by what it hears itself. Hosts that told on whatever they were told would
 * keep a dead one alive among them.
 */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {chooseCoordinators, createHostRanks, isMeshOf} from './coordinators.js';
import {createFollowedMembers, type MembersView} from './followed_members.js';
import {createHeardPeers, type HeardPeer} from './heard_peers.js';
import {createMemberLog} from './member_log.js';
import {
  createMemberTable,
  digestMember,
  type Member,
  type MemberChange,
} from './members.js';
import type {KnowingPeer} from './peer_datagrams.js';

export interface MembershipHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** This host as others are to know it. */
  self(): Member;
  onGone(hostId: string): void;
  /** The host is no longer heard, though it may live by others' word. */
  onUnheard(hostId: string): void;
  /** Live hosts, or what is known of them, have changed. */
  onChange(): void;
  /** As a coordinator, this host has found others dead. */
  onSilent(): void;
  /** All members that the peer knows; undefined if it does not answer. */
  fetchMembers(from: Member): Promise<readonly Member[] | undefined>;
}

export interface MembershipOptions {
  readonly hostId: string;
  /** How often `tick` is called. */
  readonly tickMs: number;
}

export interface Membership {
  /** Whether hosts are so few that all tell each other everything. */
  isMesh(): boolean;
  /** Whether this host hears all others and tells them who lives. */
  isCoordinator(): boolean;
  /** First choice first, this host perhaps among them. */
  coordinatorIds(): readonly string[];
  /** Whether a coordinator that hears all tells this host who lives. */
  isFollowing(): boolean;
  /** As a coordinator: all that live have had time to be heard. */
  isSettled(): boolean;
  /** Live hosts but this one; the same array until something changes. */
  list(): readonly Member[];
  /** A live host, or one that was heard before. */
  find(hostId: string): Member | undefined;
  /** Peers ever known, dead ones too. */
  knownCount(): number;
  isHeard(hostId: string): boolean;
  /** What the live peers that this host hears know of the store. */
  knowledge(): readonly KnowingPeer[];
  /** False for word that later word of the same life has overtaken. */
  noteHeard(peer: HeardPeer): boolean;
  /** Whether an earlier word of the same life said that it is settled. */
  wasSettled(hostId: string, incarnation: string): boolean;
  follow(view: MembersView, fromHostId: string): void;
  /** A coordinator was sent what it needs to know this host. */
  noteTold(hostId: string): void;
  /** Ends peers that were silent for too long, and the like. */
  tick(): void;
  /** As a coordinator: hosts that should have been heard by now. */
  lateMembers(): readonly Member[];
  /** The same, those lost lately, and members never heard. */
  missedIds(): readonly string[];
  /** What this host knows of all, for those that go by its word. */
  view(): MembersView;
}

/** Three repeats in a row lost, or the peer is dead, frozen or cut off. */
const SILENT_REPEATS = 3.6;
/** A coordinator asks a host that was silent for this long whether it lives. */
const LATE_REPEATS = 2;
/**
 * A coordinator takes a host for dead once another one misses it, too, or
 * after so many times the silence: a coordinator whose own link loses packets
 * must not take living hosts out of the answers of all.
 */
const ALONE_FACTOR = 2;
/** A new coordinator has heard all that live and know it by then. */
const SETTLE_MS = 2_500;
/**
 * A coordinator that was told the state of this host and says nothing is passed
 * over: whoever is asked for a view sends one at once.
 */
const NO_ANSWER_MS = 500;
/** One that was passed over is tried again after this. */
const TRY_AGAIN_MS = 20_000;
/** For this long other coordinators are told of a host that was lost. */
const LOSS_TOLD_MS = 5_000;
/** A tick that is so late shows that this process stood still. */
const SUSPENDED_MS = 1_000;
const MOST_MISSED_TOLD = 200;

export function createMembership(
  host: MembershipHost,
  options: MembershipOptions,
): Membership {
  const {clock, log} = host;
  const {hostId: ownId, tickMs} = options;
  const rankOf = createHostRanks();
  const heard = createHeardPeers(clock);
  const followed = createFollowedMembers({
    clock,
    onChange: refresh,
    fetchMembers: host.fetchMembers,
  });
  const live = createMemberTable();
  const changes = createMemberLog(clock);
  const known = new Set<string>();
  /** By host: when this one, as a coordinator, lost it. */
  const lostAtMs = new Map<string, number>();
  /** When each coordinator was first told the state of this host as such. */
  const toldSinceMs = new Map<string, number>();
  let lastTickAtMs: number | undefined;
  /** Undefined when it has to be worked out anew. */
  let coordinators: readonly string[] | undefined;
  let coordinatesSinceMs: number | undefined;
  let toldSelfDigest: number | undefined;

  /** Follows from what this host hears and from what it is told. */
  function refresh(hostId: string): void {
    if (hostId === ownId) return;
    const before = live.get(hostId);
    const now = heard.get(hostId)?.member ?? followed.get(hostId);
    const isGone = before && before.incarnation !== now?.incarnation;
    const isChanged = now ? live.set(now) : live.delete(hostId);
    if (!isChanged) return;
    if (now) {
      known.add(hostId);
      changes.note({kind: 'up', member: now});
      if (!before) log.info('Peer known.', {peer: hostId, state: now.state});
    } else {
      changes.note({kind: 'down', hostId});
      log.info('Peer lost.', {peer: hostId});
    }
    coordinators = undefined;
    if (isGone) host.onGone(hostId);
    host.onChange();
  }

  function isAnswering(hostId: string): boolean {
    if (hostId === ownId || heard.get(hostId)) return true;
    const sinceMs = toldSinceMs.get(hostId);
    return sinceMs === undefined || clock.nowMs() - sinceMs < NO_ANSWER_MS;
  }

  function coordinatorIds(): readonly string[] {
    coordinators ??= chooseCoordinators(
      [host.self(), ...live.list()],
      rankOf,
      isAnswering,
    );
    return coordinators;
  }

  const isMesh = () => isMeshOf(live.count() + 1);
  const isCoordinator = () => !isMesh() && coordinatorIds().includes(ownId);

  /** The coordinator whose word this host takes for who is gone. */
  function findLeader(): string | undefined {
    return coordinatorIds().find(
      id => id !== ownId && heard.get(id)?.isSettled,
    );
  }

  function isSettled(): boolean {
    if (coordinatesSinceMs === undefined) return false;
    return clock.nowMs() - coordinatesSinceMs >= SETTLE_MS;
  }

  function noteCoordinating(): void {
    const nowMs = clock.nowMs();
    for (const [hostId, sinceMs] of toldSinceMs) {
      if (nowMs - sinceMs >= TRY_AGAIN_MS) toldSinceMs.delete(hostId);
    }
    // Who answers changes with time.
    coordinators = undefined;
    const isNow = isCoordinator();
    if (isNow === (coordinatesSinceMs !== undefined)) return;
    coordinatesSinceMs = isNow ? nowMs : undefined;
    const sentence = isNow
      ? 'Tells all who lives.'
      : 'Goes by what it is told.';
    const coordinates = coordinatorIds().join(' ');
    log.info(sentence, {members: live.count(), coordinates});
  }

  const isLate = (peer: HeardPeer) =>
    heard.silentMs(peer) >= LATE_REPEATS * peer.nextWithinMs;

  /** Whether another coordinator misses the host, or there is none to ask. */
  function isMissedElsewhere(hostId: string): boolean {
    const others = coordinatorIds()
      .filter(id => id !== ownId && id !== hostId)
      .map(id => heard.get(id))
      .filter(each => each !== undefined);
    if (others.length === 0) return true;
    return others.some(({missedIds}) => missedIds.includes(hostId));
  }

  function checkSilent(): void {
    const needsWitness = isCoordinator();
    const lost = heard.takeSilent(peer => {
      const mostMs = SILENT_REPEATS * peer.nextWithinMs;
      const silentMs = heard.silentMs(peer);
      if (silentMs < mostMs) return false;
      if (!needsWitness || silentMs >= ALONE_FACTOR * mostMs) return true;
      return isMissedElsewhere(peer.member.hostId);
    });
    for (const {member} of lost) {
      if (needsWitness) lostAtMs.set(member.hostId, clock.nowMs());
      host.onUnheard(member.hostId);
      refresh(member.hostId);
    }
    if (lost.length === 0) return;
    coordinators = undefined;
    if (needsWitness) host.onSilent();
  }

  /**
   * Guards against a process that stood still and takes all others for dead:
   * they had no chance to be heard, and as a coordinator it would tell all
   * hosts so. The gap between two ticks shows it.
   */
  function noteSuspension(): void {
    const nowMs = clock.nowMs();
    const stoodStillMs = nowMs - (lastTickAtMs ?? nowMs) - tickMs;
    lastTickAtMs = nowMs;
    if (stoodStillMs < SUSPENDED_MS) return;
    log.warn('This process stood still.', {
      durationMs: Math.round(stoodStillMs),
    });
    heard.wasSuspended(stoodStillMs);
    followed.renew();
    if (coordinatesSinceMs !== undefined) coordinatesSinceMs = nowMs;
  }

  /** The last coordinator to miss a host needs the word of the first, too. */
  function lostLately(): readonly string[] {
    for (const [hostId, atMs] of lostAtMs) {
      if (clock.nowMs() - atMs >= LOSS_TOLD_MS) lostAtMs.delete(hostId);
    }
    return [...lostAtMs.keys()];
  }

  function recentChanges(): readonly MemberChange[] {
    const own = host.self();
    const digest = digestMember(own);
    if (digest !== toldSelfDigest) changes.note({kind: 'up', member: own});
    toldSelfDigest = digest;
    return changes.recent();
  }

  return {
    isMesh,
    isCoordinator,
    coordinatorIds,
    isFollowing: () => findLeader() !== undefined,
    isSettled,
    list: live.list,
    find: hostId => live.get(hostId) ?? heard.last(hostId)?.member,
    knownCount: () => known.size,
    isHeard: hostId => heard.get(hostId) !== undefined,
    knowledge: () => heard.live().map(({knowledge}) => knowledge),
    noteHeard(peer) {
      const {hostId, incarnation} = peer.member;
      const last = heard.last(hostId);
      const isSameLife = last?.member.incarnation === incarnation;
      if (isSameLife && peer.sequence <= last.sequence) return false;
      heard.set(peer);
      lostAtMs.delete(hostId);
      refresh(hostId);
      return true;
    },
    wasSettled(hostId, incarnation) {
      const last = heard.last(hostId);
      return last?.member.incarnation === incarnation && last.isSettled;
    },
    follow(view, fromHostId) {
      const from = heard.get(fromHostId)?.member;
      if (!from) return;
      if (isCoordinator()) {
        // One that has just begun asks for views until it has heard everyone.
        // Else who sends it a view knows others that come before it by rank.
        const hasLastWord = !isSettled() && findLeader() === fromHostId;
        followed.hear(view, from, hasLastWord);
        return;
      }
      const leader = findLeader();
      if (leader === undefined || leader === fromHostId) {
        followed.hear(view, from, leader === fromHostId);
      } else if (coordinatorIds().includes(fromHostId)) {
        followed.renew();
      }
    },
    noteTold(hostId) {
      if (!toldSinceMs.has(hostId)) toldSinceMs.set(hostId, clock.nowMs());
    },
    tick() {
      noteSuspension();
      checkSilent();
      noteCoordinating();
      if (isSettled()) followed.clear();
      else followed.expire();
    },
    lateMembers() {
      if (!isCoordinator()) return [];
      return heard
        .live()
        .filter(isLate)
        .map(({member}) => member);
    },
    missedIds() {
      if (!isCoordinator()) return [];
      const missed = live
        .list()
        .map(({hostId}) => hostId)
        .filter(hostId => {
          const peer = heard.get(hostId);
          return !peer || isLate(peer);
        });
      return [...lostLately(), ...missed].slice(0, MOST_MISSED_TOLD);
    },
    view() {
      const memberChanges = recentChanges();
      const ownDigest = digestMember(host.self());
      return {membersDigest: (live.digest() ^ ownDigest) >>> 0, memberChanges};
    },
  };
}
