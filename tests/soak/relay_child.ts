/** A relay in a child process, controlled by signals. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {SOURCE_ADDRESS_VARIABLE} from './source_address.js';

/** How a process exited, by itself or by a signal. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /**
   * It had written to stdout, which shows that the program itself had started.
   */
  readonly hadOutput: boolean;
}

export interface RelayChild {
  readonly settings: RelaySettings;
  isRunning(): boolean;
  /** Id of the running process, if there is one. */
  processId(): number | undefined;
  /** Starts the process unless it is running. */
  start(): void;
  /** Sends a signal to the process that `start` created, and to no other. */
  signal(name: NodeJS.Signals): void;
  /** Resolves when the current process has exited. */
  ended(): Promise<ChildExit>;
  /** Exits of processes that had received no signal to end. */
  readonly ownExits: readonly ChildExit[];
}

export interface RelayChildOptions {
  readonly settings: RelaySettings;
  /** The bundle's entry point. */
  readonly program: string;
  /** Logs and the host file are written here. */
  readonly folder: string;
  /** The process connects from this address. */
  readonly sourceAddress: string;
}

const END_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  'SIGTERM',
  'SIGKILL',
]);

const HOOKS = ['./source_address.js', './held_datagrams.js'].flatMap(file => [
  '--import',
  new URL(file, import.meta.url).href,
]);

/** Node raises the soft limit to the hard one, so both are set. */
function withMaxDescriptors(
  maxDescriptors: number | undefined,
  command: readonly string[],
): readonly string[] {
  if (maxDescriptors === undefined) return command;
  const script = 'ulimit -n "$0" && exec "$@"';
  return ['bash', '-c', script, String(maxDescriptors), ...command];
}

export function createRelayChild(options: RelayChildOptions): RelayChild {
  const {settings, program, folder, sourceAddress} = options;
  const {hostId} = settings;
  const hostFile = path.join(folder, `${hostId}.yaml`);
  const logFile = path.join(folder, `${hostId}.log`);
  writeFileSync(hostFile, JSON.stringify(settings));
  const [command, ...args] = withMaxDescriptors(settings.maxDescriptors, [
    process.execPath,
    ...HOOKS,
    program,
    'relay',
    '--host-file',
    hostFile,
  ]);
  let child: ChildProcess | undefined;
  let isToEnd = false;
  const ownExits: ChildExit[] = [];
  let end: Promise<ChildExit> = Promise.resolve({
    code: null,
    signal: null,
    hadOutput: false,
  });

  return {
    settings,
    isRunning: () => child !== undefined,
    processId: () => child?.pid,
    start() {
      // Two faults may wait for the same exit and both call `start`.
      if (child) return;
      const started = spawn(command, args, {
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {...process.env, [SOURCE_ADDRESS_VARIABLE]: sourceAddress},
      });
      const log = createWriteStream(logFile, {flags: 'a'});
      started.stdout?.pipe(log, {end: false});
      started.stderr?.pipe(log, {end: false});
      child = started;
      isToEnd = false;
      let hadOutput = false;
      started.stdout?.once('data', () => (hadOutput = true));
      end = new Promise(resolve => {
        started.on('exit', (code, signal) => {
          const exit = {code, signal, hadOutput};
          // Before the program itself has started, SIGHUP ends a process.
          const isEarly = signal === 'SIGHUP' && !hadOutput;
          if (!isToEnd && !isEarly) ownExits.push(exit);
          if (child === started) child = undefined;
          resolve(exit);
        });
      });
    },
    signal(name) {
      isToEnd ||= END_SIGNALS.has(name);
      child?.kill(name);
    },
    ownExits,
    ended: () => end,
  };
}
