/**
 * A caller that posts with an Idempotency-Key and retries at the next entry
 * with the same key until the outcome is known.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {CALLER_KEY, PLAIN_SERVICE} from './fleet.js';

/** The outcome of one attempt at one entry. */
export interface PostingAttempt {
  /** The id that the entry gave the request, or empty without an answer. */
  readonly requestId: string;
  /** HTTP status, or 0 if the connection broke or the attempt timed out. */
  readonly status: number;
  readonly runState: string;
  readonly code: string;
}

export interface PostingResult {
  readonly key: string;
  readonly outcome: 'answered' | 'unknown' | 'refused';
  readonly body: string;
  readonly tries: readonly PostingAttempt[];
  readonly durationMs: number;
}

interface Problem {
  readonly code?: string;
  readonly runState?: string;
}

const agent = new Agent({connections: null, pipelining: 1});
const ATTEMPT_TIMEOUT_MS = 6_000;
const TOTAL_TIMEOUT_MS = 25_000;
const DEFAULT_RETRY_DELAY_MS = 200;
const MS_PER_SECOND = 1_000;
const OK = 200;
/** The call was sent and its outcome cannot be known; a retry cannot help. */
const OUTCOME_UNKNOWN_CODE = 'CB3001';

interface AttemptResult extends PostingAttempt {
  readonly body: string;
  readonly retryDelayMs: number;
}

function firstValue(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : (value?.[0] ?? '');
}

function parseProblem(body: string): Problem {
  try {
    return JSON.parse(body) as Problem;
  } catch {
    return {};
  }
}

async function postOnce(entry: string, key: string): Promise<AttemptResult> {
  try {
    const answer = await request(
      `http://${entry}/services/${PLAIN_SERVICE}/postings`,
      {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
        headers: {
          authorization: `Bearer ${CALLER_KEY}`,
          'idempotency-key': key,
          'content-type': 'application/json',
        },
        body: JSON.stringify({posting: key}),
      },
    );
    const body = await answer.body.text();
    const problem = answer.statusCode === OK ? {} : parseProblem(body);
    const retryAfter = Number(firstValue(answer.headers['retry-after']));
    return {
      requestId: firstValue(answer.headers['x-request-id']),
      status: answer.statusCode,
      runState: answer.statusCode === OK ? 'ran' : (problem.runState ?? ''),
      code: problem.code ?? '',
      body,
      retryDelayMs:
        retryAfter > 0 ? retryAfter * MS_PER_SECOND : DEFAULT_RETRY_DELAY_MS,
    };
  } catch {
    return {
      requestId: '',
      status: 0,
      runState: '',
      code: '',
      body: '',
      retryDelayMs: DEFAULT_RETRY_DELAY_MS,
    };
  }
}

/** Posts to `entries` in turn, beginning at index `first`. */
export async function post(
  entries: readonly string[],
  first: number,
  key: string,
): Promise<PostingResult> {
  const startMs = performance.now();
  const tries: PostingAttempt[] = [];
  const finish = (outcome: PostingResult['outcome'], body: string) => ({
    key,
    outcome,
    body,
    tries,
    durationMs: performance.now() - startMs,
  });
  for (let entryIndex = first; ; entryIndex++) {
    const answer = await postOnce(entries[entryIndex % entries.length], key);
    const {requestId, status, runState, code, body} = answer;
    tries.push({requestId, status, runState, code});
    if (status === OK) return finish('answered', body);
    if (code === OUTCOME_UNKNOWN_CODE) return finish('unknown', body);
    if (performance.now() - startMs > TOTAL_TIMEOUT_MS) {
      return finish('refused', body);
    }
    await sleep(answer.retryDelayMs);
  }
}
