/** Runs one scenario in virtual time; the same text gives the same trace. */

import {formatDiagnostics, type Diagnostic} from '../core/diagnostics.js';
import type {SourceText} from '../core/settings_yaml.js';
import {parseScenario} from './scenario_parser.js';
import {findViolations} from './scenario_invariants.js';
import {GUARD_KEYWORD, statementDefinitions} from './scenario_statements.js';
import {createWorld, type World} from './scenario_world.js';

export interface ScenarioResult {
  readonly isPassed: boolean;
  /** The description, one line for each event, and the result. */
  readonly trace: string;
  readonly diagnostics: readonly Diagnostic[];
}

const SEED = 1;
/** Resources of ended requests must be released within this time. */
const SETTLE_MS = 15_000;

export interface ScenarioOptions {
  /**
   * Whether the trace has the times of events. Baselines have only their
   * order, since the times change with each change of a policy; scenarios
   * check the times that matter by `expect … within`.
   */
  readonly hasTimes: boolean;
}

export async function runScenario(
  source: SourceText,
  options: ScenarioOptions,
): Promise<ScenarioResult> {
  const parsed = parseScenario(source, statementDefinitions, GUARD_KEYWORD);
  if (parsed.diagnostics.length > 0) {
    const trace = formatDiagnostics(parsed.diagnostics);
    return {isPassed: false, trace, diagnostics: parsed.diagnostics};
  }
  const world = createWorld(SEED);
  const failures: string[] = [];
  for (const {definition, args, line, text} of parsed.statements) {
    const failure = await definition.run(args, world);
    if (!failure) continue;
    failures.push(`line ${line}: ${text}: ${failure.reason}`);
  }
  await world.clock.advance(SETTLE_MS);
  failures.push(...findViolations(world));
  return {
    isPassed: failures.length === 0,
    trace: formatTrace(parsed.description, world, failures, options),
    diagnostics: [],
  };
}

function formatTrace(
  description: readonly string[],
  world: World,
  failures: readonly string[],
  {hasTimes}: ScenarioOptions,
): string {
  const resultLines =
    failures.length === 0
      ? ['passed']
      : failures.map(failure => `FAILED ${failure}`);
  return [
    ...description.map(line => `# ${line}`),
    ...world.traceLines.map(({atMs, text}) =>
      hasTimes ? `${formatSeconds(atMs)}  ${text}` : `  ${text}`,
    ),
    ...resultLines,
    '',
  ].join('\n');
}

const TIME_DIGITS = 3;
const TIME_WIDTH = 8;
const MS_PER_SECOND = 1_000;

function formatSeconds(atMs: number): string {
  const seconds = (atMs / MS_PER_SECOND).toFixed(TIME_DIGITS);
  return `${seconds.padStart(TIME_WIDTH)}s`;
}
