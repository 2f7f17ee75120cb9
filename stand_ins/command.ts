/** Command line of `corianderbend stand-in platform|engine|service`. */

import {parseArgs, type ParseArgsConfig} from 'node:util';
import {createSystemClock} from '../src/adapters/system_clock.js';
import {createSystemRandom} from '../src/adapters/system_random.js';
import {tokenizePrompt} from '../src/core/prompt_tokens.js';
import type {EngineRole} from '../src/ports/engine.js';
import type {ListedHost} from '../src/ports/table.js';
import {createEngineCore} from './engine_core.js';
import {createEngineServer} from './engine_server.js';
import {defaultEngineOptions, type EngineOptions} from './engine_types.js';
import {createHttpKvSource} from './http_kv_source.js';
import {createPlatformCore, defaultPlatformOptions} from './platform_core.js';
import {createPlatformServer} from './platform_server.js';
import {createServiceCore, defaultServiceOptions} from './service_core.js';
import {createServiceServer} from './service_server.js';

export type StandInKind = 'platform' | 'engine' | 'service';

const GIBIBYTE = 1024 ** 3;
/** Exit code that a shell reports for a process killed by SIGKILL. */
const CRASH_EXIT_CODE = 137;

type Flags = Readonly<Record<string, string | boolean | undefined>>;

const commonFlags = {
  address: {type: 'string', default: '127.0.0.1:0'},
  id: {type: 'string'},
  platform: {type: 'string'},
  service: {type: 'string'},
  domain: {type: 'string', default: 'local'},
} as const satisfies ParseArgsConfig['options'];

const platformFlags = {
  address: {type: 'string', default: '127.0.0.1:0'},
  'writes-per-second': {type: 'string'},
  'reads-per-second': {type: 'string'},
  'host-list-lag-ms': {type: 'string'},
} as const satisfies ParseArgsConfig['options'];

const engineFlags = {
  ...commonFlags,
  count: {type: 'string'},
  role: {type: 'string', default: 'decode'},
  models: {type: 'string', default: 'default'},
  slots: {type: 'string'},
  'step-ms': {type: 'string'},
  'kv-gib': {type: 'string'},
  'kv-bytes-per-token': {type: 'string'},
  'answer-tokens': {type: 'string'},
  'prefill-ms-per-token': {type: 'string'},
  'prefill-base-ms': {type: 'string'},
  'link-bytes-per-ms': {type: 'string'},
  'load-lag-ms': {type: 'string'},
  'crash-on': {type: 'string'},
  'crash-at': {type: 'string', default: 'prefill'},
  'ignores-fences': {type: 'boolean', default: false},
} as const satisfies ParseArgsConfig['options'];

const serviceFlags = {
  ...commonFlags,
  'run-ms': {type: 'string'},
  'crash-on': {type: 'string'},
} as const satisfies ParseArgsConfig['options'];

/** An unknown flag, or a flag with an invalid value. */
export class StandInUsageError extends Error {
  override readonly name = 'StandInUsageError';
}

function parse(
  args: readonly string[],
  options: ParseArgsConfig['options'],
): Flags {
  try {
    return parseArgs({args: [...args], options, strict: true}).values as Flags;
  } catch (error) {
    throw new StandInUsageError((error as Error).message);
  }
}

function textOf(flags: Flags, name: string, fallback: string): string {
  const value = flags[name];
  return typeof value === 'string' ? value : fallback;
}

function numberOf(flags: Flags, name: string, fallback: number): number {
  const value = flags[name];
  if (value === undefined) return fallback;
  const number = Number(value);
  if (Number.isFinite(number) && number >= 0) return number;
  throw new StandInUsageError(`--${name} needs a number, not '${value}'.`);
}

function roleOf(flags: Flags, name: string): EngineRole {
  const value = flags[name];
  if (value === 'prefill' || value === 'decode') return value;
  throw new StandInUsageError(
    `--${name} is 'prefill' or 'decode', not '${value}'.`,
  );
}

/** Tokens of the marker, both at the start of a prompt and after a space. */
function markerTokens(marker: string): readonly number[] {
  if (!marker) return [];
  return [...tokenizePrompt(marker), ...tokenizePrompt(` ${marker}`)];
}

/** Adds this upstream to the stand-in platform's list of hosts. */
async function registerHost(
  flags: Flags,
  role: ListedHost['role'],
  hostId: string,
  address: string,
): Promise<void> {
  const platform = textOf(flags, 'platform', '');
  if (!platform) return;
  const host: ListedHost = {
    hostId,
    failureDomain: textOf(flags, 'domain', 'local'),
    address,
    role,
    service: textOf(flags, 'service', 'default'),
    state: 'live',
  };
  await fetch(`${platform}/hosts/${encodeURIComponent(hostId)}`, {
    method: 'PUT',
    body: JSON.stringify(host),
  });
}

function exitOnCrash(gate: {
  onBreak(handler: (what: string) => void): void;
}): void {
  gate.onBreak(what => {
    if (what === 'crash') process.exit(CRASH_EXIT_CODE);
  });
}

async function startPlatform(args: readonly string[]): Promise<string> {
  const flags = parse(args, platformFlags);
  const defaults = defaultPlatformOptions;
  const core = createPlatformCore(createHost(), {
    writesPerSecond: numberOf(
      flags,
      'writes-per-second',
      defaults.writesPerSecond,
    ),
    readsPerSecond: numberOf(
      flags,
      'reads-per-second',
      defaults.readsPerSecond,
    ),
    hostListLagMs: numberOf(flags, 'host-list-lag-ms', defaults.hostListLagMs),
  });
  exitOnCrash(core.gate);
  const address = textOf(flags, 'address', '');
  return (await createPlatformServer(core, address)).address;
}

/** Several engines in one process listen on consecutive ports. */
async function startEngines(args: readonly string[]): Promise<string> {
  const flags = parse(args, engineFlags);
  const first = textOf(flags, 'address', '');
  const count = numberOf(flags, 'count', 1);
  const colon = first.lastIndexOf(':');
  const firstPort = Number(first.slice(colon + 1));
  const addresses: string[] = [];
  for (let i = 0; i < count; i++) {
    const port = firstPort === 0 ? 0 : firstPort + i;
    const id = textOf(flags, 'id', `engine-${first}`);
    addresses.push(
      await startEngine(
        flags,
        `${first.slice(0, colon)}:${port}`,
        count === 1 ? id : `${id}-${i + 1}`,
      ),
    );
  }
  return addresses.join(' ');
}

async function startEngine(
  flags: Flags,
  address: string,
  engineId: string,
): Promise<string> {
  const core = createEngineCore(
    {...createHost(), kvSource: createHttpKvSource},
    {engineId, ...engineOptionsOf(flags)},
  );
  exitOnCrash(core.gate);
  const server = await createEngineServer(core, address);
  await registerHost(flags, 'engine', engineId, server.address);
  return server.address;
}

function engineOptionsOf(flags: Flags): Partial<EngineOptions> {
  const defaults = defaultEngineOptions;
  const number = (name: string, fallback: number) =>
    numberOf(flags, name, fallback);
  const kvGib = number('kv-gib', defaults.kvTotalBytes / GIBIBYTE);
  return {
    role: roleOf(flags, 'role'),
    models: textOf(flags, 'models', 'default').split(','),
    slots: number('slots', defaults.slots),
    stepMs: number('step-ms', defaults.stepMs),
    kvTotalBytes: kvGib * GIBIBYTE,
    kvBytesPerToken: number('kv-bytes-per-token', defaults.kvBytesPerToken),
    answerTokens: number('answer-tokens', defaults.answerTokens),
    prefillMsPerToken: number(
      'prefill-ms-per-token',
      defaults.prefillMsPerToken,
    ),
    prefillBaseMs: number('prefill-base-ms', defaults.prefillBaseMs),
    linkBytesPerMs: number('link-bytes-per-ms', defaults.linkBytesPerMs),
    loadLagMs: number('load-lag-ms', defaults.loadLagMs),
    checksFences: !flags['ignores-fences'],
    crashOnTokens: markerTokens(textOf(flags, 'crash-on', '')),
    crashAt: roleOf(flags, 'crash-at'),
  };
}

async function startService(args: readonly string[]): Promise<string> {
  const flags = parse(args, serviceFlags);
  const address = textOf(flags, 'address', '');
  const serviceId = textOf(flags, 'id', `service-${address}`);
  const marker = textOf(flags, 'crash-on', '');
  const core = createServiceCore(createHost(), {
    serviceId,
    runMs: numberOf(flags, 'run-ms', defaultServiceOptions.runMs),
    crashOnTexts: marker ? [marker] : [],
  });
  exitOnCrash(core.gate);
  const server = await createServiceServer(core, address);
  await registerHost(flags, 'plain-service', serviceId, server.address);
  return server.address;
}

function createHost() {
  return {clock: createSystemClock(), random: createSystemRandom()};
}

const starters: Readonly<
  Record<StandInKind, (args: readonly string[]) => Promise<string>>
> = {
  platform: startPlatform,
  engine: startEngines,
  service: startService,
};

/** Runs until SIGTERM or SIGINT. Throws `StandInUsageError` for bad flags. */
export async function runStandIn(
  kind: StandInKind,
  args: readonly string[],
): Promise<void> {
  const address = await starters[kind](args);
  process.stdout.write(`stand-in: ${kind} listens on ${address}\n`);
  await new Promise<void>(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  process.exit(0);
}
