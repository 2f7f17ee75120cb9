/** Runs a small site of real processes on loopback for the benches. */

import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'yaml';
import {startProgram, type Child} from './child.js';

export const MODEL_SERVICE = 'aruande-koostaja';
export const PLAIN_SERVICE = 'uus-pearaamat';
export const CALLER_KEY = 'bench-caller-key-0123';
export const OPERATOR_KEY = 'bench-operator-key-0123456789';
const HOST_ENVIRONMENT = {
  CORIANDERBEND_PEER_KEY: 'bench-peer-key-0123456789',
  CORIANDERBEND_OPERATOR_KEY: OPERATOR_KEY,
};
const DOMAINS = ['ylikool-saal', 'annelinn-saal', 'raadi-ruum'];
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 100;

export interface FleetOptions {
  readonly hostCount: number;
  readonly prefillCount: number;
  readonly decodeCount: number;
  readonly serviceCount: number;
  readonly engineFlags: readonly string[];
  readonly prefillFlags?: readonly string[];
  readonly platformFlags?: readonly string[];
  readonly serviceFlags?: readonly string[];
  readonly coordination?: Readonly<Record<string, number>>;
  readonly logLevel?: string;
  readonly modelTargets?: Readonly<Record<string, number>>;
}

export interface FleetHost {
  readonly hostId: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  child: Child;
}

export interface Fleet {
  readonly platformUrl: string;
  readonly platform: Child;
  readonly hosts: readonly FleetHost[];
  readonly prefillAddresses: readonly string[];
  readonly decodeAddresses: readonly string[];
  readonly serviceAddresses: readonly string[];
  restartHost(index: number): Promise<void>;
  stop(): Promise<void>;
}

interface UpstreamEntry {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** Finds ports by binding and closing them; another process may take one. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from(
      {length: count},
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

export async function putJson(url: string, body: unknown): Promise<void> {
  await fetch(url, {method: 'PUT', body: JSON.stringify(body)});
}

export async function getJson<T>(url: string): Promise<T> {
  return (await (await fetch(url)).json()) as T;
}

async function isResponding(url: string): Promise<boolean> {
  try {
    const response = await fetch(url);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
}

export async function waitUntilUp(url: string, child: Child): Promise<void> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  while (!(await isResponding(url))) {
    if (Date.now() > deadlineMs || child.hasEnded()) {
      throw new Error(
        `${child.name} was not ready in time.\n${child.output()}`,
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

async function waitForAddresses(child: Child): Promise<readonly string[]> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const found = /listens on (.+)\n/.exec(child.output());
    if (found) return found[1].trim().split(' ');
    if (Date.now() > deadlineMs || child.hasEnded()) {
      throw new Error(
        `${child.name} did not report its addresses.\n${child.output()}`,
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Starts one stand-in process, which listens on `count` addresses. */
async function startStandIn(
  kind: string,
  count: number,
  flags: readonly string[],
): Promise<{child: Child; addresses: readonly string[]}> {
  const countFlags = count > 1 ? ['--count', String(count)] : [];
  const child = startProgram(`stand-in ${kind}`, [
    'stand-in',
    kind,
    ...flags,
    ...countFlags,
  ]);
  return {child, addresses: await waitForAddresses(child)};
}

function createUpstreamEntries(
  prefix: string,
  addresses: readonly string[],
): UpstreamEntry[] {
  return addresses.map((address, index) => ({
    id: `${prefix}-${index + 1}`,
    address,
    failureDomain: DOMAINS[index % DOMAINS.length],
  }));
}

function createSettings(
  options: FleetOptions,
  prefills: readonly string[],
  decodes: readonly string[],
  services: readonly string[],
): string {
  return stringify({
    sites: [{name: 'loopback', failureDomains: DOMAINS}],
    services: [
      {
        name: MODEL_SERVICE,
        kind: 'model',
        models: [MODEL_SERVICE],
        enginesCheckFences: true,
        maxQueued: 10_000,
        targets: {
          ttftMs: 10_000,
          tokenIntervalMs: 200,
          waitMs: 600_000,
          ...options.modelTargets,
        },
        upstreams: [
          ...createUpstreamEntries('prefill', prefills).map(upstream => ({
            ...upstream,
            role: 'prefill',
          })),
          ...createUpstreamEntries('decode', decodes).map(upstream => ({
            ...upstream,
            role: 'decode',
          })),
        ],
      },
      {
        name: PLAIN_SERVICE,
        kind: 'plain',
        nonRepeatable: [{method: 'POST', path: '/postings*'}],
        targets: {waitMs: 5_000},
        upstreams: createUpstreamEntries('ledger', services),
      },
    ],
    accounts: [
      {
        name: 'bench',
        keySha256: [createHash('sha256').update(CALLER_KEY).digest('hex')],
        services: [MODEL_SERVICE, PLAIN_SERVICE],
        requestsPerSecond: 100_000,
        maxConcurrent: 10_000,
      },
    ],
    coordination: {leaseMs: 3_000, ...options.coordination},
  });
}

/** Starts the stand-ins and hosts and applies the first configuration. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const folder = mkdtempSync(path.join(tmpdir(), 'bench-fleet-'));
  const platform = await startStandIn(
    'platform',
    1,
    options.platformFlags ?? [],
  );
  const platformUrl = `http://${platform.addresses[0]}`;
  const engineFlags = ['--models', MODEL_SERVICE, ...options.engineFlags];
  const prefill = await startStandIn('engine', options.prefillCount, [
    '--role',
    'prefill',
    '--id',
    'prefill',
    ...engineFlags,
    ...(options.prefillFlags ?? []),
  ]);
  const decode = await startStandIn('engine', options.decodeCount, [
    '--role',
    'decode',
    '--id',
    'decode',
    ...engineFlags,
  ]);
  const services = await Promise.all(
    Array.from({length: options.serviceCount}, () =>
      startStandIn('service', 1, options.serviceFlags ?? []),
    ),
  );
  const serviceAddresses = services.map(service => service.addresses[0]);

  const ports = await findFreePorts(options.hostCount * 2);
  const logLevel = options.logLevel ?? 'warn';
  function startHost(index: number): Child {
    const file = path.join(folder, `host-${index + 1}.yaml`);
    return startProgram(
      `host-${index + 1}`,
      ['serve', '--host-file', file, '--log-level', logLevel],
      HOST_ENVIRONMENT,
    );
  }
  const hosts: FleetHost[] = [];
  for (let index = 0; index < options.hostCount; index++) {
    const host = {
      hostId: `host-${index + 1}`,
      failureDomain: DOMAINS[index % DOMAINS.length],
      callerAddress: `127.0.0.1:${ports[2 * index]}`,
      peerAddress: `127.0.0.1:${ports[2 * index + 1]}`,
    };
    const file = path.join(folder, `host-${index + 1}.yaml`);
    writeFileSync(file, stringify({...host, site: 'loopback', platformUrl}));
    const {hostId, failureDomain, peerAddress} = host;
    const state = {address: peerAddress, role: 'router', state: 'live'};
    const hostRecord = {hostId, failureDomain, ...state};
    await putJson(`${platformUrl}/hosts/${hostId}`, hostRecord);
    hosts.push({...host, child: startHost(index)});
  }
  for (const host of hosts) {
    await waitUntilUp(`http://${host.callerAddress}/healthz`, host.child);
  }

  const settingsFile = path.join(folder, 'base.yaml');
  const settings = createSettings(
    options,
    prefill.addresses,
    decode.addresses,
    serviceAddresses,
  );
  writeFileSync(settingsFile, settings);
  const apply = startProgram(
    'config apply',
    ['config', 'apply', '--base', settingsFile, '--peer', hosts[0].peerAddress],
    HOST_ENVIRONMENT,
  );
  const code = await apply.ended;
  if (code !== 0) throw new Error(`config apply failed: ${apply.output()}`);
  for (const host of hosts) {
    await waitUntilUp(`http://${host.callerAddress}/readyz`, host.child);
  }

  const standIns = [platform, prefill, decode, ...services];
  return {
    platformUrl,
    platform: platform.child,
    hosts,
    prefillAddresses: prefill.addresses,
    decodeAddresses: decode.addresses,
    serviceAddresses,
    async restartHost(index) {
      hosts[index].child = startHost(index);
      const {callerAddress, child} = hosts[index];
      await waitUntilUp(`http://${callerAddress}/readyz`, child);
    },
    async stop() {
      const children = [
        ...hosts.map(host => host.child),
        ...standIns.map(other => other.child),
      ];
      for (const child of children) {
        if (!child.hasEnded()) child.kill('SIGKILL');
      }
      await Promise.all(children.map(child => child.ended));
      rmSync(folder, {recursive: true, force: true});
    },
  };
}
