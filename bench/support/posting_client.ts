/**
 * A caller that posts with an Idempotency-Key and, as a real one would, asks
 * another entry with the same key until it has a clear outcome.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {CALLER_KEY, PLAIN_SERVICE} from './fleet.js';

/** One answer of an entry to one try. */
export interface PostingTry {
  /** As the entry named the request; empty if there was no answer. */
  readonly requestId: string;
  /** 0 when the connection broke or nothing came in time. */
  readonly status: number;
  readonly runState: string;
  readonly code: string;
}

export interface PostingResult {
  readonly key: string;
  readonly outcome: 'answered' | 'unknown' | 'refused';
  readonly body: string;
  readonly tries: readonly PostingTry[];
  readonly durationMs: number;
}

interface Problem {
  readonly code?: string;
  readonly runState?: string;
}

const agent = new Agent({connections: null, pipelining: 1});
const TRY_TIMEOUT_MS = 6_000;
const GIVE_UP_MS = 25_000;
const PAUSE_MS = 200;
const MS_PER_SECOND = 1_000;
const OK = 200;
/** The call was sent and nobody will ever know; repeating it cannot help. */
const OUTCOME_UNKNOWN = 'CB3001';

interface TryAnswer extends PostingTry {
  readonly body: string;
  readonly pauseMs: number;
}

function firstOf(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : (value?.[0] ?? '');
}

function parseProblem(body: string): Problem {
  try {
    return JSON.parse(body) as Problem;
  } catch {
    return {};
  }
}

async function tryOnce(entry: string, key: string): Promise<TryAnswer> {
  try {
    const answer = await request(
      `http://${entry}/services/${PLAIN_SERVICE}/postings`,
      {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(TRY_TIMEOUT_MS),
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
    const retryAfter = Number(firstOf(answer.headers['retry-after']));
    return {
      requestId: firstOf(answer.headers['x-request-id']),
      status: answer.statusCode,
      runState: answer.statusCode === OK ? 'ran' : (problem.runState ?? ''),
      code: problem.code ?? '',
      body,
      pauseMs: retryAfter > 0 ? retryAfter * MS_PER_SECOND : PAUSE_MS,
    };
  } catch {
    return {
      requestId: '',
      status: 0,
      runState: '',
      code: '',
      body: '',
      pauseMs: PAUSE_MS,
    };
  }
}

/** Posts at `entries` in turn, beginning with `first`. */
export async function post(
  entries: readonly string[],
  first: number,
  key: string,
): Promise<PostingResult> {
  const startMs = performance.now();
  const tries: PostingTry[] = [];
  const finish = (outcome: PostingResult['outcome'], body: string) => ({
    key,
    outcome,
    body,
    tries,
    durationMs: performance.now() - startMs,
  });
  for (let turn = first; ; turn++) {
    const answer = await tryOnce(entries[turn % entries.length], key);
    const {requestId, status, runState, code, body} = answer;
    tries.push({requestId, status, runState, code});
    if (status === OK) return finish('answered', body);
    if (code === OUTCOME_UNKNOWN) return finish('unknown', body);
    if (performance.now() - startMs > GIVE_UP_MS) {
      return finish('refused', body);
    }
    await sleep(answer.pauseMs);
  }
}
