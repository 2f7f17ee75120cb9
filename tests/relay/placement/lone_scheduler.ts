/** The scheduler of a single host without peers, in virtual time. */

import type {Service} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import type {Clock} from '../../../src/ports/clock.js';
import {createEngineBooks} from '../../../src/relay/placement/engine_books.js';
import {createEngineScheduler} from '../../../src/relay/placement/engine_scheduler.js';
import {createSharedLearning} from '../../../src/relay/placement/shared_learning.js';
import type {Upstream} from '../../../src/core/upstream.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {oneGroup} from './one_group.js';
import {revisionAt} from '../../support/store_revisions.js';

export function makeService(kvTokens: number): Service {
  return {
    name: 'brief-llm',
    healthPath: '/healthz',
    maxConnections: 100,
    engine: {
      slots: 48,
      kvTokens,
      tokensPerEvent: 12,
      prefillLifeMs: 500,
      roleChangeMs: 6_000,
    },
  };
}

/** The id determines the role: `p1` prefills, `d1` decodes. */
export function makeEngine(id: string): Upstream {
  return {
    id,
    name: id,
    service: 'brief-llm',
    address: `${id}:1`,
    failureDomain: 'bp-obuda',
    slots: 48,
    isDraining: false,
    heartbeat: revisionAt(1),
    role: id.startsWith('p') ? 'prefill' : 'decode',
  };
}

export function makeLoneScheduler(
  clock: Clock,
  engineIds: readonly string[],
  random = createSeededRandom(3),
) {
  const registry = createUpstreamRegistry({clock, log: silentLog});
  registry.apply({
    revision: revisionAt(1),
    upstreams: engineIds.map(makeEngine),
  });
  const books = createEngineBooks();
  const learning = createSharedLearning({clock});
  const scheduler = createEngineScheduler({
    clock,
    random,
    log: silentLog,
    registry,
    books,
    learning,
    groups: oneGroup,
    peers: {
      waiting: () => [],
      isSuspect: () => false,
      isFull: () => false,
      isChanging: () => false,
      isAwaited: () => false,
    },
    isChanging: () => false,
    isHeld: () => false,
    onChange: () => undefined,
  });
  return {registry, books, learning, scheduler};
}
