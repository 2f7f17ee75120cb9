/**
 * Writes one configuration change and determines its outcome: accepted, lost
 * to a concurrent change, invalid, refused, or unknown.
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
      /** The revision that was accepted instead. */
      readonly to: {readonly revision: number; readonly author: string};
      /** Difference between the author's base revision and the accepted one. */
      readonly difference: string;
    }
  | {readonly kind: 'invalid'; readonly problems: readonly string[]}
  | {
      /** The change was not applied and will not be applied later. */
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {
      /** Applying again with the same change id returns the final outcome. */
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
  return writeChange(host, change, base?.revision.body, use);
}

async function writeChange(
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
      // Another change, or an earlier attempt of this one, has this revision.
      return readOutcome(host, change, baseBody, use);
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

async function readOutcome(
  host: ApplyHost,
  change: ConfigurationChange,
  baseBody: string | undefined,
  use: TableUse,
): Promise<ApplyOutcome> {
  const key = getRevisionKey(change.basedOn + 1);
  const read = await host.table.read([key], use);
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
      // The head is not at `basedOn` and the revision after it does not exist,
      // so `basedOn` is not the accepted revision.
      return {
        kind: 'invalid',
        problems: [`Revision ${change.basedOn} is not the accepted one.`],
      };
  }
}
