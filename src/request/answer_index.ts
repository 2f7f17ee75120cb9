/**
 * In-memory index of the places of keyed model answers, at the owner of the
 * key's partition. After its start the index reports missing answers as
 * `unsure`, until entries have had time to announce their answers again.
 */

import type {Clock} from '../ports/clock.js';
import type {
  AnswerIndexPort,
  AnswerKey,
  AnswerPlace,
} from '../ports/kept_answers.js';

export interface AnswerIndexOptions {
  /** An announcement expires after this time unless repeated. */
  readonly placeTtlMs: number;
  /** How long after its start the index reports missing answers as `unsure`. */
  readonly warmUpMs: number;
  readonly maxPlaces: number;
}

export const defaultAnswerIndexOptions: AnswerIndexOptions = {
  placeTtlMs: 15_000,
  warmUpMs: 10_000,
  maxPlaces: 50_000,
};

interface IndexEntry {
  readonly place: AnswerPlace;
  readonly expiresAtMs: number;
}

function encodeKey(key: AnswerKey): string {
  return JSON.stringify([key.account, key.service, key.idempotencyKey]);
}

export function createAnswerIndex(
  host: {readonly clock: Clock},
  options: AnswerIndexOptions = defaultAnswerIndexOptions,
): AnswerIndexPort {
  const {clock} = host;
  const startedAtMs = clock.nowMs();
  /** In order of announcement, oldest first. */
  const places = new Map<string, IndexEntry>();

  function placeOfMissing(): AnswerPlace {
    const isWarmingUp = clock.nowMs() - startedAtMs < options.warmUpMs;
    return isWarmingUp ? {kind: 'unsure'} : {kind: 'none'};
  }

  return {
    find(key) {
      const entry = places.get(encodeKey(key));
      const isCurrent = entry && entry.expiresAtMs > clock.nowMs();
      return Promise.resolve(isCurrent ? entry.place : placeOfMissing());
    },
    announce(key, place) {
      const encodedKey = encodeKey(key);
      places.delete(encodedKey);
      if (place.kind === 'none' || place.kind === 'unsure') return;
      const expiresAtMs = clock.nowMs() + options.placeTtlMs;
      places.set(encodedKey, {place, expiresAtMs});
      if (places.size > options.maxPlaces) {
        places.delete(places.keys().next().value!);
      }
    },
  };
}
