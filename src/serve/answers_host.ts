/**
 * Model answers of requests with an idempotency key: this process stores its
 * own answers and finds those of other processes through a distributed index.
 */

import {
  createAnswerPeers,
  createPeerAnswerIndex,
} from '../adapters/peer_answers.js';
import type {Settings} from '../core/settings_types.js';
import type {AnswerIndexPort, AnswerKey} from '../ports/kept_answers.js';
import {createAnswerIndex} from '../request/answer_index.js';
import {createKeptAnswers, type KeptAnswers} from '../request/kept_answers.js';
import type {Fleet} from './fleet.js';
import type {ProcessAdapters} from './process_adapters.js';

const OPTIONS = {
  maxLocalBytes: 32 * 1024 * 1024,
  indexTimeoutMs: 300,
  storeTimeoutMs: 1000,
  announceIntervalMs: 5000,
  storeRetryMs: 1000,
} as const;

export interface AnswersHost {
  readonly keptAnswers: KeptAnswers;
  /** The part of the distributed index that this process stores. */
  readonly ownIndex: AnswerIndexPort;
}

export function createAnswersHost(
  adapters: ProcessAdapters,
  {membership}: Fleet,
  getSettings: () => Settings | undefined,
  findOwner: (key: AnswerKey) => string | undefined,
): AnswersHost {
  const {clock, objectStore, getTransport, host} = adapters;
  const ownIndex = createAnswerIndex({clock});

  function findIndex(key: AnswerKey): AnswerIndexPort | undefined {
    const owner = findOwner(key);
    if (owner === undefined || owner === host.hostId) return ownIndex;
    const address = membership.get(owner)?.address;
    return address ? createPeerAnswerIndex(getTransport(address)) : undefined;
  }

  const index: AnswerIndexPort = {
    async find(key, timeoutMs) {
      const place = await findIndex(key)?.find(key, timeoutMs);
      return place ?? {kind: 'unsure'};
    },
    announce: (key, place) => findIndex(key)?.announce(key, place),
  };

  function retentionMs(name: string): number {
    const service = getSettings()?.services.find(item => item.name === name);
    return service?.keepAnswersMs ?? 0;
  }

  const keptAnswers = createKeptAnswers(
    {
      clock,
      log: adapters.createLogger('answers'),
      objectStore,
      index,
      peers: createAnswerPeers(getTransport),
      peerAddress: host.peerAddress,
    },
    {...OPTIONS, retentionMs},
  );
  return {keptAnswers, ownIndex};
}
