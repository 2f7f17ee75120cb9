/** Spreads what entries know of crashing requests, as small facts. */

import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {FactStore} from '../coordination/facts.js';
import {LossFactSchema} from '../generated/corianderbend/peer_pb.js';
import type {LossFact, Quarantine} from '../request/quarantine.js';

const KEY_PREFIX = 'loss/';
const FACT_TTL_MS = 600_000;
/** A fact is small; more losses than this tell nothing new. */
const MAX_LOSSES = 4;
const KEY_DIGITS = 16;

function decode(body: Uint8Array): LossFact | undefined {
  try {
    return fromBinary(LossFactSchema, body);
  } catch {
    return undefined;
  }
}

export interface QuarantineFacts {
  spread(fact: LossFact): void;
  /** Hands what others spread to the quarantine of this process. */
  connect(quarantine: Quarantine): void;
}

export function createQuarantineFacts(
  facts: FactStore,
  hostId: string,
): QuarantineFacts {
  let version = 0;
  return {
    spread(fact) {
      version++;
      const lossIds = fact.lossIds.slice(-MAX_LOSSES);
      const message = create(LossFactSchema, {...fact, lossIds});
      facts.publish({
        key: `${KEY_PREFIX}${fact.fingerprint.slice(0, KEY_DIGITS)}/${hostId}`,
        version,
        body: toBinary(LossFactSchema, message),
        ttlMs: FACT_TTL_MS,
        reach: 'relayed',
      });
    },
    connect(quarantine) {
      facts.changes.listen(heard => {
        if (!heard.key.startsWith(KEY_PREFIX)) return;
        const fact = decode(heard.body);
        if (fact) quarantine.mergeFact(fact);
      });
    },
  };
}
