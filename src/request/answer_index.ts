/**
 * Where keyed model answers run or lie, in memory at the owner of the key's
 * partition. A young index knows too little to say that there is no answer, so
 * it says that it is unsure until entries have announced theirs again.
 */

import type {Clock} from '../ports/clock.js';
import type {
  AnswerIndexPort,
  AnswerKey,
  AnswerPlace,
} from '../ports/kept_answers.js';

export interface AnswerIndexOptions {
  /** An announcement is forgotten unless repeated within this time. */
  readonly placeLifeMs: number;
  /** How long after its start the index is unsure of what it lacks. */
  readonly unsureMs: number;
  readonly maxPlaces: number;
}

export const defaultAnswerIndexOptions: AnswerIndexOptions = {
  placeLifeMs: 15_000,
  unsureMs: 10_000,
  maxPlaces: 50_000,
};

interface KnownPlace {
  readonly place: AnswerPlace;
  readonly expiresAtMs: number;
}

function textOf(key: AnswerKey): string {
  return JSON.stringify([key.account, key.service, key.idempotencyKey]);
}

export function createAnswerIndex(
  host: {readonly clock: Clock},
  options: AnswerIndexOptions = defaultAnswerIndexOptions,
): AnswerIndexPort {
  const {clock} = host;
  const startedAtMs = clock.nowMs();
  /** Oldest announcement first. */
  const places = new Map<string, KnownPlace>();

  function findMissing(): AnswerPlace {
    const isYoung = clock.nowMs() - startedAtMs < options.unsureMs;
    return isYoung ? {kind: 'unsure'} : {kind: 'none'};
  }

  return {
    find(key) {
      const known = places.get(textOf(key));
      const isKnown = known && known.expiresAtMs > clock.nowMs();
      return Promise.resolve(isKnown ? known.place : findMissing());
    },
    announce(key, place) {
      const text = textOf(key);
      places.delete(text);
      if (place.kind === 'none' || place.kind === 'unsure') return;
      const expiresAtMs = clock.nowMs() + options.placeLifeMs;
      places.set(text, {place, expiresAtMs});
      if (places.size > options.maxPlaces) {
        places.delete(places.keys().next().value!);
      }
    },
  };
}
