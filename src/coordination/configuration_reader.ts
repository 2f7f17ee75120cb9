/** Reads revisions from the table, using deltas from a known older revision. */

import type {TableClient, TableUse} from './table_client.js';
import {toRowMap} from './table_client.js';
import {
  getRevisionKey,
  getSnapshotRevision,
  parseRevisionRow,
  restoreBody,
  type ConfigurationRevision,
} from './configuration_rules.js';

export type RevisionRead =
  | {readonly kind: 'read'; readonly revision: ConfigurationRevision}
  | {readonly kind: 'absent'}
  | {readonly kind: 'failed'; readonly reason: string};

/** Reads one revision with a single read of the table. */
export async function readRevision(
  table: TableClient,
  wanted: number,
  known: ConfigurationRevision | undefined,
  use: TableUse,
): Promise<RevisionRead> {
  const snapshot = getSnapshotRevision(wanted);
  const isKnownUseful =
    known && known.revision >= snapshot && known.revision < wanted;
  const first = isKnownUseful ? known.revision + 1 : snapshot;
  const keys: string[] = [];
  for (let n = first; n <= wanted; n++) keys.push(getRevisionKey(n));
  const outcome = await table.read(keys, use);
  if (outcome.kind === 'failed') return outcome;
  const rows = toRowMap(outcome.value);
  let body = isKnownUseful ? known.body : undefined;
  let last: ConfigurationRevision | undefined;
  for (const key of keys) {
    const row = rows.get(key);
    const parsed = row && parseRevisionRow(row);
    if (!parsed) return {kind: 'absent'};
    body = restoreBody(parsed, body);
    // A later row may hold a complete body again.
    if (body === undefined) continue;
    const {revision, changeId, author, comment, appliedAtMs} = parsed;
    last = {revision, changeId, author, comment, appliedAtMs, body};
  }
  if (last?.revision !== wanted) {
    const reason = `Revision ${wanted} does not match its digest.`;
    return {kind: 'failed', reason};
  }
  return {kind: 'read', revision: last};
}
