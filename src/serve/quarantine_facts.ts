/** Exchanges facts about requests that crash engines between entries. */

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {FactStore} from '../coordination/facts.js';
import {LossFactSchema} from '../generated/corianderbend/peer_pb.js';
import type {LossFact} from '../request/loss_fact.js';
import type {Quarantine} from '../request/quarantine.js';

const KEY_PREFIX = 'loss/';
const FACT_TTL_MS = 600_000;
/** Limits the size of a fact; further losses add no information. */
const MAX_LOSS_IDS = 4;
const KEY_DIGITS = 16;

function decode(body: Uint8Array): LossFact | undefined {
  try {
    return fromBinary(LossFactSchema, body);
  } catch {
    return undefined;
  }
}

export interface QuarantineFacts {
  publish(fact: LossFact): void;
  /** Delivers the facts of other entries to this process's quarantine. */
  deliverTo(quarantine: Quarantine): void;
}

export function createQuarantineFacts(
  facts: FactStore,
  hostId: string,
): QuarantineFacts {
  let version = 0;
  return {
    publish(fact) {
      version++;
      const omitted = Math.max(0, fact.lossIds.length - MAX_LOSS_IDS);
      const message = create(LossFactSchema, {
        fingerprint: fact.fingerprint,
        lossIds: fact.lossIds.slice(omitted),
        // Cleared losses come first.
        clearedCount: Math.max(0, fact.clearedCount - omitted),
      });
      facts.publish({
        key: `${KEY_PREFIX}${fact.fingerprint.slice(0, KEY_DIGITS)}/${hostId}`,
        version,
        body: toBinary(LossFactSchema, message),
        ttlMs: FACT_TTL_MS,
        reach: 'relayed',
      });
    },
    deliverTo(quarantine) {
      facts.changes.listen(received => {
        if (!received.key.startsWith(KEY_PREFIX)) return;
        const fact = decode(received.body);
        if (fact) quarantine.mergeFact(fact);
      });
    },
  };
}
