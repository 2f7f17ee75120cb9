/** Callers of the fault harness: what they send, and what came back to them. */

import type {RequestError} from '../../src/core/error_kinds.js';
import {errorAnswers} from '../../src/core/error_kinds.js';
import type {RunningRequest} from '../../src/ports/answer_sink.js';
import type {StoredAnswer} from '../../src/ports/journal.js';
import type {SiteEntry} from './site_entry.js';
import {
  ENTRY_COUNT,
  POISON_TEXT,
  POISON_TOKEN,
  type RequestSite,
} from './request_site.js';

export type CallKind = 'model' | 'patient' | 'plain' | 'single';

export interface CallSpec {
  /** Names the work: calls with one id have the same body. */
  readonly id: string;
  /** Names the caller; part of each request id. */
  readonly sender: string;
  readonly kind: CallKind;
  /** Sent as Idempotency-Key. */
  readonly key?: string;
  readonly isPoison: boolean;
  readonly entryIndex: number;
  readonly atMs: number;
  /** The caller hangs up this long after sending. */
  readonly hangUpAfterMs?: number;
  readonly waitMs: number;
  /** Times it is sent, the first one included. */
  readonly maxSends: number;
  /** Sent once more, when all is healed, with the same key. */
  readonly isRepeat?: boolean;
}

export type SendOutcome =
  | {
      readonly kind: 'whole';
      readonly texts: readonly string[];
      readonly tokenCount: number;
    }
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  | {readonly kind: 'failed'; readonly error: RequestError};

/** One sending of one call to one entry. */
export interface SendRecord {
  readonly spec: CallSpec;
  readonly requestId: string;
  readonly entry: SiteEntry;
  readonly texts: string[];
  readonly outcomes: SendOutcome[];
  /** Faults seen by the caller's own connection. */
  readonly violations: string[];
  hasHungUp: boolean;
  /** The connection broke before an answer came. */
  wasLost: boolean;
  endedAtMs: number | undefined;
  arrivedAtMs: number | undefined;
}

export interface SiteCallers {
  schedule(spec: CallSpec): void;
  /** The named senders hang up now, if they still wait. */
  hangUp(...senders: readonly string[]): void;
  records(): readonly SendRecord[];
}

const LOOK_MS = 100;
const RETRY_MS = 200;
/** How much longer than its wait a caller listens before it asks again. */
const PATIENCE_MS = 2_500;

export function promptOf(spec: CallSpec): readonly number[] {
  const seed = [...spec.id].reduce((sum, c) => sum * 31 + c.charCodeAt(0), 7);
  const tokens = Array.from({length: 20}, (_, i) => 1_000 + ((seed + i) % 977));
  return spec.isPoison ? [...tokens, POISON_TOKEN] : tokens;
}

export function bodyOf(spec: CallSpec): string {
  return spec.isPoison ? `${spec.id} ${POISON_TEXT}` : spec.id;
}

export function createSiteCallers(
  site: RequestSite,
  onEnded: (requestId: string) => void,
): SiteCallers {
  const {clock} = site;
  const records: SendRecord[] = [];
  const hangUps = new Map<string, () => void>();

  function pickEntry(first: number): SiteEntry | undefined {
    for (let step = 0; step < ENTRY_COUNT; step++) {
      const entry = site.entries()[(first + step) % ENTRY_COUNT];
      if (entry.shell.isAlive() && !entry.isDraining) return entry;
    }
    return undefined;
  }

  function send(spec: CallSpec, sends: number, entryIndex: number): void {
    const entry = pickEntry(entryIndex);
    if (!entry) {
      clock.setTimer(RETRY_MS, () => send(spec, sends, entryIndex));
      return;
    }
    const record: SendRecord = {
      spec,
      requestId: `${spec.sender}/${spec.isRepeat ? 'late' : sends}`,
      entry,
      texts: [],
      outcomes: [],
      violations: [],
      hasHungUp: false,
      wasLost: false,
      endedAtMs: undefined,
      arrivedAtMs: undefined,
    };
    records.push(record);
    const again = (delayMs: number) => {
      if (sends >= spec.maxSends) return;
      clock.setTimer(delayMs, () => send(spec, sends + 1, entry.index + 1));
    };
    let running: RunningRequest | undefined;
    entry.shell.inside(() => {
      running = run(record, outcome => {
        const isRetried =
          outcome.kind === 'failed' &&
          errorAnswers[outcome.error.kind].retryable;
        if (isRetried) again(outcome.error.retryAfterMs ?? RETRY_MS);
      });
    });
    const hangUp = () => {
      if (record.outcomes.length > 0 || record.hasHungUp) return;
      record.hasHungUp = true;
      entry.shell.inside(() => running?.callerGone());
      again(LOOK_MS);
    };
    hangUps.set(spec.sender, hangUp);
    if (spec.hangUpAfterMs !== undefined && sends === 1) {
      clock.setTimer(spec.hangUpAfterMs, hangUp);
    }
    watch(record, again);
  }

  /** Notices that the connection broke, or that nothing ever comes. */
  function watch(record: SendRecord, again: (delayMs: number) => void): void {
    const {spec, entry} = record;
    const untilMs = clock.nowMs() + spec.waitMs + PATIENCE_MS;
    const look = () => {
      if (record.outcomes.length > 0 || record.hasHungUp) return;
      const isLost = !entry.shell.isAlive() || clock.nowMs() > untilMs;
      if (!isLost) {
        clock.setTimer(LOOK_MS, look);
        return;
      }
      record.wasLost = !entry.shell.isAlive();
      record.hasHungUp = true;
      again(0);
    };
    clock.setTimer(LOOK_MS, look);
  }

  function run(
    record: SendRecord,
    onOutcome: (outcome: SendOutcome) => void,
  ): RunningRequest {
    const {spec, requestId, entry} = record;
    const nowMs = clock.nowMs();
    record.arrivedAtMs = nowMs;
    const note = (outcome: SendOutcome) => {
      record.outcomes.push(outcome);
      record.endedAtMs = clock.nowMs();
      onEnded(requestId);
      if (record.outcomes.length > 1) {
        record.violations.push('a second final answer');
        return;
      }
      if (!record.hasHungUp) onOutcome(outcome);
    };
    const common = {
      requestId,
      account: 'a1',
      idempotencyKey: spec.key,
      fingerprint: `${spec.kind} ${bodyOf(spec)}`,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + spec.waitMs,
    };
    if (spec.kind === 'model' || spec.kind === 'patient') {
      return entry.runner.runModel(
        {
          ...common,
          service: 'drafts',
          requestClass: spec.kind === 'patient' ? 'patient' : 'interactive',
          model: 'default',
          promptTokens: promptOf(spec),
          maxTokens: 1_000,
        },
        {
          tokens(offset, texts) {
            if (record.outcomes.length > 0) {
              record.violations.push('tokens after the end');
            }
            if (offset !== record.texts.length) {
              record.violations.push('tokens out of order');
            }
            record.texts.push(...texts);
          },
          end: (_reason, tokenCount) =>
            note({kind: 'whole', texts: record.texts, tokenCount}),
          fail: error => note({kind: 'failed', error}),
        },
      );
    }
    return entry.runner.runPlain(
      {
        ...common,
        service: 'ledger',
        method: spec.kind === 'single' ? 'POST' : 'GET',
        path: `/${spec.id}`,
        headers: spec.key ? {'idempotency-key': spec.key} : {},
        body: Buffer.from(bodyOf(spec)),
        repeatable: spec.kind === 'plain',
      },
      {
        end: answer => note({kind: 'answered', answer}),
        fail: error => note({kind: 'failed', error}),
      },
    );
  }

  return {
    schedule(spec) {
      clock.setTimer(spec.atMs, () => send(spec, 1, spec.entryIndex));
    },
    hangUp: (...senders) => senders.forEach(name => hangUps.get(name)?.()),
    records: () => records,
  };
}
