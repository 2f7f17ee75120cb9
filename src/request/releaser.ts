/**
 * Tells engines to free what they hold for a run that ended. A lost message
 * is sent again a few times; what still stays is found by the sweep.
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
   * With `isDoubtful`, a call of this run may still be on its way to the
   * engine. Such a call begins after the release that overtook it, so the
   * release is sent once more when it must have arrived.
   */
  release(address: string, owner: OwnerTag, isDoubtful: boolean): void;
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
      host.log.warn('An engine could not be told to free a run.', {
        requestId: owner.requestId,
        reason: outcome.reason,
      });
      return;
    }
    const delayMs = FIRST_RETRY_MS * 2 ** (tries - 1);
    host.clock.setTimer(delayMs, () => void send(address, owner, tries + 1));
  }

  return {
    release(address, owner, isDoubtful) {
      void send(address, owner, 1);
      if (!isDoubtful) return;
      host.clock.setTimer(CONFIRM_AFTER_MS, () => void send(address, owner, 1));
    },
  };
}
