/** Sound callers of three kinds, and what became of their calls. */

import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {HOST, PROMPT_HEADERS} from '../platform/relay_site.js';
import type {SoakHost} from './soak_site.js';

export type SoundKind = 'idempotent' | 'once' | 'stream';

/** How a sound call ended. */
export interface SoundCall {
  readonly hostId: string;
  readonly kind: SoundKind;
  /**
   * `refused` is 503 with `Retry-After`; `lost` is a closed connection or no
   * answer in time.
   */
  readonly end: 'served' | 'refused' | 'failed' | 'lost';
  readonly status?: number;
  readonly tookMs: number;
}

export interface SoundCallers {
  /** Resolves with all calls once they have ended. */
  stop(): Promise<readonly SoundCall[]>;
}

const KINDS: readonly SoundKind[] = ['idempotent', 'once', 'stream'];
const PATHS: Readonly<Record<SoundKind, string>> = {
  idempotent: '/saldo/1',
  once: '/makse/1',
  stream: '/mustand/1',
};
const INTERVAL_MS = 50;
export const SOUND_DEADLINE_MS = 4_000;
/** For the way of the answer. */
const SLACK_MS = 1_000;

let callCount = 0;

function toEnd(
  status: number,
  headers: http.IncomingHttpHeaders,
): SoundCall['end'] {
  if (status === 200) return 'served';
  const isRefused = status === 503 && headers['retry-after'] !== undefined;
  return isRefused ? 'refused' : 'failed';
}

export function callSoundly(
  {child}: SoakHost,
  kind: SoundKind,
): Promise<SoundCall> {
  const {hostId, callerAddress} = child.settings;
  const sentAtMs = performance.now();
  const [host, port] = callerAddress.split(':');
  return new Promise(resolve => {
    const settle = (end: SoundCall['end'], status?: number) => {
      clearTimeout(timer);
      const tookMs = Math.round(performance.now() - sentAtMs);
      resolve({hostId, kind, end, status, tookMs});
    };
    const request = http.request({
      host,
      port,
      path: PATHS[kind],
      method: kind === 'idempotent' ? 'GET' : 'POST',
      agent: false,
      headers: {
        Host: HOST,
        'X-Request-Id': `sound-${++callCount}`,
        'X-Deadline-Ms': String(SOUND_DEADLINE_MS),
        ...(kind === 'stream' ? PROMPT_HEADERS : {}),
      },
    });
    const timer = setTimeout(
      () => request.destroy(),
      SOUND_DEADLINE_MS + SLACK_MS,
    );
    request.on('error', () => settle('lost'));
    request.on('close', () => settle('lost'));
    request.on('response', response => {
      const {statusCode: status = 0, headers} = response;
      response.on('error', () => settle('lost', status));
      response.on('end', () =>
        settle(response.complete ? toEnd(status, headers) : 'lost', status),
      );
      response.resume();
    });
    request.end(kind === 'idempotent' ? undefined : 'a small body');
  });
}

/** Each host gets a call each 50 ms as long as its process runs. */
export function startSoundCallers(hosts: readonly SoakHost[]): SoundCallers {
  const calls: Array<Promise<SoundCall>> = [];
  let round = 0;
  const timer = setInterval(() => {
    for (const [index, host] of hosts.entries()) {
      if (!host.child.isRunning()) continue;
      calls.push(callSoundly(host, KINDS[(round + index) % KINDS.length]));
    }
    round++;
  }, INTERVAL_MS);
  return {
    stop() {
      clearInterval(timer);
      return Promise.all(calls);
    },
  };
}
