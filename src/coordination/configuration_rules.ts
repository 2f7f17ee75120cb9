/**
 * Pure rules of the accepted configuration: its rows, the write of a change,
 * and its outcome as derived from rows. The model checker runs these functions.
 *
 * `config/head` holds the newest revision; `config/revision/<n>` is written
 * once. A change based on revision n can only become n + 1, so the row of
 * n + 1 permanently identifies the change that was accepted.
 */

import {createHash} from 'node:crypto';
import type {
  JsonRecord,
  TableCondition,
  TableRow,
  TableTransaction,
} from '../ports/table.js';
import {
  applyDelta,
  createDelta,
  parseDelta,
  toJsonDelta,
} from './text_delta.js';

export interface ConfigurationRevision {
  /** Counts from 1. */
  readonly revision: number;
  readonly changeId: string;
  readonly author: string;
  readonly comment: string;
  /** Wall clock of the host that accepted the change; informational only. */
  readonly appliedAtMs: number;
  readonly body: string;
}

export interface ConfigurationChange {
  readonly body: string;
  /** Revision that the change was made from; 0 for the first change. */
  readonly basedOn: number;
  /** Chosen by the author; reusing it makes a retry idempotent. */
  readonly changeId: string;
  readonly author: string;
  readonly comment: string;
}

/** A revision row: the full body, or a delta from the previous revision. */
export interface RevisionRow extends Omit<ConfigurationRevision, 'body'> {
  readonly digest: string;
  readonly body?: string;
  readonly delta?: unknown;
}

export const HEAD_KEY = 'config/head';
const REVISION_PREFIX = 'config/revision/';
const REVISION_DIGITS = 10;
/** One row in this many holds the full body. */
const REVISIONS_PER_SNAPSHOT = 16;
const DIGEST_DIGITS = 16;

export function getRevisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

export function digestBody(body: string): string {
  const digest = createHash('sha256').update(body).digest('hex');
  return digest.slice(0, DIGEST_DIGITS);
}

/** Returns the newest revision up to `revision` that is stored in full. */
export function getSnapshotRevision(revision: number): number {
  return revision - ((revision - 1) % REVISIONS_PER_SNAPSHOT);
}

export function parseHeadRevision(row: TableRow | undefined): number {
  const revision = row?.value.revision;
  return typeof revision === 'number' ? revision : 0;
}

export function parseRevisionRow(row: TableRow): RevisionRow | undefined {
  const {revision, changeId, author, comment, appliedAtMs, digest, body} =
    row.value;
  if (typeof revision !== 'number' || typeof changeId !== 'string') {
    return undefined;
  }
  return {
    revision,
    changeId,
    author: String(author),
    comment: String(comment),
    appliedAtMs: Number(appliedAtMs),
    digest: String(digest),
    body: typeof body === 'string' ? body : undefined,
    delta: row.value.delta,
  };
}

/** Restores the body of a row from the body of the previous revision. */
export function restoreBody(
  row: RevisionRow,
  before: string | undefined,
): string | undefined {
  const delta = parseDelta(row.delta);
  const restored =
    row.body ??
    (delta && before !== undefined ? applyDelta(before, delta) : undefined);
  if (restored === undefined || digestBody(restored) !== row.digest) {
    return undefined;
  }
  return restored;
}

function storeBody(
  revision: number,
  body: string,
  before: string | undefined,
): JsonRecord {
  if (before === undefined || getSnapshotRevision(revision) === revision) {
    return {body};
  }
  const delta = toJsonDelta(createDelta(before, body));
  const isSmall = JSON.stringify(delta).length < body.length / 2;
  return isSmall ? {delta} : {body};
}

/** Builds the write that makes the change revision `basedOn + 1`. */
export function buildApply(
  change: ConfigurationChange,
  baseBody: string | undefined,
  attemptId: string,
  wallMs: number,
): TableTransaction {
  const {basedOn, changeId, author, comment, body} = change;
  const revision = basedOn + 1;
  const about = {revision, changeId, author, digest: digestBody(body)};
  const key = getRevisionKey(revision);
  const headCondition: TableCondition =
    basedOn === 0
      ? {kind: 'absent', key: HEAD_KEY}
      : {kind: 'field', key: HEAD_KEY, field: 'revision', equals: basedOn};
  return {
    attemptId,
    conditions: [headCondition, {kind: 'absent', key}],
    writes: [
      {kind: 'put', key: HEAD_KEY, value: about},
      {
        kind: 'put',
        key,
        value: {
          ...about,
          comment,
          appliedAtMs: wallMs,
          ...storeBody(revision, body, baseBody),
        },
      },
    ],
  };
}

/** Outcome of a change as shown by the row of `basedOn + 1`. */
export type ChangeVerdict =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'lost'; readonly to: RevisionRow}
  /** The revision does not exist yet; a write in flight may still create it. */
  | {readonly kind: 'undecided'};

export function judgeChange(
  change: ConfigurationChange,
  row: TableRow | undefined,
): ChangeVerdict {
  const found = row && parseRevisionRow(row);
  if (!found) return {kind: 'undecided'};
  if (found.changeId === change.changeId) return {kind: 'accepted'};
  return {kind: 'lost', to: found};
}

/** Whether a revision may be adopted; a host never adopts an older one. */
export function mayAdopt(inForce: number, offered: number): boolean {
  return offered > inForce;
}
