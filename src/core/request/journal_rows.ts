/** Rows of the journal, and the decisions based on them. */

import {z} from 'zod';
import type {
  IntentOutcome,
  IntentRequest,
  JournalEnd,
  StoredAnswer,
} from '../../ports/journal.js';
import type {JsonRecord} from '../../ports/table.js';

const rowFields = {
  attemptId: z.string(),
  fingerprint: z.string(),
  entry: z.string(),
  /** Unix time in ms after which the key is treated as new. */
  expiresAtWallMs: z.number(),
};

const answerSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  /** Base64; absent if the body is in the object store. */
  body: z.string().optional(),
  objectKey: z.string().optional(),
});

const rowSchema = z.discriminatedUnion('state', [
  z.object({...rowFields, state: z.literal('intended')}),
  z.object({...rowFields, state: z.literal('unknown')}),
  z.object({...rowFields, state: z.literal('answered'), answer: answerSchema}),
]);

/** The table row of one key. */
export type JournalRow = Readonly<z.infer<typeof rowSchema>>;
export type RowAnswer = Readonly<z.infer<typeof answerSchema>>;

/** Returns undefined for a malformed row; a call with its key is not run. */
export function parseJournalRow(value: JsonRecord): JournalRow | undefined {
  const parsed = rowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export const JOURNAL_PREFIX = 'journal/';

/**
 * Returns the table key of a request's row. It does not contain the partition,
 * because the row must be found after the number of partitions changes;
 * otherwise the call would run again.
 */
export function journalRowKey(
  request: Pick<IntentRequest, 'account' | 'service' | 'idempotencyKey'>,
): string {
  const parts = [request.account, request.service, request.idempotencyKey];
  return JOURNAL_PREFIX + parts.map(encodeURIComponent).join('/');
}

/** Returns the key of the row that orders all writes of one partition. */
export function journalHeadKey(partition: number): string {
  return `journal_head/${partition}`;
}

export function toInlineAnswer(answer: StoredAnswer): RowAnswer {
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

/** Decides from the row of its key whether a call may start. */
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
      // This attempt has written the row itself, but the journal's reply may
      // have been lost.
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

/** Decides how the outcome of a call changes the row of its key. */
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
