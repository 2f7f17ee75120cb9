/**
 * Changes the accepted configuration by compare-and-set and applies the newest
 * revision on this host. A host never goes back to an older revision.
 *
 * A new head revision is learned by gossip or, as a fallback, by an occasional
 * read of the table. Its body is read from the table, or from peers while the
 * table is unavailable.
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
  /** Hosts from which a revision can be fetched, excluding this one. */
  peers(): readonly string[];
  /** Revision 0 fetches the newest revision in force at the peer. */
  fetchFromPeer(
    hostId: string,
    revision: number,
    timeoutMs: number,
  ): Promise<ConfigurationRevision | undefined>;
  /** Returns the problems of a body; empty when this host can use it. */
  check(body: string): readonly string[];
}

export interface ConfigurationKeeperOptions {
  readonly hostId: string;
  /** Total head reads per second of all hosts; sets the poll interval. */
  readonly fleetHeadReadsPerSecond?: number;
}

export interface ConfigurationStatus {
  /** 0 while no revision is in force. */
  readonly inForceRevision: number;
  /** The newest revision known to this host. */
  readonly headRevision: number;
  /** Why the head revision is not in force yet. */
  readonly problem?: string;
}

export interface ConfigurationKeeper {
  start(): void;
  stop(): void;
  /** Returns the revision in force on this host. */
  current(): ConfigurationRevision | undefined;
  status(): ConfigurationStatus;
  apply(change: ConfigurationChange): Promise<ApplyOutcome>;
  /** Applies the body of an older revision as a new revision. */
  rollback(
    toRevision: number,
    change: Omit<ConfigurationChange, 'body'>,
  ): Promise<ApplyOutcome>;
  show(revision: number): Promise<RevisionRead>;
  /** Returns the newest revisions first, without bodies. */
  history(limit: number): Promise<ReadOutcome<readonly RevisionRow[]>>;
  /** Emits each revision that comes into force here, in ascending order. */
  readonly changes: ChangeChannel<ConfigurationRevision>;
}

const FACT_KEY = HEAD_KEY;
const FACT_TTL_MS = 60_000;
const DEFAULT_HEAD_READS_PER_SECOND = 130;
const MIN_POLL_MS = 1_000;
/** Limits reads of bodies: with 1,300 hosts, each reads every 3.9 s. */
const PULL_SPACING_MS_PER_HOST = 3;
const RETRY_MS = 400;
const PEER_TIMEOUT_MS = 600;
const PEERS_PER_FETCH = 3;
/** Peers queried before one is trusted when a host starts without the table. */
const PEERS_PER_RECOVERY = 8;
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
  /** The newest fetched revision; newer than `inForce` if its check failed. */
  let fetched: ConfigurationRevision | undefined;
  let headRevision = 0;
  let problem: string | undefined;
  let isPulling = false;
  let lastPullMs = -Infinity;
  let isStopped = false;
  let pollTimer: TimerHandle | undefined;
  let unsubscribe = () => undefined as void;

  const wait = (delayMs: number) =>
    new Promise<void>(resolve => {
      clock.setTimer(delayMs, resolve);
    });
  const hostCount = () => host.peers().length + 1;
  const getFetchedRevision = () => fetched?.revision ?? 0;

  function adopt(revision: ConfigurationRevision): void {
    if (!mayAdopt(getFetchedRevision(), revision.revision)) return;
    fetched = revision;
    headRevision = Math.max(headRevision, revision.revision);
    const problems = host.check(revision.body);
    if (problems.length > 0) {
      // Keeps the revision in force; operators see the problem in the status.
      problem = `Revision ${revision.revision} is not usable: ${problems[0]}`;
      log?.error('Configuration revision failed its check.', {
        revision: revision.revision,
      });
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

  function observeHead(revision: number): void {
    headRevision = Math.max(headRevision, revision);
    if (headRevision > getFetchedRevision()) void pull();
  }

  /** Fetches the head revision if it is newer; only one fetch runs at a time. */
  async function pull(): Promise<void> {
    if (isPulling || isStopped) return;
    isPulling = true;
    // The delay spreads reads over all hosts and combines several changes.
    const spacingMs = hostCount() * PULL_SPACING_MS_PER_HOST;
    const dueMs = lastPullMs + spacingMs * (0.75 + random.nextFloat() / 2);
    if (dueMs > clock.nowMs()) await wait(dueMs - clock.nowMs());
    while (!isStopped && headRevision > getFetchedRevision()) {
      lastPullMs = clock.nowMs();
      const revision = await fetchHead();
      if (revision) adopt(revision);
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
    const peerIds = pickPeers(PEERS_PER_FETCH);
    if (origin && origin !== options.hostId) peerIds.add(origin);
    const answers = await askPeers(peerIds);
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

  /** Returns the peers' revisions, newest first. */
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
    observeHead(parseHeadRevision(outcome.value.at(0)));
    return 'read';
  }

  /**
   * Adopts the newest revision of several peers when the table is unavailable
   * at startup. A restarted host does not know its former revision, so it
   * rejects any revision older than the head known by gossip.
   */
  async function recoverFromPeers(): Promise<void> {
    const answers = await askPeers(pickPeers(PEERS_PER_RECOVERY));
    const newest = answers.at(0);
    const gossipedRevision = facts.get(FACT_KEY)?.version ?? 0;
    if (newest && newest.revision >= Math.max(gossipedRevision, headRevision)) {
      adopt(newest);
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
      // Adopted here first, so that peers can fetch it from this host if the
      // table becomes unavailable right after the write.
      adopt(outcome.accepted);
      observeHead(outcome.accepted.revision);
    }
    if (outcome.kind === 'lost') observeHead(outcome.to.revision);
    return outcome;
  }

  return {
    start() {
      unsubscribe = facts.changes.listen(fact => {
        if (fact.key === FACT_KEY) observeHead(fact.version);
      });
      const headFact = facts.get(FACT_KEY);
      if (headFact) observeHead(headFact.version);
      void poll();
    },
    stop() {
      isStopped = true;
      unsubscribe();
      if (pollTimer) clock.clearTimer(pollTimer);
    },
    current: () => inForce,
    status() {
      const inForceRevision = inForce?.revision ?? 0;
      const isBehind = headRevision > inForceRevision;
      const currentProblem = isBehind ? problem : undefined;
      return {inForceRevision, headRevision, problem: currentProblem};
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
