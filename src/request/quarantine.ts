/**
 * Detects what repeatedly crashes engines, such as a request or a part that
 * prompts share, from the losses of each suspect. `blame.ts` decides which
 * suspects explain the losses; what has them is refused.
 *
 * Each other entry may lose one more engine to a run that started before the
 * fact arrived there. A complete run clears its suspects, since what crashes
 * engines never completes.
 *
 * When an engine dies with several requests, all of them are suspects. This
 * entry then retries them one at a time, so the next loss identifies the cause.
 */

import type {Clock} from '../ports/clock.js';
import {
  findCulprits,
  isRefusedBy,
  type Accused,
  type Culprit,
} from './blame.js';
import {readLosses, toLossFact, type LossFact} from './loss_fact.js';
import {suspectKindOf} from './suspect_kinds.js';
import {
  createSuspect,
  findLeastSuspect,
  type EngineEnd,
  type Loss,
  type Suspect,
} from './suspect_losses.js';
import {createTrialTurns} from './trial_turns.js';

export type QuarantineVerdict = 'clear' | 'suspect' | 'quarantined';

export interface QuarantineOptions {
  /** A loss that is older is removed. */
  readonly forgetAfterMs: number;
  /** How long a suspect waits at most for the trial of another. */
  readonly trialWaitMs: number;
  readonly maxFingerprints: number;
}

export const defaultQuarantineOptions: QuarantineOptions = {
  forgetAfterMs: 600_000,
  trialWaitMs: 5_000,
  maxFingerprints: 10_000,
};

export interface QuarantineHost {
  readonly clock: Clock;
  /** Sends a fact to the other entries. */
  broadcast(fact: LossFact): void;
  /** Called when a fact has changed, here or by a fact of another entry. */
  onChange?(fingerprint: string): void;
  /**
   * Id of the present death of an engine. Absent where engines keep their ids
   * across restarts; the time of the death then becomes part of the id.
   */
  lossIdOf?(engineId: string): string;
}

export interface Quarantine {
  verdict(fingerprint: string): QuarantineVerdict;
  /** Records that an engine died while it ran the fingerprint. */
  recordLoss(
    fingerprint: string,
    engineId: string,
    lostAtMs?: number,
  ): QuarantineVerdict;
  /** Like `recordLoss` for several suspects, of which none is judged. */
  recordLosses(
    fingerprints: Iterable<string>,
    engineId: string,
    end: EngineEnd,
  ): void;
  /** Records a complete run. */
  clear(fingerprint: string): void;
  /** Records that a run had completed before the losses. */
  noteCompleted(fingerprint: string): void;
  /** Returns what quarantines a request that has these suspects. */
  findCulprit(keys: readonly string[]): Culprit | undefined;
  culprits(): readonly Culprit[];
  /** Number of losses that count for the fingerprint. */
  countedLosses(fingerprint: string): number;
  /** The engine turned out to be alive: the loss counts for no fingerprint. */
  clearLoss(lossId: string): void;
  /** The engine is known to have ended, which was only suspected. */
  confirmLoss(lossId: string): void;
  /** Whether a loss that counts is only suspected. */
  isSuspected(lossId: string): boolean;
  /**
   * Merges a fact of another entry. Returns the losses that this entry did not
   * know and that count.
   */
  mergeFact(fact: LossFact): readonly string[];
  /** When a loss that counts took place, as known to this entry. */
  lostAtMs(lossId: string): number | undefined;
  /** Number of losses, cleared or not. */
  lossCount(fingerprint: string): number;
  /** Returns undefined if the fingerprint has no losses. */
  fact(fingerprint: string): LossFact | undefined;
  /** Fingerprints with losses, those that changed longest ago first. */
  fingerprints(): readonly string[];
  hasSuspects(): boolean;
  /**
   * Calls `onTurn` once no other suspect of the same loss is on trial, or after
   * `trialWaitMs`.
   */
  enterTrial(fingerprint: string, requestId: string, onTurn: () => void): void;
  /** Ends the trial of a request, or its wait for one. */
  leaveTrial(requestId: string): void;
}

/** Deaths of one engine within this time count as one loss. */
const LOSS_WINDOW_MS = 10_000;

interface Verdicts {
  readonly culprits: readonly Culprit[];
  readonly atMs: number;
}

const NOT_JUDGED: Verdicts = {culprits: [], atMs: Number.NEGATIVE_INFINITY};
/** Culprits are determined again after this time, as losses expire. */
const CULPRITS_VALID_MS = 1_000;
/** Bounds the size of facts; older losses of a suspect are dropped. */
const MAX_LOSSES = 16;
/** Bounds how often entries that drop different losses correct each other. */
const AGE_TOLERANCE_MS = 1_000;

export function createQuarantine(
  host: QuarantineHost,
  options: QuarantineOptions = defaultQuarantineOptions,
): Quarantine {
  const suspects = new Map<string, Suspect>();
  const fingerprintsByLoss = new Map<string, Set<string>>();
  let found: Verdicts = NOT_JUDGED;

  function removeLoss(
    fingerprint: string,
    suspect: Suspect,
    lossId: string,
  ): void {
    suspect.losses.delete(lossId);
    const fingerprints = fingerprintsByLoss.get(lossId);
    fingerprints?.delete(fingerprint);
    if (fingerprints?.size === 0) fingerprintsByLoss.delete(lossId);
    if (suspect.losses.size === 0) suspects.delete(fingerprint);
  }

  function findSuspect(fingerprint: string): Suspect | undefined {
    const suspect = suspects.get(fingerprint);
    if (!suspect) return undefined;
    const oldestMs = host.clock.nowMs() - options.forgetAfterMs;
    for (const [lossId, {lostAtMs}] of suspect.losses) {
      if (lostAtMs <= oldestMs) removeLoss(fingerprint, suspect, lossId);
    }
    return suspect.losses.size > 0 ? suspect : undefined;
  }

  function removeSuspect(fingerprint: string, suspect: Suspect): void {
    for (const lossId of [...suspect.losses.keys()]) {
      removeLoss(fingerprint, suspect, lossId);
    }
  }

  /** Moves a suspect to the end of the map, which is in order of change. */
  function noteChange(fingerprint: string, suspect: Suspect): void {
    found = NOT_JUDGED;
    suspects.delete(fingerprint);
    suspects.set(fingerprint, suspect);
    if (suspects.size > options.maxFingerprints) {
      const least = findLeastSuspect(suspects, fingerprint);
      if (least) removeSuspect(...least);
    }
    host.onChange?.(fingerprint);
  }

  /** Drops the oldest loss if there are too many; false for an older one. */
  function makeRoom(
    fingerprint: string,
    suspect: Suspect,
    {lostAtMs}: Loss,
  ): boolean {
    if (suspect.losses.size < MAX_LOSSES) return true;
    const [[oldestId, oldest]] = [...suspect.losses].sort(
      ([, a], [, b]) => a.lostAtMs - b.lostAtMs,
    );
    if (lostAtMs < oldest.lostAtMs + AGE_TOLERANCE_MS) return false;
    removeLoss(fingerprint, suspect, oldestId);
    return true;
  }

  /** Returns whether this is news. */
  function setLoss(
    fingerprint: string,
    suspect: Suspect,
    lossId: string,
    loss: Loss,
  ): boolean {
    const {losses} = suspect;
    const known = losses.get(lossId) ?? loss;
    const isCleared = known.isCleared || loss.isCleared;
    const isSuspected = known.isSuspected && loss.isSuspected;
    if (!losses.has(lossId)) {
      if (!makeRoom(fingerprint, suspect, loss)) return false;
    } else if (
      isCleared === known.isCleared &&
      isSuspected === known.isSuspected
    ) {
      return false;
    }
    losses.set(lossId, {lostAtMs: known.lostAtMs, isCleared, isSuspected});
    const fingerprints = fingerprintsByLoss.get(lossId) ?? new Set<string>();
    fingerprints.add(fingerprint);
    fingerprintsByLoss.set(lossId, fingerprints);
    return true;
  }

  /**
   * The id holds a time window. A death seen just after the end of a window is
   * counted in that window if it has a loss of the engine.
   */
  function lossIdOf(engineId: string): string {
    if (host.lossIdOf) return host.lossIdOf(engineId);
    const window = Math.floor(host.clock.wallMs() / LOSS_WINDOW_MS);
    const before = `${engineId}@${window - 1}`;
    const isEarly = host.clock.wallMs() % LOSS_WINDOW_MS < LOSS_WINDOW_MS / 10;
    return isEarly && fingerprintsByLoss.has(before)
      ? before
      : `${engineId}@${window}`;
  }

  /** The losses of the fingerprint that count, by their ids. */
  function findCounted(fingerprint: string): ReadonlyMap<string, EngineEnd> {
    const losses = [...(findSuspect(fingerprint)?.losses ?? [])];
    return new Map(losses.filter(([, {isCleared}]) => !isCleared));
  }

  const findAccused = (): readonly Accused[] =>
    [...suspects]
      .map(([key, {hasCompleted}]) => {
        return {key, losses: findCounted(key), hasCompleted};
      })
      .filter(({losses}) => losses.size > 0);

  /** The losses that count at this id, one of each suspect. */
  const findLosses = (lossId: string): readonly EngineEnd[] =>
    [...(fingerprintsByLoss.get(lossId) ?? [])].flatMap(
      fingerprint => findCounted(fingerprint).get(lossId) ?? [],
    );

  function isAlone(lossId: string): boolean {
    let count = 0;
    for (const key of fingerprintsByLoss.get(lossId) ?? []) {
      if (suspectKindOf(key) === 'request' && ++count > 1) return false;
    }
    return count === 1;
  }

  function culprits(): readonly Culprit[] {
    if (suspects.size === 0) return [];
    const nowMs = host.clock.nowMs();
    if (nowMs - found.atMs >= CULPRITS_VALID_MS) {
      found = {culprits: findCulprits(findAccused(), isAlone), atMs: nowMs};
    }
    return found.culprits;
  }

  const findCulprit = (keys: readonly string[]) =>
    culprits().find(culprit => isRefusedBy(culprit, keys));

  function verdict(fingerprint: string): QuarantineVerdict {
    if (findCounted(fingerprint).size === 0) return 'clear';
    return findCulprit([fingerprint]) ? 'quarantined' : 'suspect';
  }

  function addLoss(
    fingerprint: string,
    engineId: string,
    end: EngineEnd,
  ): void {
    const suspect = findSuspect(fingerprint) ?? createSuspect();
    const loss = {...end, isCleared: false};
    const isNew = setLoss(fingerprint, suspect, lossIdOf(engineId), loss);
    if (isNew) noteChange(fingerprint, suspect);
    host.broadcast(toFact(fingerprint, suspect));
  }

  function clearLosses(fingerprint: string, lossIds: readonly string[]): void {
    const suspect = findSuspect(fingerprint);
    if (!suspect || lossIds.length === 0) return;
    for (const lossId of lossIds) {
      const loss = suspect.losses.get(lossId);
      if (loss) suspect.losses.set(lossId, {...loss, isCleared: true});
    }
    noteChange(fingerprint, suspect);
    host.broadcast(toFact(fingerprint, suspect));
  }

  /** Returns whether this is news. */
  function setCompleted(suspect: Suspect): boolean {
    const isNews = !suspect.hasCompleted;
    suspect.hasCompleted = true;
    return isNews;
  }

  const toFact = (fingerprint: string, suspect: Suspect): LossFact =>
    toLossFact(fingerprint, suspect, host.clock.nowMs());

  const turns = createTrialTurns({
    clock: host.clock,
    waitMs: options.trialWaitMs,
    lossesOf: fingerprint => findSuspect(fingerprint)?.losses ?? new Map(),
  });

  return {
    verdict,
    recordLoss(fingerprint, engineId, lostAtMs = host.clock.nowMs()) {
      addLoss(fingerprint, engineId, {lostAtMs, isSuspected: false});
      return verdict(fingerprint);
    },
    recordLosses(fingerprints, engineId, end) {
      for (const each of fingerprints) addLoss(each, engineId, end);
    },
    clear(fingerprint) {
      const suspect = findSuspect(fingerprint);
      if (suspect) setCompleted(suspect);
      clearLosses(fingerprint, [...findCounted(fingerprint).keys()]);
    },
    noteCompleted(fingerprint) {
      const suspect = findSuspect(fingerprint);
      if (!suspect || !setCompleted(suspect)) return;
      noteChange(fingerprint, suspect);
      host.broadcast(toFact(fingerprint, suspect));
    },
    findCulprit,
    culprits,
    countedLosses: fingerprint => findCounted(fingerprint).size,
    clearLoss(lossId) {
      for (const fingerprint of [...(fingerprintsByLoss.get(lossId) ?? [])]) {
        if (findCounted(fingerprint).has(lossId))
          clearLosses(fingerprint, [lossId]);
      }
    },
    confirmLoss(lossId) {
      for (const fingerprint of [...(fingerprintsByLoss.get(lossId) ?? [])]) {
        const end = findCounted(fingerprint).get(lossId);
        const suspect = findSuspect(fingerprint);
        if (!end?.isSuspected || !suspect) continue;
        const loss = {...end, isCleared: false, isSuspected: false};
        setLoss(fingerprint, suspect, lossId, loss);
        noteChange(fingerprint, suspect);
        host.broadcast(toFact(fingerprint, suspect));
      }
    },
    isSuspected(lossId) {
      const losses = findLosses(lossId);
      return losses.length > 0 && losses.every(each => each.isSuspected);
    },
    mergeFact(fact) {
      const {fingerprint} = fact;
      const suspect = findSuspect(fingerprint) ?? createSuspect();
      const nowMs = host.clock.nowMs();
      const losses = readLosses(fact, nowMs, options.forgetAfterMs);
      const news = losses
        .filter(([lossId, loss]) => setLoss(fingerprint, suspect, lossId, loss))
        .map(([lossId]) => lossId);
      const isProven = fact.hasCompleted === true && setCompleted(suspect);
      if (suspect.losses.size === 0) return [];
      if (news.length > 0 || isProven) noteChange(fingerprint, suspect);
      return news.filter(
        lossId => suspect.losses.get(lossId)?.isCleared === false,
      );
    },
    lostAtMs(lossId) {
      const times = findLosses(lossId).map(({lostAtMs}) => lostAtMs);
      return times.length > 0 ? Math.max(...times) : undefined;
    },
    lossCount: fingerprint => findSuspect(fingerprint)?.losses.size ?? 0,
    fact(fingerprint) {
      const suspect = findSuspect(fingerprint);
      return suspect && toFact(fingerprint, suspect);
    },
    fingerprints: () =>
      [...suspects.keys()].filter(each => findSuspect(each) !== undefined),
    hasSuspects: () => suspects.size > 0,
    enterTrial: turns.enter,
    leaveTrial: turns.leave,
  };
}
