/**
 * The accepted configuration: changes it by compare-and-set, and brings the
 * newest revision into force on this host, never an older one.
 *
 * News of a new head comes by gossip and, as a second way, by a rare read of
 * the table. Its body comes from the table or, when that is down, from peers.
 */

import type {Clock, TimerHandle} from '../ports/clock.js';
import type {Logger} from '../ports/log.js';
import type {Random} from '../ports/random.js';
import type {ReadOutcome} from '../ports/table.js';
import {createChangeChannel, type ChangeChannel} from './change_channel.js';
import {applyChange, type ApplyOutcome} from './configuration_apply.js';
import {readRevision, type RevisionRead} from './configuration_reader.js';
import {
  HEAD_KEY,
  getRevisionKey,
  mayAdopt,
  parseHeadRevision,
  parseRevisionRow,
  type ConfigurationChange,
  type ConfigurationRevision,
  type RevisionRow,
} from './configuration_rules.js';
import type {FactStore} from './facts.js';
import {toRowMap, type TableClient} from './table_client.js';

export type {ApplyOutcome} from './configuration_apply.js';
export type {
  ConfigurationChange,
  ConfigurationRevision,
  RevisionRow,
} from './configuration_rules.js';

export interface ConfigurationKeeperHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TableClient;
  readonly facts: FactStore;
  readonly log?: Logger;
  /** Hosts that may be asked for a revision, without this one. */
  peers(): readonly string[];
  /** Revision 0 asks for the newest that the peer has in force. */
  fetchFromPeer(
    hostId: string,
    revision: number,
    timeoutMs: number,
  ): Promise<ConfigurationRevision | undefined>;
  /** Problems of a body; none when this host can run with it. */
  check(body: string): readonly string[];
}

export interface ConfigurationKeeperOptions {
  readonly hostId: string;
  /** Head reads a second for the whole fleet; sets how often each host reads. */
  readonly fleetHeadReadsPerSecond?: number;
}

export interface ConfigurationStatus {
  /** 0 while none is. */
  readonly inForceRevision: number;
  /** The newest revision this host has heard of. */
  readonly headRevision: number;
  /** Why the head is not in force, when it should be by now. */
  readonly problem?: string;
}

export interface ConfigurationKeeper {
  start(): void;
  stop(): void;
  /** What is in force on this host. */
  current(): ConfigurationRevision | undefined;
  status(): ConfigurationStatus;
  apply(change: ConfigurationChange): Promise<ApplyOutcome>;
  /** Makes the body of an older revision the next one. */
  rollback(
    toRevision: number,
    change: Omit<ConfigurationChange, 'body'>,
  ): Promise<ApplyOutcome>;
  show(revision: number): Promise<RevisionRead>;
  /** Newest first, without bodies. */
  history(limit: number): Promise<ReadOutcome<readonly RevisionRow[]>>;
  /** Each revision that comes into force here, in growing order. */
  readonly changes: ChangeChannel<ConfigurationRevision>;
}

const FACT_KEY = HEAD_KEY;
const FACT_TTL_MS = 60_000;
const DEFAULT_HEAD_READS_PER_SECOND = 130;
const MIN_POLL_MS = 1_000;
/** Spaces the reads of bodies: 1,300 hosts read each every 3.9 s. */
const PULL_SPACING_MS_PER_HOST = 3;
const RETRY_MS = 400;
const PEER_TIMEOUT_MS = 600;
const PEERS_ASKED = 3;
/** After a start without the table, peers asked before any is believed. */
const PEERS_ASKED_AT_START = 8;
const TABLE_USE = {priority: 'configuration', timeoutMs: 800} as const;
const APPLY_USE = {priority: 'configuration', timeoutMs: 5_000} as const;

export function createConfigurationKeeper(
  host: ConfigurationKeeperHost,
  options: ConfigurationKeeperOptions,
): ConfigurationKeeper {
  const {clock, random, table, facts, log} = host;
  const changes = createChangeChannel<ConfigurationRevision>();
  const fleetReads =
    options.fleetHeadReadsPerSecond ?? DEFAULT_HEAD_READS_PER_SECOND;
  let inForce: ConfigurationRevision | undefined;
  /** The newest revision fetched; newer than `inForce` if it failed a check. */
  let fetched: ConfigurationRevision | undefined;
  let headRevision = 0;
  let problem: string | undefined;
  let isPulling = false;
  let lastPullMs = -Infinity;
  let isStopped = false;
  let pollTimer: TimerHandle | undefined;
  let unlisten = () => undefined as void;

  const wait = (delayMs: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(delayMs, resolve);
    });
  const hostCount = () => host.peers().length + 1;
  const getFetchedRevision = () => fetched?.revision ?? 0;

  function offer(revision: ConfigurationRevision): void {
    if (!mayAdopt(getFetchedRevision(), revision.revision)) return;
    fetched = revision;
    headRevision = Math.max(headRevision, revision.revision);
    const problems = host.check(revision.body);
    if (problems.length > 0) {
      // Stays with what works, and says so: operators see it in the status.
      problem = `Revision ${revision.revision} is not usable: ${problems[0]}`;
      log?.error('Configuration not usable.', {revision: revision.revision});
      return;
    }
    inForce = revision;
    problem = undefined;
    publishHead(revision.revision);
    log?.info(`Configuration ${revision.revision} in force.`);
    changes.emit(revision);
  }

  function publishHead(revision: number): void {
    facts.publish({
      key: FACT_KEY,
      version: revision,
      body: new TextEncoder().encode(options.hostId),
      ttlMs: FACT_TTL_MS,
      reach: 'relayed',
    });
  }

  function hearOf(revision: number): void {
    headRevision = Math.max(headRevision, revision);
    if (headRevision > getFetchedRevision()) void pull();
  }

  /** Brings what is newer than ours here; one at a time. */
  async function pull(): Promise<void> {
    if (isPulling || isStopped) return;
    isPulling = true;
    // Spread over the fleet, and several changes are read at once.
    const spacingMs = hostCount() * PULL_SPACING_MS_PER_HOST;
    const dueMs = lastPullMs + spacingMs * (0.75 + random.nextFloat() / 2);
    if (dueMs > clock.nowMs()) await wait(dueMs - clock.nowMs());
    while (!isStopped && headRevision > getFetchedRevision()) {
      lastPullMs = clock.nowMs();
      const revision = await fetchHead();
      if (revision) offer(revision);
      if (headRevision <= getFetchedRevision()) break;
      problem ??= `Revision ${headRevision} cannot be read yet.`;
      await wait(RETRY_MS * (0.5 + random.nextFloat()));
    }
    isPulling = false;
  }

  async function fetchHead(): Promise<ConfigurationRevision | undefined> {
    const read = await readRevision(table, headRevision, fetched, TABLE_USE);
    if (read.kind === 'read') return read.revision;
    return fetchFromPeers(headRevision);
  }

  async function fetchFromPeers(
    wanted: number,
  ): Promise<ConfigurationRevision | undefined> {
    const fact = facts.get(FACT_KEY);
    const origin = fact && new TextDecoder().decode(fact.body);
    const asked = pickPeers(PEERS_ASKED);
    if (origin && origin !== options.hostId) asked.add(origin);
    const answers = await askPeers(asked);
    return answers.find(answer => answer.revision >= wanted);
  }

  function pickPeers(count: number): Set<string> {
    const peers = [...host.peers()];
    const picked = new Set<string>();
    while (picked.size < count && peers.length > 0) {
      picked.add(peers.splice(random.nextInt(peers.length), 1)[0]);
    }
    return picked;
  }

  /** Answers of peers, the newest first. */
  async function askPeers(
    hostIds: ReadonlySet<string>,
  ): Promise<readonly ConfigurationRevision[]> {
    const answers = await Promise.all(
      [...hostIds].map(hostId =>
        host.fetchFromPeer(hostId, 0, PEER_TIMEOUT_MS).catch(() => undefined),
      ),
    );
    return answers
      .flatMap(answer => answer ?? [])
      .sort((a, b) => b.revision - a.revision);
  }

  async function readHead(): Promise<'read' | 'failed'> {
    const outcome = await table.read([HEAD_KEY], TABLE_USE);
    if (outcome.kind === 'failed') return 'failed';
    hearOf(parseHeadRevision(outcome.value.at(0)));
    return 'read';
  }

  /**
   * Without the table a restarted host does not know what it had in force
   * before. It takes the newest of many peers, and nothing older than the
   * newest that gossip names, so that it does not go back.
   */
  async function recoverFromPeers(): Promise<void> {
    const answers = await askPeers(pickPeers(PEERS_ASKED_AT_START));
    const newest = answers.at(0);
    const named = facts.get(FACT_KEY)?.version ?? 0;
    if (newest && newest.revision >= Math.max(named, headRevision)) {
      offer(newest);
    }
  }

  function getPollMs(): number {
    const evenMs = (hostCount() / fleetReads) * 1_000;
    return Math.max(MIN_POLL_MS, evenMs) * (0.75 + random.nextFloat() / 2);
  }

  async function poll(): Promise<void> {
    const outcome = await readHead();
    if (outcome === 'failed' && !fetched) await recoverFromPeers();
    if (isStopped) return;
    const isWaiting = !fetched && outcome === 'failed';
    const delayMs = isWaiting ? RETRY_MS : getPollMs();
    pollTimer = clock.setTimer(delayMs, () => void poll());
  }

  async function show(revision: number): Promise<RevisionRead> {
    if (fetched?.revision === revision)
      return {kind: 'read', revision: fetched};
    return readRevision(table, revision, undefined, APPLY_USE);
  }

  async function apply(change: ConfigurationChange): Promise<ApplyOutcome> {
    const outcome = await applyChange(
      {clock, random, table, check: host.check, show},
      change,
      APPLY_USE,
    );
    if (outcome.kind === 'accepted') {
      // In force here first: this host serves it to peers, also when the
      // table goes down right after the acceptance.
      offer(outcome.accepted);
      hearOf(outcome.accepted.revision);
    }
    if (outcome.kind === 'lost') hearOf(outcome.to.revision);
    return outcome;
  }

  return {
    start() {
      unlisten = facts.changes.listen(fact => {
        if (fact.key === FACT_KEY) hearOf(fact.version);
      });
      const heard = facts.get(FACT_KEY);
      if (heard) hearOf(heard.version);
      void poll();
    },
    stop() {
      isStopped = true;
      unlisten();
      if (pollTimer) clock.clearTimer(pollTimer);
    },
    current: () => inForce,
    status() {
      const inForceRevision = inForce?.revision ?? 0;
      const isBehind = headRevision > inForceRevision;
      const isBehindProblem = isBehind ? problem : undefined;
      return {inForceRevision, headRevision, problem: isBehindProblem};
    },
    apply,
    async rollback(toRevision, change) {
      const read = await show(toRevision);
      if (read.kind === 'read') {
        return apply({...change, body: read.revision.body});
      }
      if (read.kind === 'failed') {
        return {kind: 'refused', reason: read.reason, retryAfterMs: RETRY_MS};
      }
      const problems = [`Revision ${toRevision} does not exist.`];
      return {kind: 'invalid', problems};
    },
    show,
    async history(limit) {
      const head = await table.read([HEAD_KEY], APPLY_USE);
      if (head.kind === 'failed') return head;
      const newest = parseHeadRevision(head.value.at(0));
      const keys: string[] = [];
      for (let n = newest; n > Math.max(0, newest - limit); n--) {
        keys.push(getRevisionKey(n));
      }
      const outcome = await table.read(keys, APPLY_USE);
      if (outcome.kind === 'failed') return outcome;
      const rows = toRowMap(outcome.value);
      const value = keys.flatMap(key => {
        const row = rows.get(key);
        return (row && parseRevisionRow(row)) ?? [];
      });
      return {kind: 'read', value};
    },
    changes,
  };
}
