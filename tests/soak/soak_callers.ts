/** Callers that ask the directory, keep connections and note what they get. */

import http from 'node:http';
import type {Random} from '../../src/ports/random.js';
import {HOST, PROMPT_HEADERS} from '../platform/relay_site.js';
import {EXTRA_PREFIX, type SoakSite} from './soak_site.js';

/** What may be done again, as the routes of the site say. */
export type CallKind = 'idempotent' | 'once' | 'stream' | 'resumable' | 'extra';

/** One request as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly hostId: string;
  readonly sentAtMs: number;
  endedAtMs?: number;
  /** Absent when the connection broke before an answer. */
  status?: number;
  body: string;
  /** The answer broke off. */
  isCut: boolean;
  /** The caller left by itself. */
  hasLeft: boolean;
}

export interface SoakCallers {
  readonly records: readonly CallRecord[];
  stop(): Promise<void>;
  /** Sends one request of a kind and waits for its end. */
  call(kind: CallKind): Promise<CallRecord>;
}

const PATHS: Readonly<Record<CallKind, string>> = {
  idempotent: '/saldo/1',
  once: '/makse/1',
  stream: '/mustand/1',
  resumable: '/lisa/1',
  extra: `${EXTRA_PREFIX}0/1`,
};
const MIX: readonly CallKind[] = [
  'idempotent',
  'idempotent',
  'once',
  'once',
  'stream',
  'resumable',
  'extra',
];
const DEADLINE_MS = 4_000;
const ANSWER_LIFE_MS = 1_500;
const LOOKUP_TIMEOUT_MS = 1_000;
/** One caller in this many leaves early. */
const LEAVERS = 12;
const LEAVE_AFTER_MS = 120;

export interface SoakCallersHost {
  readonly site: SoakSite;
  readonly random: Random;
  readonly now: () => number;
}

export function createSoakCallers(
  host: SoakCallersHost,
  callerCount: number,
): SoakCallers {
  const {site, random, now} = host;
  const records: CallRecord[] = [];
  const agent = new http.Agent({keepAlive: true, maxFreeSockets: 4});
  let known: readonly string[] = [];
  let knownAtMs = Number.NEGATIVE_INFINITY;
  let isStopped = false;

  function lookUp(address: string): Promise<readonly string[]> {
    return new Promise(resolve => {
      const request = http.get(
        `http://${address}/corianderbend/resolve?name=${HOST}`,
        {agent: false, timeout: LOOKUP_TIMEOUT_MS},
        response => {
          let text = '';
          response.on('data', bytes => (text += String(bytes)));
          response.on('error', () => resolve([]));
          response.on('end', () => {
            const isAnswer = response.statusCode === 200;
            const value = isAnswer
              ? (JSON.parse(text) as {addresses: readonly string[]})
              : {addresses: []};
            resolve(value.addresses);
          });
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve([]));
    });
  }

  async function findAddresses(): Promise<readonly string[]> {
    if (now() - knownAtMs < ANSWER_LIFE_MS) return known;
    for (let tries = 0; tries < 3; tries++) {
      const {child} = site.hosts[random.nextInt(site.hosts.length)];
      const found = await lookUp(child.settings.directoryAddress);
      if (found.length === 0) continue;
      known = found;
      knownAtMs = now();
      break;
    }
    return known;
  }

  function send(kind: CallKind, address: string): Promise<CallRecord> {
    const owner = site.hosts.find(
      ({child}) => child.settings.callerAddress === address,
    );
    const record: CallRecord = {
      id: `q${records.length + 1}`,
      kind,
      hostId: owner?.child.settings.hostId ?? address,
      sentAtMs: now(),
      body: '',
      isCut: false,
      hasLeft: false,
    };
    records.push(record);
    const isModel = kind === 'stream' || kind === 'resumable';
    const isGet = kind === 'idempotent' || kind === 'extra';
    const leaves = random.nextInt(LEAVERS) === 0;
    return new Promise(resolve => {
      const finish = (isCut: boolean) => {
        if (record.endedAtMs !== undefined) return;
        clearTimeout(deadline);
        record.isCut = isCut;
        record.endedAtMs = now();
        resolve(record);
      };
      const request = http.request(`http://${address}${PATHS[kind]}`, {
        method: isGet ? 'GET' : 'POST',
        agent,
        headers: {
          Host: HOST,
          'X-Request-Id': record.id,
          'X-Deadline-Ms': String(DEADLINE_MS),
          ...(isModel ? PROMPT_HEADERS : {}),
        },
      });
      const leave = () => {
        if (record.endedAtMs !== undefined) return;
        record.hasLeft = true;
        request.destroy();
      };
      const deadline = setTimeout(leave, DEADLINE_MS + 1_000);
      if (leaves) setTimeout(leave, LEAVE_AFTER_MS);
      request.on('error', () => finish(true));
      request.on('close', () => finish(true));
      request.on('response', response => {
        record.status = response.statusCode;
        response.on('data', bytes => (record.body += String(bytes)));
        response.on('error', () => finish(true));
        response.on('end', () => finish(!response.complete));
      });
      request.end(isGet ? undefined : `body of ${record.id}`);
    });
  }

  async function call(kind: CallKind): Promise<CallRecord> {
    const addresses = await findAddresses();
    const address = addresses[random.nextInt(addresses.length)];
    return send(kind, address ?? site.hosts[0].child.settings.callerAddress);
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      await call(MIX[random.nextInt(MIX.length)]);
      const pauseMs = 5 + random.nextInt(40);
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
  }

  const running = Array.from({length: callerCount}, () => run());
  return {
    records,
    call,
    async stop() {
      isStopped = true;
      await Promise.all(running);
      agent.destroy();
    },
  };
}
