/** Suggestions for misspelled words. */

import {closest, distance} from 'fastest-levenshtein';

/** Maximum edits of a suggestion as a share of its length. */
const MAX_EDIT_SHARE = 0.4;
/** Swapped letters count as two edits, too many for words up to this length. */
const SHORT_LENGTH = 3;
/** Longer words are not compared, to bound the cost for hostile texts. */
const MAX_LENGTH = 64;

/** Returns the word of `known` closest to `word`, if it is close enough. */
export function findNearest(
  word: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0 || word.length > MAX_LENGTH) return undefined;
  const nearest = closest(word.toLowerCase(), known);
  const edits = distance(word.toLowerCase(), nearest.toLowerCase());
  const maxEdits = Math.max(
    nearest.length > SHORT_LENGTH ? 2 : 1,
    Math.floor(nearest.length * MAX_EDIT_SHARE),
  );
  return edits <= maxEdits ? nearest : undefined;
}

/** Returns ` Did you mean 'x'?`, or an empty text without a suggestion. */
export function formatSuggestion(
  word: string,
  known: readonly string[],
): string {
  const nearest = findNearest(word, known);
  return nearest === undefined ? '' : ` Did you mean '${nearest}'?`;
}
