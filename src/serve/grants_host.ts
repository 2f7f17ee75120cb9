/**
 * Grants in this process: runs the homes of the shards that it owns, and
 * selects the shard for each request of its entry among those of all processes.
 */

import {createPeerGrants, type HomePort} from '../adapters/peer_grants.js';
import type {Settings} from '../core/settings_types.js';
import {
  createShardMap,
  type Shard,
  type ShardEngine,
} from '../core/shard_map.js';
import type {Upstream} from '../core/upstream_list.js';
import type {TimerHandle} from '../ports/clock.js';
import {
  createShardChoice,
  type ShardChoice,
  type ShardView,
} from '../scheduling/shard_choice.js';
import type {ShardSummary} from '../scheduling/shard_home.js';
import type {Fleet} from './fleet.js';
import {createHomeHost, type HomeHost} from './home_host.js';
import {decodeSummary, encodeSummary, getSummaryKey} from './summary_codec.js';
import type {ProcessAdapters} from './process_adapters.js';

const PUBLISH_INTERVAL_MS = 1000;
const SUMMARY_TTL_MS = 10_000;
const UINT32_RANGE = 2 ** 32;

export interface GrantsHostPorts {
  getSettings(): Settings | undefined;
  getUpstreams(): readonly Upstream[];
  onEngineLeaving(engineId: string): void;
}

export interface GrantsHost {
  readonly choice: ShardChoice;
  readonly homes: HomeHost;
  start(): void;
  /** Applies a change of upstreams, members or settings. */
  update(): void;
  shards(): readonly Shard[];
  stop(): void;
}

interface ReceivedSummary {
  readonly summary: ShardSummary;
  readonly receivedAtMs: number;
}

function isShardEngine(
  upstream: Upstream,
): upstream is Upstream & {readonly role: ShardEngine['role']} {
  return upstream.kind === 'model' && upstream.role !== undefined;
}

export function createGrantsHost(
  adapters: ProcessAdapters,
  {membership, owners}: Fleet,
  ports: GrantsHostPorts,
): GrantsHost {
  const {clock, random, enginePort} = adapters;
  const {hostId, failureDomain: ownFailureDomain} = adapters.host;
  const {facts} = membership;
  const log = adapters.createLogger('grants');
  const receivedSummaries = new Map<string, ReceivedSummary>();
  const peers = new Map<string, HomePort>();
  const lastHomeIds = new Map<string, string>();
  let shards: readonly Shard[] = [];
  let timer: TimerHandle | undefined;
  let version = Math.floor(clock.wallMs() / PUBLISH_INTERVAL_MS) % UINT32_RANGE;

  const homes = createHomeHost({
    clock,
    random,
    log,
    enginePort,
    onEngineLeaving: ports.onEngineLeaving,
  });

  function getHomeId(shard: Shard): string | undefined {
    return owners.ownerOf(getSummaryKey(shard.shardId), shard.failureDomain);
  }

  function getHomePort(shard: Shard): HomePort | undefined {
    const homeId = getHomeId(shard);
    if (homeId === undefined) return undefined;
    if (homeId === hostId) return homes.find(shard.shardId);
    const address = membership.get(homeId)?.address;
    if (!address) return undefined;
    const key = `${address} ${shard.shardId}`;
    let peer = peers.get(key);
    if (!peer) {
      const transport = adapters.getTransport(address);
      peer = createPeerGrants({clock}, transport, shard.shardId);
      peers.set(key, peer);
    }
    return peer;
  }

  function createShardViews(shard: Shard): readonly ShardView[] {
    const grantPort = getHomePort(shard);
    if (!grantPort) return [];
    const {shardId} = shard;
    const failureDomain = shard.failureDomain ?? ownFailureDomain;
    const ownSummary = homes.find(shardId)?.summary();
    if (ownSummary) {
      return [
        {shardId, failureDomain, grantPort, summary: ownSummary, ageMs: 0},
      ];
    }
    const received = receivedSummaries.get(shardId);
    const ageMs = received ? clock.nowMs() - received.receivedAtMs : Infinity;
    return [
      {shardId, failureDomain, grantPort, summary: received?.summary, ageMs},
    ];
  }

  const choice = createShardChoice(
    {clock, random, log},
    {
      ownFailureDomain,
      shards: service =>
        shards
          .filter(shard => shard.service === service)
          .flatMap(createShardViews),
    },
  );

  /** Reports the grants that this entry holds to the new home of a shard. */
  function reportHeldGrants(shard: Shard): void {
    const homeId = getHomeId(shard);
    const previousHomeId = lastHomeIds.get(shard.shardId);
    if (homeId === undefined || homeId === previousHomeId) return;
    lastHomeIds.set(shard.shardId, homeId);
    if (previousHomeId === undefined) return;
    const heldGrants = choice.heldGrants(shard.shardId);
    log.info('A shard has a new home.', {
      shardId: shard.shardId,
      homeId,
      heldGrants: heldGrants.length,
    });
    const home = getHomePort(shard);
    for (const grant of heldGrants) home?.adopt(grant);
  }

  function publish(): void {
    version = (version + 1) % UINT32_RANGE;
    for (const summary of homes.summaries()) {
      facts.publish({
        key: getSummaryKey(summary.shardId),
        version,
        body: encodeSummary(summary),
        ttlMs: SUMMARY_TTL_MS,
        reach: 'direct',
      });
    }
    timer = clock.setTimer(PUBLISH_INTERVAL_MS, publish);
  }

  facts.changes.listen(fact => {
    if (!fact.key.startsWith(getSummaryKey(''))) return;
    const summary = decodeSummary(fact.body);
    if (!summary) return;
    const receivedAtMs = clock.nowMs();
    receivedSummaries.set(summary.shardId, {summary, receivedAtMs});
  });

  function update(): void {
    const settings = ports.getSettings();
    if (!settings) return;
    const upstreams = ports.getUpstreams();
    const engines = upstreams.filter(isShardEngine);
    shards = settings.services
      .filter(service => service.kind === 'model')
      .flatMap(service =>
        createShardMap(
          service.name,
          engines
            .filter(engine => engine.service === service.name)
            .map(({id, ...rest}) => ({engineId: id, ...rest})),
        ),
      );
    const leavingEngineIds = new Set(
      upstreams.filter(item => item.isLeaving).map(item => item.id),
    );
    const ownShards = shards.filter(shard => getHomeId(shard) === hostId);
    homes.update({settings, ownShards, leavingEngineIds});
    for (const shard of shards) reportHeldGrants(shard);
  }

  return {
    choice,
    homes,
    start: publish,
    update,
    shards: () => shards,
    stop() {
      if (timer) clock.clearTimer(timer);
      homes.stop();
    },
  };
}
