/** One relay as a process of its own, driven by signals. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {RelaySettings} from '../../src/relay/relay_settings.js';

/** How a process ended by itself or by a signal. */
export interface ChildEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** It had written its first line, so that its own code ran. */
  readonly hadBegun: boolean;
}

export interface RelayChild {
  readonly settings: RelaySettings;
  isRunning(): boolean;
  /** Of the process that runs now. */
  processId(): number | undefined;
  /** Does nothing while a process runs. */
  start(): void;
  /** Sends a signal to the process that `start` made, and to no other. */
  signal(name: NodeJS.Signals): void;
  /** Resolves once the process that runs now has ended. */
  ended(): Promise<ChildEnd>;
}

export interface RelayChildOptions {
  readonly settings: RelaySettings;
  /** The bundle's entry point. */
  readonly program: string;
  /** Logs and the host file are written here. */
  readonly folder: string;
}

export function createRelayChild(options: RelayChildOptions): RelayChild {
  const {settings, program, folder} = options;
  const {hostId} = settings;
  const hostFile = path.join(folder, `${hostId}.yaml`);
  const logFile = path.join(folder, `${hostId}.log`);
  writeFileSync(hostFile, JSON.stringify(settings));
  let child: ChildProcess | undefined;
  let end: Promise<ChildEnd> = Promise.resolve({
    code: null,
    signal: null,
    hadBegun: false,
  });

  return {
    settings,
    isRunning: () => child !== undefined,
    processId: () => child?.pid,
    start() {
      // Two faults may wait for the same end, and both start it again.
      if (child) return;
      const started = spawn(
        process.execPath,
        [program, 'relay', '--host-file', hostFile],
        {stdio: ['ignore', 'pipe', 'pipe']},
      );
      const log = createWriteStream(logFile, {flags: 'a'});
      started.stdout?.pipe(log, {end: false});
      started.stderr?.pipe(log, {end: false});
      child = started;
      let hadBegun = false;
      started.stdout?.once('data', () => (hadBegun = true));
      end = new Promise(resolve => {
        started.on('exit', (code, signal) => {
          if (child === started) child = undefined;
          resolve({code, signal, hadBegun});
        });
      });
    },
    signal(name) {
      child?.kill(name);
    },
    ended: () => end,
  };
}
