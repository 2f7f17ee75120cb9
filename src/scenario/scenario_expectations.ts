/** The `expect` statements, checked against callers and the stand-ins' state. */

import type {StatementArguments} from './scenario_parser.js';
import {findHeldSessions, isExpectedAnswer} from './scenario_invariants.js';
import type {CallerView} from './scenario_requests.js';
import type {World} from './scenario_world.js';
import {parseShape, type StatementShape} from './statement_shape.js';

export interface ExpectationFailure {
  readonly reason: string;
}

export interface ExpectationDefinition {
  readonly pattern: string;
  readonly shape: StatementShape;
  run(args: StatementArguments, world: World): ExpectationFailure | void;
}

const define = (
  pattern: string,
  check: (args: StatementArguments, world: World) => string | undefined,
): ExpectationDefinition => ({
  pattern: `expect ${pattern}`,
  shape: parseShape(`expect ${pattern}`),
  run(args, world) {
    const reason = check(args, world);
    return reason === undefined ? undefined : {reason};
  },
});

function getRequest(
  args: StatementArguments,
  world: World,
  index = 0,
): CallerView {
  return world.requests.get(args.getText(index))!;
}

function describe({outcome, tokens}: CallerView): string {
  switch (outcome?.kind) {
    case undefined:
      return `no end yet, ${tokens.length} tokens`;
    case 'whole':
      return `whole, ${outcome.tokenCount} tokens`;
    case 'answered':
      return `answered ${outcome.answer.status}`;
    case 'refused':
      return `refused, ${outcome.error.kind}`;
  }
}

const failUnless = (holds: boolean, found: string): string | undefined =>
  holds ? undefined : `found: ${found}`;

function getAnswerText(view: CallerView): string | undefined {
  const {outcome, tokens} = view;
  if (outcome?.kind === 'whole') return tokens.join('');
  if (outcome?.kind !== 'answered') return undefined;
  return new TextDecoder().decode(outcome.answer.body);
}

function sumRuns(world: World, key: string): number {
  return [...world.ledgers.values()].reduce(
    (sum, ledger) => sum + (ledger.stats().runsByKey[key] ?? 0),
    0,
  );
}

/** A leaving upstream may get new work for no longer than this. */
const MAX_WORK_AFTER_LEAVING_MS = 2_000;

export const expectationDefinitions: readonly ExpectationDefinition[] = [
  define('<request> whole', (args, world) => {
    const view = getRequest(args, world);
    const isWhole = view.outcome?.kind === 'whole';
    return failUnless(isWhole && isExpectedAnswer(view, world), describe(view));
  }),
  define('<request> answered <count>', (args, world) => {
    const view = getRequest(args, world);
    const {outcome} = view;
    const status = outcome?.kind === 'answered' && outcome.answer.status;
    return failUnless(status === args.getCount(1), describe(view));
  }),
  define('<request> refused <error>', (args, world) => {
    const view = getRequest(args, world);
    const {outcome} = view;
    const kind = outcome?.kind === 'refused' && outcome.error.kind;
    return failUnless(kind === args.getText(1), describe(view));
  }),
  define('<request> open', (args, world) => {
    const view = getRequest(args, world);
    return failUnless(view.outcome === undefined, describe(view));
  }),
  define('<request> within <duration>', (args, world) => {
    const view = getRequest(args, world);
    const endedAtMs = view.endedAtMs ?? Number.POSITIVE_INFINITY;
    const tookMs = endedAtMs - view.request.arrivedAtMs;
    return failUnless(tookMs <= args.getDurationMs(1), `${tookMs} ms`);
  }),
  define('<request> same as <request>', (args, world) => {
    const first = getAnswerText(getRequest(args, world));
    const second = getAnswerText(getRequest(args, world, 1));
    return failUnless(
      first !== undefined && first === second,
      `${first ?? 'nothing'} and ${second ?? 'nothing'}`,
    );
  }),
  define('<request> told to come back', (args, world) => {
    const view = getRequest(args, world);
    const {outcome} = view;
    const retryAfterMs =
      outcome?.kind === 'refused' ? outcome.error.retryAfterMs : undefined;
    return failUnless(retryAfterMs !== undefined, describe(view));
  }),
  define('key <name> run <count>', (args, world) => {
    const runs = sumRuns(world, args.getText(0));
    return failUnless(runs === args.getCount(1), `${runs} runs`);
  }),
  define('<ledger> run <count>', (args, world) => {
    const runs = world.ledgers.get(args.getText(0))!.stats().runCount;
    return failUnless(runs === args.getCount(1), `${runs} runs`);
  }),
  define('<engine> prefills <count>', (args, world) => {
    const {prefillsFinished} = world.engines.get(args.getText(0))!.stats();
    const isRight = prefillsFinished === args.getCount(1);
    return failUnless(isRight, `${prefillsFinished} prefills`);
  }),
  define('<engine> decodes <count>', (args, world) => {
    const {runs} = world.engines.get(args.getText(0))!.stats();
    const decodes = runs.reduce((sum, run) => sum + run.decodesStarted, 0);
    return failUnless(decodes === args.getCount(1), `${decodes} decodes`);
  }),
  define('<engine> crashes <count>', (args, world) => {
    const {crashes} = world.engines.get(args.getText(0))!.stats();
    return failUnless(crashes === args.getCount(1), `${crashes} crashes`);
  }),
  define('<engine> asked late <count>', (args, world) => {
    const {workAfterLeavingMs} = world.engines.get(args.getText(0))!.stats();
    const late = workAfterLeavingMs.filter(
      ms => ms > MAX_WORK_AFTER_LEAVING_MS,
    ).length;
    return failUnless(late === args.getCount(1), `${late} times`);
  }),
  define('crashes at most <count>', (args, world) => {
    const crashes = [...world.engines.values()].reduce(
      (sum, engine) => sum + engine.stats().crashes,
      0,
    );
    return failUnless(crashes <= args.getCount(0), `${crashes} crashes`);
  }),
  define('wasted prefills <count>', (args, world) => {
    const wasted = [...world.engines.values()].reduce(
      (sum, engine) => sum + engine.stats().prefillsWasted,
      0,
    );
    return failUnless(wasted === args.getCount(0), `${wasted} wasted`);
  }),
  define('<engine> free', (args, world) => {
    const {sessions} = world.engines.get(args.getText(0))!.stats();
    return failUnless(sessions.length === 0, `${sessions.length} sessions`);
  }),
  define('home queues <count>', (args, world) => {
    const queued = world.home.queuedCount();
    return failUnless(queued === args.getCount(0), `${queued} requests`);
  }),
  define('nothing held', (_, world) => {
    const held = findHeldSessions(world);
    return failUnless(held.length === 0, held.join(', '));
  }),
  define('<entry> active <count>', (args, world) => {
    const active = world.entries.get(args.getText(0))!.runner.activeCount();
    return failUnless(active === args.getCount(1), `${active} active`);
  }),
];
