/** Keyed model answers, wherever they run: kept here, found by the index. */

import {
  createAnswerPeers,
  createPeerAnswerIndex,
} from '../adapters/peer_answers.js';
import type {Settings} from '../core/settings_types.js';
import type {AnswerIndexPort, AnswerKey} from '../ports/kept_answers.js';
import {createAnswerIndex} from '../request/answer_index.js';
import {createKeptAnswers, type KeptAnswers} from '../request/kept_answers.js';
import type {Fleet} from './fleet.js';
import type {World} from './world.js';

const OPTIONS = {
  maxLocalBytes: 32 * 1024 * 1024,
  indexTimeoutMs: 300,
  storeTimeoutMs: 1000,
  announceIntervalMs: 5000,
  storeRetryMs: 1000,
} as const;

export interface AnswersHost {
  readonly kept: KeptAnswers;
  /** The part of the index that this process keeps. */
  readonly ownIndex: AnswerIndexPort;
}

export function createAnswersHost(
  world: World,
  {membership}: Fleet,
  getSettings: () => Settings | undefined,
  findOwner: (key: AnswerKey) => string | undefined,
): AnswersHost {
  const {clock, objectStore, getTransport, host} = world;
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

  const kept = createKeptAnswers(
    {
      clock,
      log: world.createLogger('answers'),
      objectStore,
      index,
      peers: createAnswerPeers(getTransport),
      peerAddress: host.peerAddress,
    },
    {...OPTIONS, retentionMs},
  );
  return {kept, ownIndex};
}
