/** Compares what callers were told with what the service's books say it ran. */

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
  /** Keys that were run more than once. */
  readonly doubles: readonly string[];
  /** Requests that were refused as not run, and had run. */
  readonly falselyNotRun: readonly string[];
  /** Keys that were answered as done, and never ran. */
  readonly answeredNotRun: readonly string[];
  /** Keys of which the caller never heard a run, and which had run. */
  readonly unknownButRan: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** How often each refusal code came. */
  readonly codes: Readonly<Record<string, number>>;
}

export async function readRuns(
  serviceAddresses: readonly string[],
): Promise<{byKey: Map<string, number>; byRequest: Map<string, number>}> {
  const byKey = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const add = (map: Map<string, number>, key: string) =>
    map.set(key, (map.get(key) ?? 0) + 1);
  for (const address of serviceAddresses) {
    const url = `http://${address}/stand-in/books`;
    const books = await getJson<ServiceStats>(url);
    for (const run of books.runs) {
      add(byKey, run.idempotencyKey ?? '');
      add(byRequest, run.requestId);
    }
  }
  return {byKey, byRequest};
}

export async function auditPostings(
  results: readonly PostingResult[],
  serviceAddresses: readonly string[],
): Promise<PostingAudit> {
  const {byKey, byRequest} = await readRuns(serviceAddresses);
  const runsOf = (result: PostingResult) => byKey.get(result.key) ?? 0;
  const of = (outcome: PostingResult['outcome']) =>
    results.filter(result => result.outcome === outcome);
  const tries = results.flatMap(result => result.tries);
  const codes: Record<string, number> = {};
  for (const {code} of tries) {
    if (code) codes[code] = (codes[code] ?? 0) + 1;
  }
  const durations = results.map(result => result.durationMs);
  return {
    posts: results.length,
    answered: of('answered').length,
    unknown: of('unknown').length,
    refused: of('refused').length,
    triesWithoutAnswer: tries.filter(one => one.status === 0).length,
    doubles: results.filter(one => runsOf(one) > 1).map(one => one.key),
    falselyNotRun: tries
      .filter(one => one.runState === 'not-run' && byRequest.has(one.requestId))
      .map(one => `${one.requestId} ${one.code}`),
    answeredNotRun: of('answered')
      .filter(one => runsOf(one) === 0)
      .map(one => one.key),
    unknownButRan: [...of('unknown'), ...of('refused')].filter(
      one => runsOf(one) > 0,
    ).length,
    p50Ms: quantile(durations, 0.5),
    p99Ms: quantile(durations, 0.99),
    maxMs: Math.max(...durations),
    codes,
  };
}
