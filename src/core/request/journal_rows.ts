/** Rows of the journal, and the decisions taken from them. */

import {z} from 'zod';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
  StoredAnswer,
} from '../../ports/journal.js';
import type {JsonRecord} from '../../ports/table.js';

const rowBase = {
  attemptId: z.string(),
  fingerprint: z.string(),
  entry: z.string(),
  /** Unix time after which the key counts as new. */
  expiresAtWallMs: z.number(),
};

const answerSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** Base64; absent when the body lies in the object store. */
  body: z.string().optional(),
  objectKey: z.string().optional(),
});

const rowSchema = z.discriminatedUnion('state', [
  z.object({...rowBase, state: z.literal('intended')}),
  z.object({...rowBase, state: z.literal('unknown')}),
  z.object({...rowBase, state: z.literal('answered'), answer: answerSchema}),
]);

/** What the table holds under one key. */
export type JournalRow = Readonly<z.infer<typeof rowSchema>>;
export type RowAnswer = Readonly<z.infer<typeof answerSchema>>;

/** Undefined for a row that cannot be read; such a key never runs. */
export function parseJournalRow(value: JsonRecord): JournalRow | undefined {
  const parsed = rowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export const JOURNAL_PREFIX = 'journal/';

/**
 * Where a key's row lies. It does not name the partition: when operators change
 * the number of partitions, a key must find the row that it had before, or its
 * call would run again.
 */
export function journalRowKey(
  request: Pick<IntentRequest, 'account' | 'service' | 'idempotencyKey'>,
): string {
  const parts = [request.account, request.service, request.idempotencyKey];
  return JOURNAL_PREFIX + parts.map(encodeURIComponent).join('/');
}

/** Row that orders all writes of one partition. */
export function journalHeadKey(partition: number): string {
  return `journal_head/${partition}`;
}

export function inlineAnswer(answer: StoredAnswer): RowAnswer {
  return {
    status: answer.status,
    headers: {...answer.headers},
    body: Buffer.from(answer.body).toString('base64'),
  };
}

export type BeginDecision =
  | {readonly kind: 'write-intent'}
  | {readonly kind: 'stored'; readonly answer: RowAnswer}
  | {readonly kind: 'done'; readonly outcome: IntentOutcome};

export interface BeginFacts {
  readonly nowWallMs: number;
  readonly runningRetryMs: number;
  isEntryAlive(entry: string): boolean;
}

function done(outcome: IntentOutcome): BeginDecision {
  return {kind: 'done', outcome};
}

function isOwnIntent(row: JournalRow, request: IntentRequest): boolean {
  return row.attemptId === request.attemptId && row.entry === request.entry;
}

/** Whether a call may start, given what its key's row says. */
export function decideBegin(
  row: JournalRow | undefined,
  request: IntentRequest,
  facts: BeginFacts,
): BeginDecision {
  if (!row || row.expiresAtWallMs <= facts.nowWallMs) {
    return {kind: 'write-intent'};
  }
  if (row.fingerprint !== request.fingerprint) return done({kind: 'conflict'});
  switch (row.state) {
    case 'answered':
      return {kind: 'stored', answer: row.answer};
    case 'unknown':
      return done({kind: 'outcome-unknown', attemptId: row.attemptId});
    case 'intended':
      // The reply to the first asking may have been lost on the way.
      if (isOwnIntent(row, request)) return done({kind: 'proceed'});
      return facts.isEntryAlive(row.entry)
        ? done({kind: 'running', retryAfterMs: facts.runningRetryMs})
        : done({kind: 'outcome-unknown', attemptId: row.attemptId});
  }
}

export type EndDecision =
  | {readonly kind: 'put'; readonly state: 'answered' | 'unknown'}
  | {readonly kind: 'delete'}
  | {readonly kind: 'done'; readonly isDurable: boolean};

/** How a call's end changes its key's row. */
export function decideEnd(
  row: JournalRow | undefined,
  request: IntentRequest,
  end: JournalEnd,
): EndDecision {
  if (row && row.attemptId !== request.attemptId) {
    return {kind: 'done', isDurable: end.kind === 'released'};
  }
  if (row?.state === 'answered') return {kind: 'done', isDurable: true};
  switch (end.kind) {
    case 'answered':
      return {kind: 'put', state: 'answered'};
    case 'outcome-unknown':
      return {kind: 'put', state: 'unknown'};
    case 'released':
      return row ? {kind: 'delete'} : {kind: 'done', isDurable: true};
  }
}
