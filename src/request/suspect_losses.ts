/** The losses that are known of each suspect. */

export interface Loss {
  readonly lostAtMs: number;
  readonly isCleared: boolean;
  /** The death was inferred from silence, and nothing has confirmed it. */
  readonly isSuspected: boolean;
}

/** An engine death, as this entry knows it. */
export type EngineEnd = Pick<Loss, 'lostAtMs' | 'isSuspected'>;

export interface Suspect {
  readonly losses: Map<string, Loss>;
  hasCompleted: boolean;
}

export const createSuspect = (): Suspect => ({
  losses: new Map(),
  hasCompleted: false,
});

/**
 * Finds a suspect with the fewest losses, of these the first.
 *
 * @param changed a suspect that is left out, since it has just changed.
 */
export function findLeastSuspect(
  suspects: ReadonlyMap<string, Suspect>,
  changed: string,
): readonly [string, Suspect] | undefined {
  let least: readonly [string, Suspect] | undefined;
  for (const each of suspects) {
    const [key, {losses}] = each;
    if (key === changed) continue;
    if (least && losses.size >= least[1].losses.size) continue;
    least = each;
    if (losses.size === 1) break;
  }
  return least;
}
