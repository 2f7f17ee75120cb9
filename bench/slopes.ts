/**
 * `npm run bench -- slopes [COUNT...]`: measures the cost of coordination per
 * host by the number of hosts. `--together` measures only all parts together,
 * `--deaths` measures deaths of hosts and of a domain instead, and `--loss`
 * counts false deaths at 5% loss.
 *
 * Bytes are those of datagrams sent and received, with UDP and IP headers.
 * CPU is the time of this process, including transport and table, per host and
 * second of virtual time, so it is an upper bound.
 */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  createFleet,
  type Fleet,
  type FleetOptions,
  type FleetParts,
} from './coordination_fleet.js';

const DEFAULT_COUNTS = [9, 36, 100, 300];
/** All hosts start at once and first read each other's records. */
const getWarmUpMs = (count: number) => 40_000 + 100 * count;
const MEASURED_MS = 60_000;
/** 41,000 changes a day. */
const CHANGE_INTERVAL_MS = 86_400_000 / 41_000;
const BODY_LINES = 400;
const FLEET = {seed: 1, probeIntervalMs: 500, suspicionMs: 1_500};

interface Step {
  readonly name: string;
  readonly parts: FleetParts;
}

/** Each step adds one part to the previous step. */
const allSteps: readonly Step[] = [
  {
    name: 'membership',
    parts: {hasSummaries: false, hasConfiguration: false, hasLeases: false},
  },
  {
    name: '+ summaries',
    parts: {hasSummaries: true, hasConfiguration: false, hasLeases: false},
  },
  {
    name: '+ configuration',
    parts: {hasSummaries: true, hasConfiguration: true, hasLeases: false},
  },
  {
    name: '+ leases',
    parts: {hasSummaries: true, hasConfiguration: true, hasLeases: true},
  },
];

interface Cost {
  readonly bytesPerSecond: number;
  readonly cpuShare: number;
  readonly memoryBytes: number;
  readonly tableWritesPerSecond: number;
  readonly tableReadsPerSecond: number;
  /** Time from acceptance until the last host adopts; 0 without configuration. */
  readonly slowestChangeMs: number;
}

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function getHeapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

const countBytes = (fleet: Fleet) =>
  fleet.hosts.reduce((sum, {membership}) => {
    const {sentBytes, receivedBytes} = membership.counts();
    return sum + sentBytes + receivedBytes;
  }, 0);

/** Applies changes at regular intervals, each from a different host. */
function startChanges(fleet: Fleet) {
  const {clock, hosts} = fleet;
  const lines = Array.from({length: BODY_LINES}, (_, i) => `line ${i}: value`);
  const acceptedAtMs = new Map<number, number>();
  const result = {slowestMs: 0};
  let revision = 0;
  for (const {keeper} of hosts) {
    keeper.changes.listen(({revision: adopted}) => {
      const atMs = acceptedAtMs.get(adopted);
      if (atMs === undefined) return;
      result.slowestMs = Math.max(result.slowestMs, clock.nowMs() - atMs);
    });
  }
  function change(): void {
    clock.setTimer(CHANGE_INTERVAL_MS, change);
    const author = hosts[(revision * 7) % hosts.length].keeper;
    const at = revision % BODY_LINES;
    lines[at] = `line ${at}: changed in ${revision + 1}`;
    const metadata = {author: 'bench', comment: '', changeId: `c${revision}`};
    const body = lines.join('\n');
    void author.apply({...metadata, basedOn: revision, body}).then(outcome => {
      if (outcome.kind !== 'accepted') return;
      revision = outcome.accepted.revision;
      acceptedAtMs.set(revision, clock.nowMs());
    });
  }
  change();
  return result;
}

async function measure(count: number, parts: FleetParts): Promise<Cost> {
  const heapBefore = getHeapBytes();
  const fleet = createFleet({...FLEET, count, parts});
  await fleet.advance(getWarmUpMs(count) / 2);
  if (parts.hasLeases) fleet.hosts.forEach(host => host.requestLeases());
  const changes = parts.hasConfiguration ? startChanges(fleet) : undefined;
  await fleet.advance(getWarmUpMs(count) / 2);
  const bytesBefore = countBytes(fleet);
  const writesBefore = fleet.table.log.length;
  const readsBefore = fleet.table.readCount;
  const cpuBefore = process.cpuUsage();
  await fleet.advance(MEASURED_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = MEASURED_MS / 1_000;
  const bytes = countBytes(fleet) - bytesBefore;
  const writes = fleet.table.log.length - writesBefore;
  const reads = fleet.table.readCount - readsBefore;
  fleet.table.log.length = 0;
  return {
    bytesPerSecond: bytes / count / seconds,
    cpuShare: (cpu.user + cpu.system) / 1e6 / count / seconds,
    memoryBytes: (getHeapBytes() - heapBefore) / count,
    tableWritesPerSecond: writes / seconds,
    tableReadsPerSecond: reads / seconds,
    slowestChangeMs: changes?.slowestMs ?? 0,
  };
}

function print(line: string): void {
  process.stdout.write(line + '\n');
}

async function measureSlopes(
  counts: readonly number[],
  steps: readonly Step[],
): Promise<void> {
  print(
    '| hosts | parts | B/s | CPU % of a core | memory MB | table writes/s | table reads/s | slowest change ms |',
  );
  print('| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |');
  for (const count of counts) {
    for (const {name, parts} of steps) {
      const cost = await measure(count, parts);
      const cells = [
        count,
        name,
        cost.bytesPerSecond.toFixed(0),
        (cost.cpuShare * 100).toFixed(2),
        (cost.memoryBytes / 1e6).toFixed(2),
        cost.tableWritesPerSecond.toFixed(1),
        cost.tableReadsPerSecond.toFixed(1),
        cost.slowestChangeMs.toFixed(0),
      ];
      print(`| ${cells.join(' | ')} |`);
    }
  }
}

const ALL_PARTS = allSteps[allSteps.length - 1].parts;
const MAX_DEATH_WAIT_MS = 120_000;

/** Kills one of twelve domains; prints the detection time and peak traffic. */
async function measureDeaths(count: number): Promise<void> {
  const fleet = createFleet({...FLEET, count, parts: ALL_PARTS});
  await fleet.advance(getWarmUpMs(count));
  const isInDeadDomain = (index: number) =>
    fleet.listed[index].failureDomain === 'zone-3';
  fleet.hosts.forEach((host, index) => {
    if (isInDeadDomain(index)) host.kill();
  });
  const survivors = fleet.hosts.filter((_, index) => !isInDeadDomain(index));
  const domain = (view: (typeof survivors)[number]) =>
    view.membership.members().filter(m => m.failureDomain === 'zone-3').length;
  let lastBytes = countBytes(fleet);
  let peak = 0;
  let passedMs = 0;
  while (
    passedMs < MAX_DEATH_WAIT_MS &&
    survivors.some(host => domain(host) > 0)
  ) {
    await fleet.advance(1_000);
    passedMs += 1_000;
    const bytes = countBytes(fleet);
    peak = Math.max(peak, (bytes - lastBytes) / survivors.length);
    lastBytes = bytes;
  }
  const dead = fleet.hosts.length - survivors.length;
  print(
    `domain death, ${count} hosts: ${dead} dead, out of all views in ` +
      `${passedMs / 1_000} s, busiest second ${peak.toFixed(0)} B/s a host`,
  );
}

/** Kills hosts one by one; prints the time until every view has removed each. */
async function measureSingleDeaths(count: number): Promise<void> {
  const options: FleetOptions = {...FLEET, count, parts: allSteps[0].parts};
  const fleet = createFleet(options);
  await fleet.advance(getWarmUpMs(count));
  const times: number[] = [];
  for (let victim = 0; victim < Math.min(20, count / 3); victim++) {
    const {hostId, kill} = fleet.hosts[victim];
    kill();
    const survivors = fleet.hosts.slice(victim + 1);
    let passedMs = 0;
    const isSeen = () =>
      survivors.some(host => host.membership.get(hostId)?.state !== 'dead');
    while (isSeen() && passedMs < MAX_DEATH_WAIT_MS) {
      await fleet.advance(100);
      passedMs += 100;
    }
    times.push(passedMs);
  }
  times.sort((a, b) => a - b);
  print(
    `single deaths, ${count} hosts: ${times.length}, out of all views in ` +
      `median ${times[times.length >> 1]} ms, slowest ${times.at(-1)} ms`,
  );
}

const LOSS_MS = 600_000;

async function measureLoss(count: number): Promise<void> {
  const fleet = createFleet({...FLEET, count, parts: allSteps[0].parts});
  await fleet.advance(getWarmUpMs(count));
  fleet.network.loss = 0.05;
  const seen = {deaths: 0, suspicions: 0};
  for (const {membership} of fleet.hosts) {
    membership.changes.listen(({before, member}) => {
      if (before?.state === member.state) return;
      if (member.state === 'dead') seen.deaths++;
      if (member.state === 'suspect') seen.suspicions++;
    });
  }
  await fleet.advance(LOSS_MS);
  print(
    `5% loss for 10 min, ${count} hosts: ${seen.deaths} false deaths, ` +
      `${seen.suspicions} suspicions seen over all views`,
  );
}

export async function run(args: readonly string[]): Promise<void> {
  const given = args.filter(arg => /^\d+$/.test(arg)).map(Number);
  const counts = given.length > 0 ? given : DEFAULT_COUNTS;
  const isOtherMeasurement =
    args.includes('--deaths') || args.includes('--loss');
  const steps = args.includes('--together') ? allSteps.slice(-1) : allSteps;
  if (!isOtherMeasurement) await measureSlopes(counts, steps);
  for (const count of counts) {
    if (args.includes('--deaths')) {
      await measureSingleDeaths(count);
      await measureDeaths(count);
    }
    if (args.includes('--loss')) await measureLoss(count);
  }
}
