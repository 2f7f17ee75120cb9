/** Compares the answers to callers with the runs that the services recorded. */

import type {ServiceStats} from '../../stand_ins/service_core.js';
import {getJson} from './fleet.js';
import {quantile} from './sse_client.js';
import type {PostingResult} from './posting_client.js';

export interface PostingAudit {
  readonly posts: number;
  readonly answered: number;
  readonly unknown: number;
  readonly refused: number;
  readonly triesWithoutAnswer: number;
  /** Keys whose call ran more than once. */
  readonly doubles: readonly string[];
  /** Requests that were refused with run state `not-run` but had run. */
  readonly falselyNotRun: readonly string[];
  /** Keys that got an answer although their call never ran. */
  readonly answeredNotRun: readonly string[];
  /** Number of keys whose call ran although the caller got no answer. */
  readonly unknownButRan: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Number of refusals by error code. */
  readonly codes: Readonly<Record<string, number>>;
}

export async function readRunCounts(
  serviceAddresses: readonly string[],
): Promise<{byKey: Map<string, number>; byRequest: Map<string, number>}> {
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const increment = (map: Map<string, number>, key: string) =>
    map.set(key, (map.get(key) ?? 0) + 1);
  for (const address of serviceAddresses) {
    const url = `http://${address}/stand-in/books`;
    const books = await getJson<ServiceStats>(url);
    for (const run of books.runs) {
      increment(byKey, run.idempotencyKey ?? '');
      increment(byRequest, run.requestId);
    }
  }
  return {byKey, byRequest};
}

export async function auditPostings(
  results: readonly PostingResult[],
  serviceAddresses: readonly string[],
): Promise<PostingAudit> {
  const {byKey, byRequest} = await readRunCounts(serviceAddresses);
  const countRuns = (result: PostingResult) => byKey.get(result.key) ?? 0;
  const withOutcome = (outcome: PostingResult['outcome']) =>
    results.filter(result => result.outcome === outcome);
  const tries = results.flatMap(result => result.tries);
  const codes: Record<string, number> = {};
  for (const {code} of tries) {
    if (code) codes[code] = (codes[code] ?? 0) + 1;
  }
  const durations = results.map(result => result.durationMs);
  return {
    posts: results.length,
    answered: withOutcome('answered').length,
    unknown: withOutcome('unknown').length,
    refused: withOutcome('refused').length,
    triesWithoutAnswer: tries.filter(each => each.status === 0).length,
    doubles: results.filter(each => countRuns(each) > 1).map(each => each.key),
    falselyNotRun: tries
      .filter(
        each => each.runState === 'not-run' && byRequest.has(each.requestId),
      )
      .map(each => `${each.requestId} ${each.code}`),
    answeredNotRun: withOutcome('answered')
      .filter(each => countRuns(each) === 0)
      .map(each => each.key),
    unknownButRan: [
      ...withOutcome('unknown'),
      ...withOutcome('refused'),
    ].filter(each => countRuns(each) > 0).length,
    p50Ms: quantile(durations, 0.5),
    p99Ms: quantile(durations, 0.99),
    maxMs: Math.max(...durations),
    codes,
  };
}
