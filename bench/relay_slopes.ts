/**
 * `npm run bench -- relay_slopes [COUNT...]`: measures the cost of an idle relay
 * process by the number of hosts, with real processes on this machine, a
 * stand-in for the store and nine upstreams.
 *
 * The kernel reports processor time per process. Datagrams and bytes are those
 * of the whole machine, including TCP on loopback, so nothing else should run
 * at the same time.
 */

import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSoakSite} from '../tests/soak/soak_site.js';

const DEFAULT_COUNTS: readonly number[] = [9, 30, 68];
/** Time for all hosts to start and discover each other. */
const WARM_UP_MS = 12_000;
const MEASURED_MS = 15_000;
/** Length of a kernel tick of processor time. */
const TICK_MS = 10;
/** Fields of `/proc/PID/stat` after the name: time in user and system mode. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

interface Counters {
  readonly processorMs: readonly number[];
  readonly datagrams: number;
  readonly bytes: number;
}

function readProcessorMs(processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * TICK_MS;
}

/** Reads a counter of a file with alternating lines of names and values. */
function readNetCounter(file: string, part: string, name: string): number {
  const lines = readFileSync(file, 'utf8').split('\n');
  const [names, values] = lines
    .filter(line => line.startsWith(`${part}:`))
    .map(line => line.split(' '));
  return Number(values[names.indexOf(name)]);
}

function readCounters(processIds: readonly number[]): Counters {
  return {
    processorMs: processIds.map(readProcessorMs),
    datagrams: readNetCounter('/proc/net/snmp', 'Udp', 'OutDatagrams'),
    bytes: readNetCounter('/proc/net/netstat', 'IpExt', 'OutOctets'),
  };
}

async function measure(hostCount: number): Promise<void> {
  const folder = mkdtempSync(path.join(tmpdir(), 'relay-slopes-'));
  const program = path.resolve('target/main.mjs');
  const site = await createSoakSite({hostCount, program, folder});
  await sleep(WARM_UP_MS);
  const processIds = site.hosts
    .map(({child}) => child.processId())
    .filter(id => id !== undefined);
  const before = readCounters(processIds);
  await sleep(MEASURED_MS);
  const after = readCounters(processIds);
  await site.close();
  rmSync(folder, {recursive: true});

  const shares = after.processorMs
    .map((each, i) => (each - before.processorMs[i]) / MEASURED_MS)
    .sort((a, b) => a - b);
  const perHostSecond = (count: number) =>
    count / (MEASURED_MS / 1_000) / processIds.length;
  const row = [
    processIds.length,
    shares[shares.length >> 1].toFixed(3),
    shares.at(-1)?.toFixed(3),
    shares.reduce((sum, each) => sum + each, 0).toFixed(2),
    perHostSecond(after.datagrams - before.datagrams).toFixed(0),
    (perHostSecond(after.bytes - before.bytes) / 1_000).toFixed(1),
  ];
  process.stdout.write(`| ${row.join(' | ')} |\n`);
}

export async function run(args: readonly string[]): Promise<void> {
  const counts = args.length > 0 ? args.map(Number) : DEFAULT_COUNTS;
  process.stdout.write(
    '| hosts | core, median | core, most | cores in all | datagrams/s a host | kB/s a host |\n',
  );
  for (const count of counts) await measure(count);
}
