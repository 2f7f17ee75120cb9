/** Suggestions for a mistyped word. */

import {closest, distance} from 'fastest-levenshtein';

/** A suggestion may differ in this share of its letters. */
const MAX_SHARE = 0.4;
/** Two letters changed places are two edits, too many for a short word. */
const SHORT_LENGTH = 3;
/** Longer words are not compared, to bound the cost of a hostile text. */
const MAX_LENGTH = 64;

/** The word of `known` that was likely meant, if one is near enough. */
export function findNearest(
  word: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0 || word.length > MAX_LENGTH) return undefined;
  const nearest = closest(word.toLowerCase(), known);
  const edits = distance(word.toLowerCase(), nearest.toLowerCase());
  const bound = Math.max(
    nearest.length > SHORT_LENGTH ? 2 : 1,
    Math.floor(nearest.length * MAX_SHARE),
  );
  return edits <= bound ? nearest : undefined;
}

/** ` Did you mean 'x'?`, or nothing. */
export function formatSuggestion(
  word: string,
  known: readonly string[],
): string {
  const nearest = findNearest(word, known);
  return nearest === undefined ? '' : ` Did you mean '${nearest}'?`;
}
