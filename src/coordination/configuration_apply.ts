/**
 * Takes one operator's change to a clear end: accepted as N, lost to N by
 * whom and with which difference, not usable, or certainly not taken.
 */

import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {RevisionRead} from './configuration_reader.js';
import {
  buildApply,
  getRevisionKey,
  judgeChange,
  type ConfigurationChange,
  type ConfigurationRevision,
} from './configuration_rules.js';
import type {TableClient, TableUse} from './table_client.js';
import {describeDelta} from './text_delta.js';

export type ApplyOutcome =
  | {readonly kind: 'accepted'; readonly accepted: ConfigurationRevision}
  | {
      readonly kind: 'lost';
      /** The revision that took the place. */
      readonly to: {readonly revision: number; readonly author: string};
      /** From the revision that the author saw to the one it lost to. */
      readonly difference: string;
    }
  | {readonly kind: 'invalid'; readonly problems: readonly string[]}
  | {
      /** Certainly not taken, and it will not be. */
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {
      /** Apply again with the same change id to learn the end. */
      readonly kind: 'unknown';
      readonly changeId: string;
    };

export interface ApplyHost {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TableClient;
  check(body: string): readonly string[];
  show(revision: number): Promise<RevisionRead>;
}

export async function applyChange(
  host: ApplyHost,
  change: ConfigurationChange,
  use: TableUse,
): Promise<ApplyOutcome> {
  const problems = host.check(change.body);
  if (problems.length > 0) return {kind: 'invalid', problems};
  const base =
    change.basedOn === 0 ? undefined : await host.show(change.basedOn);
  if (base?.kind === 'absent') {
    return {
      kind: 'invalid',
      problems: [`Revision ${change.basedOn} does not exist.`],
    };
  }
  if (base?.kind === 'failed') {
    return {kind: 'refused', reason: base.reason, retryAfterMs: 1_000};
  }
  return write(host, change, base?.revision.body, use);
}

async function write(
  host: ApplyHost,
  change: ConfigurationChange,
  baseBody: string | undefined,
  use: TableUse,
): Promise<ApplyOutcome> {
  const {clock, random, table} = host;
  const wallMs = clock.wallMs();
  const attemptId = random.nextId();
  const transaction = buildApply(change, baseBody, attemptId, wallMs);
  const key = getRevisionKey(change.basedOn + 1);
  const outcome = await table.transactSettled(
    transaction,
    {
      keys: [key],
      judge(rows) {
        const verdict = judgeChange(change, rows.get(key));
        if (verdict.kind === 'undecided') return 'undecided';
        return verdict.kind === 'accepted' ? 'applied' : 'not-applied';
      },
    },
    use,
  );
  switch (outcome.kind) {
    case 'applied': {
      const {changeId, author, comment, body} = change;
      const revision = change.basedOn + 1;
      const about = {revision, changeId, author, comment, body};
      return {kind: 'accepted', accepted: {...about, appliedAtMs: wallMs}};
    }
    case 'rejected':
      // Another change has the place, or this one had it from an earlier try.
      return readEnd(host, change, baseBody, use);
    case 'refused':
      return {
        kind: 'refused',
        reason: `The platform did not take the write (${outcome.reason}).`,
        retryAfterMs: outcome.retryAfterMs,
      };
    case 'unknown':
      return {kind: 'unknown', changeId: change.changeId};
  }
}

async function readEnd(
  host: ApplyHost,
  change: ConfigurationChange,
  baseBody: string | undefined,
  use: TableUse,
): Promise<ApplyOutcome> {
  const key = getRevisionKey(change.basedOn + 1);
  const read = await host.table.read([key], use);
  // Rejected, so another change or an earlier try of this one has the place.
  if (read.kind === 'failed') {
    return {kind: 'unknown', changeId: change.changeId};
  }
  const verdict = judgeChange(change, read.value.at(0));
  switch (verdict.kind) {
    case 'accepted': {
      const accepted = await host.show(change.basedOn + 1);
      if (accepted.kind === 'read') {
        return {kind: 'accepted', accepted: accepted.revision};
      }
      return {kind: 'unknown', changeId: change.changeId};
    }
    case 'lost': {
      const {revision, author} = verdict.to;
      const winner = await host.show(revision);
      const difference =
        winner.kind === 'read'
          ? describeDelta(baseBody ?? '', winner.revision.body)
          : '';
      return {kind: 'lost', to: {revision, author}, difference};
    }
    case 'undecided':
      // The head is not at `basedOn` and nobody has the place after it: the
      // author named a revision that is not accepted.
      return {
        kind: 'invalid',
        problems: [`Revision ${change.basedOn} is not the accepted one.`],
      };
  }
}
