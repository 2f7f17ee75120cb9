/**
 * Runs the upstreams or the callers that press in a thread of their own, so that
 * they don't hold up the sound ones.
 */

import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from 'node:worker_threads';
import type {RelaySettings} from '../../src/relay/relay_settings.js';
import {measureOwnLateness} from './configuration_hosts.js';
import {
  startPressing,
  type Pressing,
  type PressingResult,
} from './pressure_callers.js';
import {
  startPressingEngines,
  type PressingService,
} from './pressure_engines.js';

export type WorkerTask =
  | {readonly kind: 'engines'; readonly services: readonly PressingService[]}
  | {
      readonly kind: 'callers';
      readonly pressing: readonly Pressing[];
      readonly hosts: readonly RelaySettings[];
    };

interface StoppedMessage {
  readonly results: readonly PressingResult[];
  readonly latenessMs: number;
}

export interface PressureWorker {
  /** Rows of its upstreams. */
  readonly rows: readonly object[];
  stop(): Promise<StoppedMessage>;
}

const nextMessage = <T>(worker: Worker): Promise<T> =>
  new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });

export async function startPressureWorker(
  task: WorkerTask,
): Promise<PressureWorker> {
  const worker = new Worker(new URL(import.meta.url), {workerData: task});
  const rows = await nextMessage<readonly object[]>(worker);
  return {
    rows,
    async stop() {
      const stopped = nextMessage<StoppedMessage>(worker);
      worker.postMessage('stop');
      const message = await stopped;
      await worker.terminate();
      return message;
    },
  };
}

async function runTask(task: WorkerTask): Promise<void> {
  const endLateness = measureOwnLateness();
  const port = parentPort;
  if (task.kind === 'engines') {
    const engines = await startPressingEngines(task.services);
    port?.postMessage(engines.map(({row}) => row));
    port?.once('message', () =>
      port.postMessage({results: [], latenessMs: endLateness()}),
    );
    return;
  }
  const callers = startPressing(task.pressing, task.hosts);
  port?.postMessage([]);
  port?.once('message', () => {
    const latenessMs = endLateness();
    void callers
      .stop()
      .then(results => port.postMessage({results, latenessMs}));
  });
}

if (!isMainThread) await runTask(workerData as WorkerTask);
