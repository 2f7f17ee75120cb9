/** Callers of the fault harness. They send calls and record the outcomes. */

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
  /** Identifies the content: calls with the same id have the same body. */
  readonly id: string;
  /** Identifies the caller; each request id begins with it. */
  readonly sender: string;
  readonly kind: CallKind;
  /** Sent as Idempotency-Key. */
  readonly key?: string;
  readonly isPoison: boolean;
  readonly entryIndex: number;
  readonly atMs: number;
  /** Time from the first attempt until the caller hangs up. */
  readonly hangUpAfterMs?: number;
  readonly waitMs: number;
  /** Maximum number of attempts, including the first. */
  readonly maxSends: number;
  /** Whether this repeats an earlier call after all faults are over. */
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

/** One attempt of a call at one entry. */
export interface SendRecord {
  readonly spec: CallSpec;
  readonly requestId: string;
  readonly entry: SiteEntry;
  readonly texts: string[];
  readonly outcomes: SendOutcome[];
  /** Protocol violations that the caller observed. */
  readonly violations: string[];
  hasHungUp: boolean;
  /** Whether the connection broke before the answer arrived. */
  isConnectionLost: boolean;
  endedAtMs: number | undefined;
  arrivedAtMs: number | undefined;
}

export interface SiteCallers {
  schedule(spec: CallSpec): void;
  /** Ends the connections of the named senders that still wait. */
  hangUp(...senders: readonly string[]): void;
  records(): readonly SendRecord[];
}

const CHECK_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 200;
/** Time beyond `waitMs` after which a caller without an answer retries. */
const CALLER_TIMEOUT_MARGIN_MS = 2_500;

export function createPrompt(spec: CallSpec): readonly number[] {
  const seed = [...spec.id].reduce((sum, c) => sum * 31 + c.charCodeAt(0), 7);
  const tokens = Array.from({length: 20}, (_, i) => 1_000 + ((seed + i) % 977));
  return spec.isPoison ? [...tokens, POISON_TOKEN] : tokens;
}

export function createBody(spec: CallSpec): string {
  return spec.isPoison ? `${spec.id} ${POISON_TEXT}` : spec.id;
}

export function createSiteCallers(
  site: RequestSite,
  onEnded: (requestId: string) => void,
): SiteCallers {
  const {clock} = site;
  const records: SendRecord[] = [];
  const hangUps = new Map<string, () => void>();

  function findAcceptingEntry(first: number): SiteEntry | undefined {
    for (let step = 0; step < ENTRY_COUNT; step++) {
      const entry = site.entries()[(first + step) % ENTRY_COUNT];
      if (entry.simulatedProcess.isAlive() && !entry.isDraining) return entry;
    }
    return undefined;
  }

  function send(spec: CallSpec, attempt: number, entryIndex: number): void {
    const entry = findAcceptingEntry(entryIndex);
    if (!entry) {
      clock.setTimer(RETRY_DELAY_MS, () => send(spec, attempt, entryIndex));
      return;
    }
    const record: SendRecord = {
      spec,
      requestId: `${spec.sender}/${spec.isRepeat ? 'late' : attempt}`,
      entry,
      texts: [],
      outcomes: [],
      violations: [],
      hasHungUp: false,
      isConnectionLost: false,
      endedAtMs: undefined,
      arrivedAtMs: undefined,
    };
    records.push(record);
    const resend = (delayMs: number) => {
      if (attempt >= spec.maxSends) return;
      clock.setTimer(delayMs, () => send(spec, attempt + 1, entry.index + 1));
    };
    let running: RunningRequest | undefined;
    entry.simulatedProcess.run(() => {
      running = startRequest(record, outcome => {
        const isRetried =
          outcome.kind === 'failed' &&
          errorAnswers[outcome.error.kind].retryable;
        if (isRetried) resend(outcome.error.retryAfterMs ?? RETRY_DELAY_MS);
      });
    });
    const hangUp = () => {
      if (record.outcomes.length > 0 || record.hasHungUp) return;
      record.hasHungUp = true;
      entry.simulatedProcess.run(() => running?.callerGone());
      resend(CHECK_INTERVAL_MS);
    };
    hangUps.set(spec.sender, hangUp);
    if (spec.hangUpAfterMs !== undefined && attempt === 1) {
      clock.setTimer(spec.hangUpAfterMs, hangUp);
    }
    watchConnection(record, resend);
  }

  /** Retries if the entry dies or no answer arrives in time. */
  function watchConnection(
    record: SendRecord,
    resend: (delayMs: number) => void,
  ): void {
    const {spec, entry} = record;
    const timeoutAtMs = clock.nowMs() + spec.waitMs + CALLER_TIMEOUT_MARGIN_MS;
    const checkConnection = () => {
      if (record.outcomes.length > 0 || record.hasHungUp) return;
      const isLost =
        !entry.simulatedProcess.isAlive() || clock.nowMs() > timeoutAtMs;
      if (!isLost) {
        clock.setTimer(CHECK_INTERVAL_MS, checkConnection);
        return;
      }
      record.isConnectionLost = !entry.simulatedProcess.isAlive();
      record.hasHungUp = true;
      resend(0);
    };
    clock.setTimer(CHECK_INTERVAL_MS, checkConnection);
  }

  function startRequest(
    record: SendRecord,
    onOutcome: (outcome: SendOutcome) => void,
  ): RunningRequest {
    const {spec, requestId, entry} = record;
    const nowMs = clock.nowMs();
    record.arrivedAtMs = nowMs;
    const recordOutcome = (outcome: SendOutcome) => {
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
      fingerprint: `${spec.kind} ${createBody(spec)}`,
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
          promptTokens: createPrompt(spec),
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
            recordOutcome({kind: 'whole', texts: record.texts, tokenCount}),
          fail: error => recordOutcome({kind: 'failed', error}),
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
        body: Buffer.from(createBody(spec)),
        repeatable: spec.kind === 'plain',
      },
      {
        end: answer => recordOutcome({kind: 'answered', answer}),
        fail: error => recordOutcome({kind: 'failed', error}),
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
