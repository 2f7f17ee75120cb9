/**
 * Prepares the attempt that is to follow a silent one: an upstream that answers,
 * a slot there and a retry. Until it is sent, all of it can be given back.
 */

import type {Cancellation} from '../../ports/relay.js';
import type {RelayJob} from '../relay_types.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import type {NextAttempt, UpstreamSilence} from './attempt_watch.js';
import type {Slot, SlotClient, SlotNeed} from './slot_client.js';

export interface NextAttemptsHost {
  readonly slots: SlotClient;
  readonly retryBudget: RetryAllowance;
  readonly silence: UpstreamSilence;
}

export interface NextAttempts {
  /** Undefined if no attempt can follow now; then nothing stays reserved. */
  prepare(
    job: RelayJob,
    need: SlotNeed,
    avoid: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<NextAttempt | undefined>;
}

/** How many upstreams are asked for an answer. */
const MAX_TARGETS = 3;

export function createNextAttempts(host: NextAttemptsHost): NextAttempts {
  const {slots, retryBudget} = host;

  /** Gets a slot of an upstream that answers. */
  async function acquireAnswering(
    need: SlotNeed,
    unwanted: ReadonlySet<string>,
    cancellation: Cancellation,
  ): Promise<Slot | undefined> {
    const avoid = new Set(unwanted);
    for (let i = 0; i < MAX_TARGETS; i++) {
      if (!slots.hasOther(need.service, avoid)) return undefined;
      const slot = await slots.acquire(need, avoid, cancellation);
      if (slot.kind !== 'slot') return undefined;
      const isAnswering = await host.silence.answers(slot.upstream);
      if (isAnswering && !cancellation.isCancelled) return slot;
      slot.end('cancelled');
      if (cancellation.isCancelled) return undefined;
      avoid.add(slot.upstream.id);
    }
    return undefined;
  }

  return {
    async prepare({service, request}, need, avoid, cancellation) {
      const slot = await acquireAnswering(need, avoid, cancellation);
      if (!slot) return undefined;
      if (!(await retryBudget.tryTake(service.name, request.requestId))) {
        slot.end('cancelled');
        return undefined;
      }
      return {
        slot,
        giveBack() {
          slot.end('cancelled');
          retryBudget.giveBack(service.name);
        },
      };
    },
  };
}
