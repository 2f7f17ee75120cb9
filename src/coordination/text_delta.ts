/** Text differences, each stored as one replaced range of lines. */

import type {JsonRecord} from '../ports/table.js';

export interface TextDelta {
  /** Index of the first replaced line. */
  readonly start: number;
  readonly removed: number;
  readonly inserted: readonly string[];
}

export function createDelta(before: string, after: string): TextDelta {
  const from = before.split('\n');
  const to = after.split('\n');
  let start = 0;
  const shortest = Math.min(from.length, to.length);
  while (start < shortest && from[start] === to[start]) start++;
  let kept = 0;
  const mayKeep = () =>
    kept < shortest - start && from.at(-1 - kept) === to.at(-1 - kept);
  while (mayKeep()) kept++;
  return {
    start,
    removed: from.length - start - kept,
    inserted: to.slice(start, to.length - kept),
  };
}

/** Returns undefined if the delta does not match the text. */
export function applyDelta(
  before: string,
  delta: TextDelta,
): string | undefined {
  const lines = before.split('\n');
  if (delta.start + delta.removed > lines.length) return undefined;
  lines.splice(delta.start, delta.removed, ...delta.inserted);
  return lines.join('\n');
}

/** Formats the removed and inserted lines for display. */
export function describeDelta(before: string, after: string): string {
  const {start, removed, inserted} = createDelta(before, after);
  const gone = before.split('\n').slice(start, start + removed);
  return [
    `@@ line ${start + 1} @@`,
    ...gone.map(line => `-${line}`),
    ...inserted.map(line => `+${line}`),
  ].join('\n');
}

export function parseDelta(value: unknown): TextDelta | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {start, removed, inserted} = value as Partial<TextDelta>;
  if (typeof start !== 'number' || typeof removed !== 'number')
    return undefined;
  if (!Array.isArray(inserted)) return undefined;
  return {start, removed, inserted: inserted.map(String)};
}

export function toJsonDelta(delta: TextDelta): JsonRecord {
  return {...delta, inserted: [...delta.inserted]};
}
