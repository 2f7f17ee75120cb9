/**
 * Prepares the attempt that is to follow a silent one: an upstream that answers,
 * a slot there and a retry, all of which can be given back. Then it is started,
 * while the silent one stays open until the upstream has accepted it.
 */

import type {Clock} from '../../ports/clock.js';
import type {Cancellation, SendFailure} from '../../ports/relay.js';
import {isGenuine} from '../answers/answer_rules.js';
import {
  createCancellation,
  type CancellationSource,
} from '../front/cancellation.js';
import type {RelayJob} from '../relay_types.js';
import type {RetryAllowance} from '../retries/shared_retries.js';
import {wasSent} from '../send_failures.js';
import {waitForRefusal} from '../silence/refusal_wait.js';
import type {NextAttempt, UpstreamSilence} from './attempt_watch.js';
import {noteUnusable, toNotes, toResult} from './plain_outcomes.js';
import {
  sendPlainCall,
  type PlainSendHost,
  type SendOutcome,
} from './plain_send.js';
import type {Slot, SlotClient, SlotNeed} from './slot_client.js';
import type {UpstreamRegistry} from '../store/upstream_registry.js';

export interface NextAttemptsHost extends PlainSendHost {
  readonly clock: Clock;
  readonly slots: SlotClient;
  readonly retryBudget: RetryAllowance;
  readonly registry: Pick<UpstreamRegistry, 'markReplaced' | 'markUnreachable'>;
  readonly silence: UpstreamSilence;
}

export interface NextAttemptOptions {
  readonly job: RelayJob;
  readonly need: SlotNeed;
  readonly avoid: ReadonlySet<string>;
  /** An upstream may have run the call, without an answer of use. */
  onRan(upstreamId: string): void;
}

export interface NextAttempts {
  /** Undefined if no attempt can follow now; then nothing stays reserved. */
  prepare(
    options: NextAttemptOptions,
    cancellation: Cancellation,
  ): Promise<NextAttempt | undefined>;
}

/** How many upstreams are asked for an answer. */
const MAX_TARGETS = 3;
const SERVER_ERROR = 500;

/** The failure as which an outcome counts; undefined if the call was accepted. */
function toRefusal(outcome: SendOutcome): SendFailure | undefined {
  if (outcome.kind !== 'answered') return outcome;
  if (isGenuine(outcome) && outcome.status < SERVER_ERROR) return undefined;
  outcome.body.destroy();
  return {kind: 'broken', detail: `status ${outcome.status}`};
}

export function createNextAttempts(host: NextAttemptsHost): NextAttempts {
  const {clock, slots, retryBudget, registry} = host;

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

  function toNextAttempt(
    {job, onRan}: NextAttemptOptions,
    slot: Slot,
    source: CancellationSource,
  ): NextAttempt {
    const {id} = slot.upstream;
    const service = job.service.name;
    let outcome: Promise<SendOutcome> | undefined;

    function noteRefusal(failure: SendFailure): void {
      slot.end(toResult(failure), toNotes(failure));
      noteUnusable(registry, id, failure);
      if (!wasSent(failure)) retryBudget.giveBack(service);
      if (failure.kind === 'broken' || failure.kind === 'cancelled') onRan(id);
    }

    function send(): Promise<SendOutcome> {
      outcome ??= sendPlainCall(host, job, slot, {permitWaitMs: 0}, source);
      return outcome;
    }

    return {
      slot,
      sent: {outcome: send, cancel: source.cancel},
      async start() {
        const first = await waitForRefusal(clock, send());
        const refusal = first && toRefusal(first);
        if (refusal) noteRefusal(refusal);
        return !refusal;
      },
      giveBack() {
        source.cancel();
        slot.end('cancelled');
        if (!outcome) return retryBudget.giveBack(service);
        onRan(id);
        void outcome.then(each => {
          if (each.kind === 'answered') each.body.destroy();
        });
      },
    };
  }

  return {
    async prepare(options, cancellation) {
      const {job, need, avoid} = options;
      const slot = await acquireAnswering(need, avoid, cancellation);
      if (!slot) return undefined;
      const {name} = job.service;
      if (!(await retryBudget.tryTake(name, job.request.requestId))) {
        slot.end('cancelled');
        return undefined;
      }
      const source = createCancellation();
      cancellation.onCancel(source.cancel);
      return toNextAttempt(options, slot, source);
    },
  };
}
