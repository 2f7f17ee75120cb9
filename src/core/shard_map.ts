/**
 * Cuts the engines of a model service into shards. One process is home to a
 * shard and alone hands out its engines, so a shard needs both roles.
 *
 * Every process works the same map out of the same list of engines; where
 * lists differ for a while, an engine may have two homes, and its own
 * admission is the backstop.
 */

import type {EngineRole} from '../ports/engine.js';

/** Engines in a shard; a home's cost grows with it, its choice gets better. */
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
  /** Undefined when the shard spans domains. */
  readonly failureDomain?: string;
  readonly engines: readonly ShardEngine[];
}

const roles: readonly EngineRole[] = ['prefill', 'decode'];

function compareIds(a: ShardEngine, b: ShardEngine): number {
  return a.engineId < b.engineId ? -1 : a.engineId > b.engineId ? 1 : 0;
}

function withRole(engines: readonly ShardEngine[], role: EngineRole) {
  return engines.filter(engine => engine.role === role);
}

/** Part `index` of `count` even parts. */
function sliceOf(
  engines: readonly ShardEngine[],
  index: number,
  count: number,
): readonly ShardEngine[] {
  const from = Math.floor((engines.length * index) / count);
  const to = Math.floor((engines.length * (index + 1)) / count);
  return engines.slice(from, to);
}

function cutGroup(
  service: string,
  failureDomain: string | undefined,
  engines: readonly ShardEngine[],
): readonly Shard[] {
  const fewest = Math.min(...roles.map(role => withRole(engines, role).length));
  const wanted = Math.round(engines.length / TARGET_ENGINES);
  const count = Math.max(1, Math.min(wanted, fewest));
  const sorted = [...engines].sort(compareIds);
  return Array.from({length: count}, (_, index) => ({
    shardId: `${service}/${failureDomain ?? 'all'}/${index}`,
    service,
    failureDomain,
    engines: roles.flatMap(role =>
      sliceOf(withRole(sorted, role), index, count),
    ),
  }));
}

/** Whether a domain's engines can be shards of their own. */
function canStandAlone(engines: readonly ShardEngine[]): boolean {
  return (
    engines.length >= TARGET_ENGINES / 2 &&
    roles.every(role => withRole(engines, role).length > 0)
  );
}

/** The shards of one service. */
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
  if (!groups.every(([, group]) => canStandAlone(group))) {
    return cutGroup(service, undefined, engines);
  }
  return groups.flatMap(([domain, group]) => cutGroup(service, domain, group));
}
