/**
 * Releases the sessions of ended runs at engines. A failed release is retried
 * a few times; the sweep frees sessions that still remain.
 */

import type {Clock} from '../ports/clock.js';
import type {EnginePortFactory, OwnerTag} from '../ports/engine.js';
import type {Logger} from '../ports/log.js';

const MAX_TRIES = 4;
const FIRST_RETRY_MS = 100;
const CANCEL_TIMEOUT_MS = 1000;
const CONFIRM_AFTER_MS = 1000;

export interface ReleaserHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly enginePort: EnginePortFactory;
}

export interface Releaser {
  /**
   * With `mayBeInTransit`, a call of this run may still reach the engine after
   * the release. The release is then sent again after a delay that covers the
   * transit of the call.
   */
  release(address: string, owner: OwnerTag, mayBeInTransit: boolean): void;
}

export function createReleaser(host: ReleaserHost): Releaser {
  async function send(
    address: string,
    owner: OwnerTag,
    tries: number,
  ): Promise<void> {
    const outcome = await host
      .enginePort(address)
      .cancel(owner, CANCEL_TIMEOUT_MS);
    if (outcome === 'released' || outcome.reason === 'refused') return;
    if (tries >= MAX_TRIES) {
      host.log.warn('Could not release a run at an engine.', {
        requestId: owner.requestId,
        reason: outcome.reason,
      });
      return;
    }
    const delayMs = FIRST_RETRY_MS * 2 ** (tries - 1);
    host.clock.setTimer(delayMs, () => void send(address, owner, tries + 1));
  }

  return {
    release(address, owner, mayBeInTransit) {
      void send(address, owner, 1);
      if (!mayBeInTransit) return;
      host.clock.setTimer(CONFIRM_AFTER_MS, () => void send(address, owner, 1));
    },
  };
}
