/**
 * Engines that are gone without having announced it. Most are back within
 * seconds, in the role that they had, before another could take their place.
 */

import type {Clock} from '../../ports/clock.js';
import type {Upstream} from '../../core/upstream.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface LostEnginesHost {
  readonly clock: Clock;
  readonly registry: Pick<UpstreamRegistry, 'open' | 'get' | 'getOpen'>;
}

export interface LostEngines {
  /**
   * Engines of the service that were open in an earlier call, at most
   * `withinMs` ago, and have neither left nor started again.
   */
  find(service: string, withinMs: number): readonly Upstream[];
  clear(): void;
}

interface SeenEngine {
  readonly engine: Upstream;
  readonly atMs: number;
}

const isSameServer = (a: Upstream, b: Upstream) =>
  a.name === b.name || a.address === b.address;

export function createLostEngines(host: LostEnginesHost): LostEngines {
  const {clock, registry} = host;
  const seenByService = new Map<string, readonly SeenEngine[]>();

  const isLeaving = ({id}: Upstream) =>
    registry.get(id) !== undefined && registry.getOpen(id) === undefined;

  return {
    find(service, withinMs) {
      const nowMs = clock.nowMs();
      const open = registry.open(service);
      const lost = (seenByService.get(service) ?? []).filter(
        ({engine, atMs}) =>
          nowMs - atMs <= withinMs &&
          !isLeaving(engine) &&
          !open.some(each => isSameServer(each, engine)),
      );
      const seen = open.map(engine => ({engine, atMs: nowMs}));
      seenByService.set(service, [...seen, ...lost]);
      return lost.map(({engine}) => engine);
    },
    clear: () => seenByService.clear(),
  };
}
