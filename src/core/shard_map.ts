/**
 * Divides the engines of a model service into shards. One process, the home of
 * the shard, grants its engines, so a shard needs engines of both roles.
 *
 * All processes compute the same map from the same list of engines. While their
 * lists differ, an engine may have two homes; then only the engine's own
 * admission prevents overload.
 */

import type {EngineRole} from '../ports/engine.js';

/** Engines per shard; more allow better placement but cost the home more. */
const TARGET_ENGINES = 16;

export interface ShardEngine {
  readonly engineId: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly role: EngineRole;
}

export interface Shard {
  /** `service/domain/number`, or `service/all/number` across domains. */
  readonly shardId: string;
  readonly service: string;
  /** Undefined if the shard spans failure domains. */
  readonly failureDomain?: string;
  readonly engines: readonly ShardEngine[];
}

const roles: readonly EngineRole[] = ['prefill', 'decode'];

function compareIds(a: ShardEngine, b: ShardEngine): number {
  return a.engineId < b.engineId ? -1 : a.engineId > b.engineId ? 1 : 0;
}

function filterByRole(engines: readonly ShardEngine[], role: EngineRole) {
  return engines.filter(engine => engine.role === role);
}

/** Returns part `index` of `count` even parts. */
function getSlice(
  engines: readonly ShardEngine[],
  index: number,
  count: number,
): readonly ShardEngine[] {
  const from = Math.floor((engines.length * index) / count);
  const to = Math.floor((engines.length * (index + 1)) / count);
  return engines.slice(from, to);
}

function splitIntoShards(
  service: string,
  failureDomain: string | undefined,
  engines: readonly ShardEngine[],
): readonly Shard[] {
  const maxShards = Math.min(
    ...roles.map(role => filterByRole(engines, role).length),
  );
  const targetShards = Math.round(engines.length / TARGET_ENGINES);
  const count = Math.max(1, Math.min(targetShards, maxShards));
  const sorted = [...engines].sort(compareIds);
  return Array.from({length: count}, (_, index) => ({
    shardId: `${service}/${failureDomain ?? 'all'}/${index}`,
    service,
    failureDomain,
    engines: roles.flatMap(role =>
      getSlice(filterByRole(sorted, role), index, count),
    ),
  }));
}

/** Whether the engines of a domain suffice for their own shards. */
function canFormOwnShards(engines: readonly ShardEngine[]): boolean {
  return (
    engines.length >= TARGET_ENGINES / 2 &&
    roles.every(role => filterByRole(engines, role).length > 0)
  );
}

/** Returns the shards of one service. */
export function createShardMap(
  service: string,
  engines: readonly ShardEngine[],
): readonly Shard[] {
  if (engines.length === 0) return [];
  const byDomain = new Map<string, ShardEngine[]>();
  for (const engine of engines) {
    const group = byDomain.get(engine.failureDomain) ?? [];
    group.push(engine);
    byDomain.set(engine.failureDomain, group);
  }
  const groups = [...byDomain.entries()].sort(([a], [b]) => (a < b ? -1 : 1));
  if (!groups.every(([, group]) => canFormOwnShards(group))) {
    return splitIntoShards(service, undefined, engines);
  }
  return groups.flatMap(([domain, group]) =>
    splitIntoShards(service, domain, group),
  );
}
