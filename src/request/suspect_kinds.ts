/**
 * What can be blamed for the end of an engine: a request, by its fingerprint,
 * or a part that many prompts share. A suspect is identified by its key.
 */

export type SuspectKind = 'request' | 'part';

export interface SuspectRule {
  /** Losses after which a suspect that shared each of them is quarantined. */
  readonly sharedLosses: number;
  /** Losses if it was the only suspect of its kind in one of them. */
  readonly aloneLosses: number;
  /** Of the losses within this time of each other, few count. */
  readonly momentMs: number;
  readonly maxLossesAMoment: number;
}

export const SUSPECT_RULES: Readonly<Record<SuspectKind, SuspectRule>> = {
  request: {
    sharedLosses: 3,
    aloneLosses: 2,
    momentMs: 0,
    maxLossesAMoment: 1,
  },
  // Engines that end together say nothing about a part that ran at all of them.
  part: {
    sharedLosses: 3,
    aloneLosses: 3,
    momentMs: 300,
    maxLossesAMoment: 2,
  },
};

const PART_PREFIX = 'part:';

export const toPartKey = (partId: string): string => `${PART_PREFIX}${partId}`;

export const suspectKindOf = (key: string): SuspectKind =>
  key.startsWith(PART_PREFIX) ? 'part' : 'request';

/** Number of suspects of a kind, or of all. */
export const countOfKind = (
  keys: readonly string[],
  kind?: SuspectKind,
): number => keys.filter(key => !kind || suspectKindOf(key) === kind).length;
