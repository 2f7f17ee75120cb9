/**
 * `npm run bench -- nine_processes [--changes N] [--kills N] [--races N]`:
 * runs nine real processes on loopback. It measures the time until all have
 * adopted a change, also with the platform frozen right after acceptance, and
 * until a dead or leaving host is no longer listed. It checks that processes
 * never return to an older revision across kills and restarts, and that racing
 * operators get correct outcomes.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createSeededRandom} from '../src/core/seeded_random.js';
import type {Random} from '../src/ports/random.js';
import {
  getJson,
  putJson,
  startFleet,
  type Fleet,
  type FleetHost,
} from './support/fleet.js';
import {
  createOperatorClient,
  type OperatorClient,
} from './support/operators.js';

const HOST_COUNT = 9;
const POLL_MS = 50;
const TIMEOUT_MS = 15_000;
const SETTLE_MS = 3000;
const RACERS = 3;
const PARTITION_COUNT = 18;
/** A host that no answer lists for this time counts as removed. */
const UNLISTED_MS = 2000;
const RATE_PATTERN = /requestsPerSecond: \d+/g;

interface Bench {
  readonly fleet: Fleet;
  readonly seats: readonly OperatorClient[];
  readonly random: Random;
  /** Newest revision whose acceptance was reported to an operator. */
  acceptedRevision: number;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatTimes(timesMs: readonly number[]): string {
  const sorted = [...timesMs].sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(sorted[Math.floor((sorted.length - 1) * share)]);
  return `median ${at(0.5)} ms, worst ${at(1)} ms, of ${sorted.length}`;
}

/** Returns the body with another rate limit. */
function changeBody(body: string, bench: Bench): string {
  const limit = 10_000 + bench.random.nextInt(900_000);
  return body.replace(RATE_PATTERN, `requestsPerSecond: ${limit}`);
}

async function measureUntil(
  isDone: () => Promise<boolean>,
  limitMs = TIMEOUT_MS,
): Promise<number | undefined> {
  const startMs = performance.now();
  for (;;) {
    if (await isDone()) return performance.now() - startMs;
    if (performance.now() - startMs > limitMs) return undefined;
    await sleep(POLL_MS);
  }
}

async function isInForceAtAll(
  seats: readonly OperatorClient[],
  revision: number,
): Promise<boolean> {
  const all = await Promise.all(seats.map(seat => seat.readStatus()));
  return all.every(
    status => (status?.configuration.inForceRevision ?? 0) >= revision,
  );
}

async function applyOne(bench: Bench): Promise<number> {
  const seat = bench.seats[bench.random.nextInt(bench.seats.length)];
  const {revision, body} = await seat.readBody();
  const reply = await seat.apply({
    body: changeBody(body, bench),
    basedOn: revision,
    author: seat.host.hostId,
  });
  if (reply.kind === 'accepted') bench.acceptedRevision = reply.revision;
  return reply.kind === 'accepted' ? reply.revision : 0;
}

async function measureChanges(bench: Bench, count: number): Promise<void> {
  for (const isFrozen of [false, true]) {
    const timesMs: number[] = [];
    let lateCount = 0;
    for (let i = 0; i < count; i++) {
      const revision = await applyOne(bench);
      if (isFrozen) bench.fleet.platform.kill('SIGSTOP');
      const tookMs = await measureUntil(() =>
        isInForceAtAll(bench.seats, revision),
      );
      if (isFrozen) bench.fleet.platform.kill('SIGCONT');
      if (tookMs === undefined) lateCount++;
      else timesMs.push(tookMs);
      if (isFrozen) await sleep(SETTLE_MS);
    }
    const condition = isFrozen ? 'platform frozen right after' : 'platform up';
    print(
      `change in force at all 9, ${condition}: ${formatTimes(timesMs)}; ` +
        `not within ${TIMEOUT_MS} ms: ${lateCount}`,
    );
  }
}

/** Counts how often a process reports an older revision than before. */
function watchRevisions(bench: Bench) {
  const seen = new Map<string, number>();
  let reverts = 0;
  let isStopped = false;
  async function checkRevision(seat: OperatorClient): Promise<void> {
    const status = await seat.readStatus();
    const now = status?.configuration.inForceRevision ?? 0;
    // A process that has just started reports 0 until it has a revision.
    if (now === 0) return;
    const before = seen.get(seat.host.hostId) ?? 0;
    if (now < before) {
      reverts++;
      print(`  ${seat.host.hostId} went from ${before} back to ${now}`);
    }
    seen.set(seat.host.hostId, Math.max(now, before));
  }
  async function run(): Promise<void> {
    while (!isStopped) {
      await Promise.all(bench.seats.map(checkRevision));
      await sleep(POLL_MS);
    }
  }
  const ended = run();
  return {
    async stop() {
      isStopped = true;
      await ended;
      return reverts;
    },
  };
}

async function killAndRestart(bench: Bench, isFrozen: boolean): Promise<void> {
  const {fleet, random} = bench;
  const index = random.nextInt(HOST_COUNT);
  const {child} = fleet.hosts[index];
  child.kill('SIGKILL');
  await child.ended;
  if (isFrozen) fleet.platform.kill('SIGSTOP');
  try {
    await fleet.restartHost(index);
  } finally {
    if (isFrozen) fleet.platform.kill('SIGCONT');
  }
}

async function measureKills(bench: Bench, count: number): Promise<void> {
  const watch = watchRevisions(bench);
  let startFailures = 0;
  for (let i = 0; i < count; i++) {
    await applyOne(bench);
    // At every third restart the platform is frozen, so peers must be asked.
    try {
      await killAndRestart(bench, i % 3 === 2);
    } catch (error) {
      startFailures++;
      print(`  ${error instanceof Error ? error.message : String(error)}`);
    }
  }
  const isSettled = await measureUntil(() =>
    isInForceAtAll(bench.seats, bench.acceptedRevision),
  );
  const reverts = await watch.stop();
  print(
    `${count} kills and restarts, a third with the platform frozen: ` +
      `${reverts} reverts, ${startFailures} not ready in time, ` +
      `newest in force at all: ${isSettled !== undefined}`,
  );
}

interface RaceCounts {
  accepted: number;
  lost: number;
  wrong: number;
}

async function raceOnce(bench: Bench, counts: RaceCounts): Promise<void> {
  const {revision, body} = await bench.seats[0].readBody();
  const start = bench.random.nextInt(HOST_COUNT);
  const racers = Array.from(
    {length: RACERS},
    (_, i) => bench.seats[(start + i * RACERS) % HOST_COUNT],
  );
  const replies = await Promise.all(
    racers.map(seat =>
      seat.apply({
        body: changeBody(body, bench),
        basedOn: revision,
        author: seat.host.hostId,
      }),
    ),
  );
  const winners = replies.filter(reply => reply.kind === 'accepted');
  counts.accepted += winners.length;
  counts.lost += replies.filter(reply => reply.kind === 'lost').length;
  const changeId = await racers[0].readChangeId(revision + 1);
  const isCorrect =
    winners.length === 1 &&
    winners[0].changeId === changeId &&
    winners[0].revision === revision + 1 &&
    replies.every(
      reply =>
        reply.kind === 'accepted' ||
        (reply.kind === 'lost' && reply.changeId !== changeId),
    );
  if (!isCorrect) {
    counts.wrong++;
    print(
      `  race on ${revision}: ${replies.map(reply => `${reply.kind} ${reply.revision} ${reply.detail}`).join(' | ')}`,
    );
  }
  bench.acceptedRevision = revision + 1;
  await measureUntil(() => isInForceAtAll(bench.seats, revision + 1));
}

async function measureRaces(bench: Bench, count: number): Promise<void> {
  const faults = `${bench.fleet.platformUrl}/faults`;
  await putJson(faults, {answerLostShare: 0.1});
  const counts: RaceCounts = {accepted: 0, lost: 0, wrong: 0};
  const rounds = Math.ceil(count / RACERS);
  for (let i = 0; i < rounds; i++) await raceOnce(bench, counts);
  await putJson(faults, {answerLostShare: 0});
  print(
    `${rounds * RACERS} racing changes in ${rounds} rounds, one answer in ten lost: ` +
      `${counts.accepted} accepted, ${counts.lost} lost, ` +
      `${counts.wrong} rounds with an untrue outcome`,
  );
}

async function isUnlisted(
  others: readonly FleetHost[],
  gone: FleetHost,
): Promise<boolean> {
  const answers = await Promise.all(
    others.map(host =>
      getJson<{entries: readonly {address: string}[]}>(
        `http://${host.callerAddress}/v1/entries`,
      ),
    ),
  );
  return answers.every(answer =>
    answer.entries.every(entry => entry.address !== gone.callerAddress),
  );
}

/**
 * Measures the time until answers stop listing the host. Each answer lists a
 * random sample of the entries, so a single one without the host is not enough.
 */
async function measureUntilUnlisted(
  others: readonly FleetHost[],
  gone: FleetHost,
): Promise<number | undefined> {
  const startMs = performance.now();
  let lastNamedMs = 0;
  for (;;) {
    const nowMs = performance.now() - startMs;
    if (!(await isUnlisted(others, gone))) lastNamedMs = nowMs;
    if (nowMs - lastNamedMs > UNLISTED_MS) return lastNamedMs;
    if (nowMs > TIMEOUT_MS) return undefined;
    await sleep(POLL_MS);
  }
}

/** Whether the given processes together hold the leases of all partitions. */
async function isOwnedByOthers(
  seats: readonly OperatorClient[],
): Promise<boolean> {
  const all = await Promise.all(seats.map(seat => seat.readStatus()));
  const held = all.flatMap(status => status?.leases ?? []);
  return new Set(held.map(lease => lease.name)).size === PARTITION_COUNT;
}

async function measureDeparture(
  bench: Bench,
  signal: 'SIGKILL' | 'SIGTERM',
  count: number,
): Promise<void> {
  const answersMs: number[] = [];
  const ownersMs: number[] = [];
  for (let i = 0; i < count; i++) {
    const index = bench.random.nextInt(HOST_COUNT);
    const departing = bench.fleet.hosts[index];
    const seats = bench.seats.filter(seat => seat.host !== departing);
    const others = seats.map(seat => seat.host);
    await measureUntil(() => isOwnedByOthers(bench.seats));
    departing.child.kill(signal);
    const [outMs, ownedMs] = await Promise.all([
      measureUntilUnlisted(others, departing),
      measureUntil(() => isOwnedByOthers(seats)),
    ]);
    answersMs.push(outMs ?? TIMEOUT_MS);
    ownersMs.push(ownedMs ?? TIMEOUT_MS);
    await departing.child.ended;
    await bench.fleet.restartHost(index);
    await sleep(SETTLE_MS);
  }
  const departure = signal === 'SIGKILL' ? 'killed' : 'leaving';
  print(`${departure} host out of all answers: ${formatTimes(answersMs)}`);
  print(
    `${departure} host's partitions owned by others: ${formatTimes(ownersMs)}`,
  );
}

export async function run(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      changes: {type: 'string', default: '10'},
      kills: {type: 'string', default: '30'},
      races: {type: 'string', default: '150'},
      departures: {type: 'string', default: '5'},
      seed: {type: 'string', default: '1'},
    },
  });
  const fleet = await startFleet({
    hostCount: HOST_COUNT,
    prefillCount: 1,
    decodeCount: 2,
    serviceCount: 1,
    engineFlags: [],
    coordination: {journalPartitions: PARTITION_COUNT, directoryTtlMs: 2000},
  });
  try {
    const bench: Bench = {
      fleet,
      seats: fleet.hosts.map(createOperatorClient),
      random: createSeededRandom(Number(values.seed)),
      acceptedRevision: 1,
    };
    await measureChanges(bench, Number(values.changes));
    await measureRaces(bench, Number(values.races));
    await measureDeparture(bench, 'SIGKILL', Number(values.departures));
    await measureDeparture(bench, 'SIGTERM', Number(values.departures));
    await measureKills(bench, Number(values.kills));
  } finally {
    await fleet.stop();
  }
}
