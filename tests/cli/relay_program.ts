/** The bundled program in processes of its own, for tests of their start. */

import assert from 'node:assert/strict';
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import type {Readable} from 'node:stream';
import {performance} from 'node:perf_hooks';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {findFreeAddress} from '../support/free_address.js';

export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export interface RunningProgram {
  readonly child: ChildProcess;
  /** What it has written to standard output and standard error. */
  output(): string;
  hasEnded(): boolean;
  readonly ended: Promise<ProgramEnd>;
}

export interface ProgramFolder {
  /** The entry point of the bundle. */
  readonly program: string;
  makeSettings(changes?: Partial<RelaySettings>): Promise<RelaySettings>;
  writeSettings(settings: RelaySettings): string;
  start(
    args: readonly string[],
    stdio?: ReadonlyArray<'ignore' | 'pipe' | number>,
  ): RunningProgram;
  startRelay(settings: RelaySettings): RunningProgram;
  /** Ends all processes that are left and deletes the folder. */
  remove(): void;
}

const UNTIL_TIMEOUT_MS = 8_000;
const CHECK_INTERVAL_MS = 10;

/** Resolves with whether `condition` became true in time. */
export async function comesTrue(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = UNTIL_TIMEOUT_MS,
): Promise<boolean> {
  const endAtMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endAtMs) return false;
    await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  return true;
}

/** Resolves with the status of an answer; undefined if there is none. */
export function ask(
  address: string,
  target = '/',
): Promise<number | undefined> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.get({host, port, path: target, agent: false});
    request.setTimeout(2_000, () => request.destroy());
    request.on('response', response => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
      response.on('error', () => resolve(undefined));
    });
    request.on('error', () => resolve(undefined));
  });
}

/** Fails with what the process wrote unless it serves within the time. */
export async function assertServes(running: RunningProgram): Promise<void> {
  const serves = () => running.output().includes('"message":"Serving."');
  await comesTrue(() => serves() || running.hasEnded());
  assert.ok(serves(), `does not serve: ${running.output()}`);
}

/** Bundles the program into a folder of its own. */
export function createProgramFolder(): ProgramFolder {
  const folder = mkdtempSync(path.join(os.tmpdir(), 'relay-program-'));
  execFileSync(process.execPath, ['scripts/build_bundle.mjs', folder]);
  const program = path.join(folder, 'main.mjs');
  const children = new Set<ChildProcess>();
  let nextHost = 1;

  function start(
    args: readonly string[],
    stdio: ReadonlyArray<'ignore' | 'pipe' | number> = [
      'ignore',
      'pipe',
      'pipe',
    ],
  ): RunningProgram {
    const child = spawn(process.execPath, [program, ...args], {
      stdio: [...stdio],
    });
    children.add(child);
    let output = '';
    const read = (stream: Readable | null) =>
      stream?.on('data', bytes => (output += String(bytes)));
    read(child.stdout);
    read(child.stderr);
    const ended = new Promise<ProgramEnd>(resolve =>
      child.on('exit', (code, signal) => {
        children.delete(child);
        resolve({code, signal});
      }),
    );
    return {
      child,
      output: () => output,
      hasEnded: () => !children.has(child),
      ended,
    };
  }

  function writeSettings(settings: RelaySettings): string {
    const file = path.join(folder, `${settings.hostId}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  return {
    program,
    async makeSettings(changes = {}) {
      return {
        hostId: `host-${nextHost++}`,
        failureDomain: 'raadi-ruum',
        callerAddress: await findFreeAddress(),
        readyAddress: await findFreeAddress(),
        directoryAddress: await findFreeAddress(),
        metricsAddress: await findFreeAddress(),
        peerAddress: await findFreeAddress(),
        seedAddresses: [],
        storeAddress: await findFreeAddress(),
        retryRatio: 0.2,
        retrySlack: 58,
        retryWindowMs: 10_000,
        leaveGraceMs: 8_000,
        leaseMs: 3_000,
        ...changes,
      };
    },
    writeSettings,
    start,
    startRelay: settings =>
      start(['relay', '--host-file', writeSettings(settings)]),
    remove() {
      for (const child of children) child.kill('SIGKILL');
      rmSync(folder, {recursive: true});
    },
  };
}
