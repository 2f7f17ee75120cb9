/**
 * Grants in this process: the homes that run here, and the entry's choice
 * among the homes of all processes.
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
import type {World} from './world.js';

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
  /** Follows a change of upstreams, members or settings. */
  update(): void;
  shards(): readonly Shard[];
  stop(): void;
}

interface HeardSummary {
  readonly summary: ShardSummary;
  readonly atMs: number;
}

function isShardEngine(
  upstream: Upstream,
): upstream is Upstream & {readonly role: ShardEngine['role']} {
  return upstream.kind === 'model' && upstream.role !== undefined;
}

export function createGrantsHost(
  world: World,
  {membership, owners}: Fleet,
  ports: GrantsHostPorts,
): GrantsHost {
  const {clock, random, enginePort} = world;
  const {hostId, failureDomain: ownFailureDomain} = world.host;
  const {facts} = membership;
  const log = world.createLogger('grants');
  const heard = new Map<string, HeardSummary>();
  const peers = new Map<string, HomePort>();
  const homeIds = new Map<string, string>();
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

  function homeIdOf(shard: Shard): string | undefined {
    return owners.ownerOf(getSummaryKey(shard.shardId), shard.failureDomain);
  }

  function homePort(shard: Shard): HomePort | undefined {
    const homeId = homeIdOf(shard);
    if (homeId === undefined) return undefined;
    if (homeId === hostId) return homes.find(shard.shardId);
    const address = membership.get(homeId)?.address;
    if (!address) return undefined;
    const key = `${address} ${shard.shardId}`;
    let peer = peers.get(key);
    if (!peer) {
      const transport = world.getTransport(address);
      peer = createPeerGrants({clock}, transport, shard.shardId);
      peers.set(key, peer);
    }
    return peer;
  }

  function viewOf(shard: Shard): readonly ShardView[] {
    const grantPort = homePort(shard);
    if (!grantPort) return [];
    const {shardId} = shard;
    const failureDomain = shard.failureDomain ?? ownFailureDomain;
    const own = homes.find(shardId)?.summary();
    if (own) {
      return [{shardId, failureDomain, grantPort, summary: own, ageMs: 0}];
    }
    const known = heard.get(shardId);
    const ageMs = known ? clock.nowMs() - known.atMs : Infinity;
    return [
      {shardId, failureDomain, grantPort, summary: known?.summary, ageMs},
    ];
  }

  const choice = createShardChoice(
    {clock, random, log},
    {
      ownFailureDomain,
      shards: service =>
        shards.filter(shard => shard.service === service).flatMap(viewOf),
    },
  );

  /** Tells a shard's new home what this entry holds of its engines. */
  function announceTo(shard: Shard): void {
    const homeId = homeIdOf(shard);
    const before = homeIds.get(shard.shardId);
    if (homeId === undefined || homeId === before) return;
    homeIds.set(shard.shardId, homeId);
    if (before === undefined) return;
    const held = choice.heldGrants(shard.shardId);
    log.info('A shard has a new home.', {
      shardId: shard.shardId,
      homeId,
      heldGrants: held.length,
    });
    const home = homePort(shard);
    for (const announced of held) home?.adopt(announced);
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
    const atMs = clock.nowMs();
    heard.set(summary.shardId, {summary, atMs});
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
    const ownShards = shards.filter(shard => homeIdOf(shard) === hostId);
    homes.update({settings, ownShards, leavingEngineIds});
    for (const shard of shards) announceTo(shard);
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
