/** The statements of the scenario language: their patterns and actions. */

import type {EngineCore} from '../../stand_ins/engine_core.js';
import type {EngineOptions} from '../../stand_ins/engine_types.js';
import {
  expectationDefinitions,
  type ExpectationFailure,
} from './scenario_expectations.js';
import type {StatementArguments} from './scenario_parser.js';
import {conditionDefinitions} from './scenario_conditions.js';
import type {World} from './scenario_world.js';
import {parseShape, type StatementShape} from './statement_shape.js';

export interface ExecutableStatement {
  /** The syntax that the reference shows. */
  readonly pattern: string;
  readonly shape: StatementShape;
  /** Returns the reason if the scenario fails at this statement. */
  run(
    args: StatementArguments,
    world: World,
  ): ExpectationFailure | void | Promise<ExpectationFailure | void>;
}

export const GUARD_KEYWORD = 'guard';

const define = (
  pattern: string,
  run: ExecutableStatement['run'],
): ExecutableStatement => ({
  pattern,
  shape: parseShape(pattern),
  run,
});

const ENGINE_OPTIONS =
  '[slots <count>] [answer <count>] [step <duration>] [restart <duration>] ' +
  '[prefill-life <duration>] [crash-at-decode]';

const setup: readonly ExecutableStatement[] = [
  // The file, the code that the scenario guards, and its replacement; see
  // scripts/check_guards.mjs.
  define('guard <name> <text> <text>', () => undefined),
  define('entry <+entry>', (args, world) => world.addEntry(args.getText(0))),
  define(`prefill <+engine> ${ENGINE_OPTIONS}`, (args, world) =>
    world.addEngine(args.getText(0), {...readEngine(args), role: 'prefill'}),
  ),
  define(`decode <+engine> ${ENGINE_OPTIONS}`, (args, world) =>
    world.addEngine(args.getText(0), {...readEngine(args), role: 'decode'}),
  ),
  define('ledger <+ledger> [run <duration>]', (args, world) =>
    world.addLedger(args.getText(0), args.findDurationMs('run')),
  ),
];

function readEngine(args: StatementArguments): Partial<EngineOptions> {
  const options: Record<string, unknown> = {
    slots: args.findCount('slots'),
    answerTokens: args.findCount('answer'),
    stepMs: args.findDurationMs('step'),
    restartMs: args.findDurationMs('restart'),
    prefillLifeMs: args.findDurationMs('prefill-life'),
    crashAt: args.hasOption('crash-at-decode') ? 'decode' : undefined,
  };
  return Object.fromEntries(
    Object.entries(options).filter(([, value]) => value !== undefined),
  );
}

const requests: readonly ExecutableStatement[] = [
  define(
    'model <+request> at <entry> prompt <count> tokens <count> ' +
      '[key <name>] [patient] [wait <duration>] [poison]',
    (args, world) =>
      world.startModel({
        name: args.getText(0),
        entry: args.getText(1),
        promptTokenCount: args.getCount(2),
        maxTokens: args.getCount(3),
        key: args.findOption('key'),
        requestClass: args.hasOption('patient') ? 'patient' : 'interactive',
        waitMs: args.findDurationMs('wait'),
        isPoison: args.hasOption('poison'),
      }),
  ),
  define(
    'model <+request> at <entry> like <request> ' +
      '[key <name>] [patient] [wait <duration>]',
    (args, world) =>
      world.startModel({
        name: args.getText(0),
        entry: args.getText(1),
        promptTokenCount: 0,
        maxTokens: 0,
        key: args.findOption('key'),
        requestClass: args.hasOption('patient') ? 'patient' : 'interactive',
        waitMs: args.findDurationMs('wait'),
        isPoison: false,
        copyOf: args.getText(2),
      }),
  ),
  define(
    'post <+request> at <entry> body <text> [key <name>] [wait <duration>]',
    (args, world) => startPlain(args, world, false),
  ),
  define(
    'get <+request> at <entry> body <text> [wait <duration>]',
    (args, world) => startPlain(args, world, true),
  ),
  define('hang-up <request>', (args, world) =>
    world.requests.get(args.getText(0))!.hangUp(),
  ),
];

function startPlain(
  args: StatementArguments,
  world: World,
  isRepeatable: boolean,
): void {
  world.startPlain({
    name: args.getText(0),
    entry: args.getText(1),
    key: args.findOption('key'),
    body: args.getText(2),
    waitMs: args.findDurationMs('wait'),
    isRepeatable,
  });
}

/** Actions on a process of any kind. */
interface NodeActions {
  crash(): void;
  restart(): void | Promise<void>;
  pause(): void;
  resume(): void;
}

function findNode(name: string, world: World): NodeActions {
  const {home, platform} = world;
  if (name === 'home') return home;
  const entry = world.entries.get(name);
  if (entry) {
    return {
      crash: () => world.killEntry(name),
      restart: () => world.replaceEntry(name),
      pause: () => entry.fence.pause(),
      resume: () => entry.fence.resume(),
    };
  }
  const core = world.engines.get(name) ?? world.ledgers.get(name) ?? platform;
  return {
    crash: () => core.crash(),
    restart: () => core.restart(),
    pause: () => core.gate.freeze(),
    resume: () => core.gate.thaw(),
  };
}

const defineTraced = (
  pattern: string,
  run: (args: StatementArguments, world: World) => void | Promise<void>,
  describe: (args: StatementArguments) => string,
): ExecutableStatement =>
  define(pattern, (args, world) => {
    world.trace(`* ${describe(args)}`);
    return run(args, world);
  });

const defineNodeFault = (
  word: string,
  act: (node: NodeActions) => void | Promise<void>,
) =>
  defineTraced(
    `${word} <node>`,
    (args, world) => act(findNode(args.getText(0), world)),
    args => `${word} ${args.getText(0)}`,
  );

const faults: readonly ExecutableStatement[] = [
  defineNodeFault('crash', node => node.crash()),
  defineNodeFault('restart', node => node.restart()),
  defineNodeFault('pause', node => node.pause()),
  defineNodeFault('resume', node => node.resume()),
  defineTraced(
    'crash engine of <request>',
    (args, world) => findServingEngine(args.getText(0), world)?.crash(),
    args => `the engine that runs ${args.getText(0)} dies`,
  ),
  defineTraced(
    'silence <node> [connections <count>]',
    (args, world) => {
      const name = args.getText(0);
      const core = world.engines.get(name) ?? world.ledgers.get(name);
      core?.gate.silence(args.findCount('connections') ?? 1);
    },
    args => `the connections to ${args.getText(0)} go silent`,
  ),
  defineTraced(
    'leave <node>',
    (args, world) => {
      const name = args.getText(0);
      const core = world.engines.get(name) ?? world.ledgers.get(name);
      core?.setLeaving(true);
    },
    args => `${args.getText(0)} is leaving`,
  ),
  defineTraced(
    'stall transfers from <engine>',
    (args, world) =>
      world.engines.get(args.getText(0))!.setFaults({stallTransfers: true}),
    args => `transfers from ${args.getText(0)} stall`,
  ),
  defineTraced(
    'slow <node> by <count>',
    (args, world) => {
      const name = args.getText(0);
      const slowFactor = args.getCount(1);
      world.engines.get(name)?.setFaults({slowFactor});
      world.ledgers.get(name)?.setFaults({slowFactor});
    },
    args => `${args.getText(0)} is ${args.getCount(1)} times slower`,
  ),
  defineTraced(
    'repeat <percent> of frames of <engine>',
    (args, world) =>
      world.engines
        .get(args.getText(1))!
        .setFaults({staleFrameShare: args.getShare(0)}),
    args => `${args.getText(1)} sends frames again, late`,
  ),
  defineTraced(
    'delay answers of <node> up to <duration>',
    (args, world) => {
      const name = args.getText(0);
      const answerDelayMs = args.getDurationMs(1);
      world.engines.get(name)?.setFaults({answerDelayMs});
      world.ledgers.get(name)?.setFaults({answerDelayMs});
    },
    args => `answers of ${args.getText(0)} are late and cross`,
  ),
  defineTraced(
    'lose <percent> of answers of <ledger>',
    (args, world) =>
      world.ledgers
        .get(args.getText(1))!
        .setFaults({answerLostShare: args.getShare(0)}),
    args => `${args.getText(1)} loses answers`,
  ),
  defineTraced(
    'platform down',
    (_, world) => world.platform.setFaults({isDown: true}),
    () => 'the platform is down',
  ),
  defineTraced(
    'platform normal',
    (_, world) =>
      world.platform.setFaults({
        isDown: false,
        slowMs: 0,
        answerLostShare: 0,
        lateShare: 0,
        lateMs: 0,
        readLostShare: 0,
      }),
    () => 'the platform works again',
  ),
  defineTraced(
    'platform slow by <duration>',
    (args, world) => world.platform.setFaults({slowMs: args.getDurationMs(0)}),
    () => 'the platform is slow',
  ),
  defineTraced(
    'platform loses <percent> of answers',
    (args, world) =>
      world.platform.setFaults({answerLostShare: args.getShare(0)}),
    () => 'the platform writes and loses the answers',
  ),
  defineTraced(
    'platform applies <percent> of writes late by <duration>',
    (args, world) =>
      world.platform.setFaults({
        lateShare: args.getShare(0),
        lateMs: args.getDurationMs(1),
      }),
    () => 'the platform writes late and loses the answers',
  ),
  defineTraced(
    'journal moves to <entry>',
    async (args, world) => {
      const name = args.getText(0);
      const {fence} = world.entries.get(name)!;
      const done = world.journal.takeOver(name, fence);
      await world.clock.advance(TAKEOVER_MS);
      await done;
    },
    args => `${args.getText(0)} takes the journal over`,
  ),
];

/** The engine that decodes a request, or else one with a session for it. */
function findServingEngine(name: string, world: World): EngineCore | undefined {
  const {requestId} = world.requests.get(name)!.request;
  const holders = [...world.engines.values()].filter(engine =>
    engine.stats().sessions.some(({owner}) => owner.requestId === requestId),
  );
  const isDecoder = (engine: EngineCore) => engine.stats().role === 'decode';
  return holders.find(isDecoder) ?? holders[0];
}

const TAKEOVER_MS = 20;
const UNTIL_STEP_MS = 1;
const UNTIL_TIMEOUT_MS = 120_000;

const time: readonly ExecutableStatement[] = [
  define('wait <duration>', (args, world) =>
    world.clock.advance(args.getDurationMs(0)),
  ),
  ...conditionDefinitions.map(({pattern, holds}) =>
    define(`until ${pattern}`, async (args, world) => {
      const deadlineAtMs = world.clock.nowMs() + UNTIL_TIMEOUT_MS;
      while (!holds(args, world)) {
        if (world.clock.nowMs() >= deadlineAtMs)
          return {reason: 'it never came'};
        await world.clock.advance(UNTIL_STEP_MS);
      }
      return undefined;
    }),
  ),
];

/** Statements of one kind, with their heading in the reference. */
export interface StatementGroup {
  readonly title: string;
  readonly definitions: readonly ExecutableStatement[];
}

export const statementGroups: readonly StatementGroup[] = [
  {title: 'Set up', definitions: setup},
  {title: 'Requests', definitions: requests},
  {title: 'Faults', definitions: faults},
  {title: 'Time', definitions: time},
  {title: 'Expectations', definitions: expectationDefinitions},
];

export const statementDefinitions: readonly ExecutableStatement[] =
  statementGroups.flatMap(group => group.definitions);
