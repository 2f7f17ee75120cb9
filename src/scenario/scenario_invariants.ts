/** Invariants that are checked after every scenario. */

import {errorAnswers} from '../core/error_kinds.js';
import {expectAnswer} from '../../stand_ins/answer_text.js';
import {isModelRequest, type CallerView} from './scenario_requests.js';
import type {World} from './scenario_world.js';

/** Whether the tokens are those that the engines generate for the prompt. */
export function isExpectedAnswer(view: CallerView, world: World): boolean {
  const {request, tokens, outcome} = view;
  if (!isModelRequest(request) || outcome?.kind !== 'whole') return false;
  const decoder = [...world.engines.values()].find(
    engine => engine.options.role === 'decode',
  );
  const mean = decoder?.options.answerTokens ?? 0;
  const answer = expectAnswer(request.promptTokens, mean);
  const count = Math.min(answer.naturalTokenCount, request.maxTokens);
  return (
    tokens.length === count &&
    tokens.every((text, offset) => text === answer.textAt(offset))
  );
}

/** All sessions that engines hold, as sentences. */
export function findHeldSessions(world: World): readonly string[] {
  return [...world.engines].flatMap(([name, engine]) => {
    const {isUp, sessions} = engine.stats();
    if (!isUp) return [];
    return sessions.map(
      ({kind, owner}) => `${name} holds ${kind} of ${owner.requestId}`,
    );
  });
}

type InvariantCheck = (world: World) => readonly string[];

const invariantChecks: readonly InvariantCheck[] = [
  checkSinks,
  checkWholeAnswers,
  checkSingleRuns,
  checkNotRun,
  checkHeldMemory,
];

/** Violated invariants, one sentence each. */
export function findViolations(world: World): readonly string[] {
  return invariantChecks.flatMap(check => check(world));
}

function checkSinks(world: World): readonly string[] {
  return [...world.requests.values()].flatMap(({name, violations}) =>
    violations.map(violation => `${name} got ${violation}`),
  );
}

function checkWholeAnswers(world: World): readonly string[] {
  return [...world.requests.values()].flatMap(view => {
    if (view.outcome?.kind !== 'whole' || isExpectedAnswer(view, world))
      return [];
    return [`${view.name} got another answer than its own`];
  });
}

function checkSingleRuns(world: World): readonly string[] {
  const counts = new Map<string, number>();
  for (const ledger of world.ledgers.values()) {
    for (const run of ledger.stats().runs) {
      if (run.method === 'GET') continue;
      const name = run.idempotencyKey ?? run.requestId;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  return [...counts].flatMap(([name, count]) =>
    count > 1 ? [`${name} was run ${count} times`] : [],
  );
}

function checkNotRun(world: World): readonly string[] {
  return [...world.requests.values()].flatMap(({name, request, outcome}) => {
    if (outcome?.kind !== 'refused') return [];
    if (errorAnswers[outcome.error.kind].runState !== 'not-run') return [];
    const {requestId} = request;
    const wasRun = isModelRequest(request)
      ? hasModelRun(world, requestId)
      : hasPlainRun(world, requestId);
    return wasRun ? [`${name} was called not run, and was run`] : [];
  });
}

function hasModelRun(world: World, requestId: string): boolean {
  return [...world.engines.values()].some(engine =>
    engine
      .stats()
      .runs.some(run => run.requestId === requestId && run.tokensMade > 0),
  );
}

function hasPlainRun(world: World, requestId: string): boolean {
  return [...world.ledgers.values()].some(
    ledger => ledger.stats().runsByRequest[requestId] > 0,
  );
}

function checkHeldMemory(world: World): readonly string[] {
  const isOver = ({outcome, isHungUp, fence, request}: CallerView) =>
    outcome !== undefined ||
    fence.isDead() ||
    (isHungUp && request.idempotencyKey === undefined);
  const over = [...world.requests.values()].filter(isOver);
  const names = over.map(view => view.request.requestId);
  return findHeldSessions(world).filter(held =>
    names.some(name => held.endsWith(` of ${name}`)),
  );
}
