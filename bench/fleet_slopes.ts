/**
 * `npm run bench -- fleet_slopes [COUNT...]`: measures the traffic of idle hosts
 * by the number of hosts. It runs in virtual time without processes; the
 * datagrams are real, but carry no engines or requests.
 */

import {makeFleet, type FleetHost} from '../tests/relay/fleet/fleet_network.js';

const DEFAULT_COUNTS: readonly number[] = [9, 16, 17, 30, 68, 195, 300];
const WARM_UP_MS = 8_000;
const MEASURED_MS = 5_000;

type Fleet = ReturnType<typeof makeFleet>;

/** Datagrams sent and received, and bytes in total, per host and second. */
function measure(
  {trafficOf}: Fleet,
  hosts: readonly FleetHost[],
): readonly number[] {
  const hostSeconds = (hosts.length * MEASURED_MS) / 1_000;
  const sums = [0, 0, 0];
  for (const {name} of hosts) {
    const {sent, heard, bytes} = trafficOf(name);
    [sent, heard, bytes].forEach((each, i) => (sums[i] += each));
  }
  return sums.map(sum => (hostSeconds > 0 ? sum / hostSeconds : 0));
}

async function measureFleet(count: number): Promise<void> {
  const fleet = makeFleet(1);
  const hosts = await fleet.startMany(count);
  await fleet.clock.advance(WARM_UP_MS);
  const ids = new Set(hosts[0].exchange.coordinatorIds());
  const parts = [
    hosts.filter(({name}) => !ids.has(name)),
    hosts.filter(({name}) => ids.has(name)),
  ];
  const before = parts.map(part => measure(fleet, part));
  await fleet.clock.advance(MEASURED_MS);
  const figures = parts.flatMap((part, p) =>
    measure(fleet, part).map((each, i) => (each - before[p][i]).toFixed(0)),
  );
  process.stdout.write(`| ${[count, ...figures].join(' | ')} |\n`);
}

export async function run(args: readonly string[]): Promise<void> {
  const counts = args.length > 0 ? args.map(Number) : DEFAULT_COUNTS;
  process.stdout.write(
    '| hosts | sent/s | heard/s | B/s | coordinator: sent/s | heard/s | B/s |\n',
  );
  for (const count of counts) await measureFleet(count);
}
