/** Many hosts that keep each other's streams, in virtual time. */

import assert from 'node:assert/strict';
import type {Routing} from '../../../src/core/routing_types.js';
import {createSeededRandom} from '../../../src/core/seeded_random.js';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {TablePort} from '../../../src/ports/table.js';
import {encodeDatagram} from '../../../src/relay/fleet/peer_codec.js';
import type {OriginMessage} from '../../../src/relay/resumption/origin_messages.js';
import {createResumption} from '../../../src/relay/resumption/resumption.js';
import type {RelayJob} from '../../../src/relay/relay_types.js';
import {createRoutingState} from '../../../src/relay/routing_state.js';
import {createUpstreamRegistry} from '../../../src/relay/store/upstream_registry.js';
import {makeEngine, makeService} from '../placement/lone_scheduler.js';
import {silentLog} from '../../support/silent_log.js';
import {createFakeTable} from '../../coordination/fake_table.js';
import {revisionAt} from '../../support/store_revisions.js';

export const service = makeService(30_000);
const route: Routing['routes'][number] = {
  name: 'briefs',
  host: 'x.example',
  prefix: '/',
  kind: 'stream',
  targets: [{service: service.name, weight: 1}],
  maxAttempts: 2,
  timeoutMs: 14_000,
  goalMs: 900,
  gapGoalMs: 300,
  priority: 1,
  isResumable: true,
  isPublic: true,
};
/** No stream is older. */
export const WINDOW_MS = 2 * route.timeoutMs;
export const TRANSIT_MS = 2;
const KILLED_MS = 500;
const UDP_HEADER_BYTES = 28;
const MAX_MESH_HOSTS = 16;

function makeUnreadableTable(): TablePort {
  const table = createFakeTable();
  table.isDown = true;
  return table;
}

/** A table that was restored this many times. */
export function makeTable(
  restoredCount: number,
  table: TablePort = createFakeTable(),
): TablePort {
  return {
    ...table,
    async read(keys, timeoutMs) {
      const outcome = await table.read(keys, timeoutMs);
      return {...outcome, tableNowMs: 5_000, tableEra: restoredCount};
    },
  };
}

export type ResumptionFleet = ReturnType<typeof makeFleet>;

export function makeFleet(
  hostCount: number,
  versions: readonly string[],
  table = makeUnreadableTable(),
) {
  const clock = createVirtualClock(1_000);
  const random = createSeededRandom(7);
  const ids = Array.from({length: hostCount}, (_, i) => `host-${i}`);
  const dead = new Set<string>();
  const earlier = new Set<string>();
  /** Live hosts that neither send nor receive. */
  const silent = new Set<string>();
  let sentBytes = 0;
  let nextId = 1;

  function makeHost(hostId: string) {
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const routing = createRoutingState(silentLog);
    const limits = {} as Routing['limits'];
    const services = [service];
    const current = {version: 1, routes: [route], services, limits};
    routing.applyIfNewer({...current, accounts: []}, 'store');
    const send = (to: string, message: OriginMessage) => {
      sentBytes += encodeDatagram(message).length + UDP_HEADER_BYTES;
      clock.setTimer(TRANSIT_MS, () => {
        if (dead.has(to) || dead.has(hostId) || earlier.has(to)) return;
        if (silent.has(to) || silent.has(hostId)) return;
        fleet.get(to)?.resumption.receive(hostId, message);
      });
    };
    const isRunning = () =>
      !dead.has(hostId) && fleet.get(hostId)?.resumption === resumption;
    const never = new Promise<never>(() => undefined);
    const ownTable: TablePort = {
      ...table,
      transact: (transaction, timeoutMs) =>
        isRunning() ? table.transact(transaction, timeoutMs) : never,
    };
    const resumption = createResumption({
      clock,
      random,
      log: silentLog,
      metrics: {count: () => undefined},
      hostId,
      registry,
      routing,
      peers: () =>
        ids
          .filter(each => each !== hostId && !dead.has(each))
          .map(each => ({hostId: each, state: 'ready'})),
      isMesh: () => hostCount <= MAX_MESH_HOSTS,
      archiverIds: () => ids.filter(each => !dead.has(each)).slice(0, 3),
      table: ownTable,
      storeEra: () => 0,
      isWriter: () => hostId === 'host-0',
      send,
      onOpen: () => undefined,
    });
    const list = (listed: readonly string[], revision: number) => {
      const upstreams = listed.map((version, i) => ({
        ...makeEngine(`d${i}`),
        version,
      }));
      registry.apply({revision: revisionAt(revision), upstreams});
      resumption.noteList();
    };
    list(versions, 1);
    return {resumption, list};
  }

  const fleet = new Map(ids.map(id => [id, makeHost(id)]));
  const hostAt = (hostId: string) => {
    const host = fleet.get(hostId);
    assert.ok(host);
    return host;
  };

  const makeJob = (
    request: Partial<RelayJob['request']>,
    account?: string,
    from = service,
  ) =>
    ({
      request: {arrivedAtMs: clock.nowMs(), waitMs: 14_000, ...request},
      deadlineAtMs: clock.nowMs() + 14_000,
      route,
      service: from,
      admitted: {account: account && {name: account}},
    }) as unknown as RelayJob;

  let listCount = 1;
  function restart(hostId: string): void {
    dead.delete(hostId);
    fleet.set(hostId, makeHost(hostId));
  }

  return {
    clock,
    ids,
    dead,
    earlier,
    silent,
    hostAt,
    sentBytes: () => sentBytes,
    begin(
      hostId: string,
      version: string,
      account?: string,
      from = service,
    ): string {
      const requestId = `${(nextId++).toString(16).padStart(16, '0')}`;
      const job = makeJob({requestId}, account, from);
      hostAt(hostId).resumption.recordBegun(job, version);
      return requestId;
    },
    /** Returns the version at which the stream goes on, if it does. */
    async takeUp(
      hostId: string,
      resumes: string,
      account?: string,
      {waitMs = 250, onDecided = (): unknown => undefined} = {},
    ): Promise<string | undefined> {
      const job = makeJob({lastEventId: '3', resumes}, account);
      const decided = hostAt(hostId).resumption.takeUps.decide(job);
      void decided.then(onDecided);
      for (let i = 0; i < waitMs / 5; i++) await clock.advance(5);
      const takeUp = await decided;
      return takeUp.kind === 'resumed' ? takeUp.version : undefined;
    },
    /** The host's process starts again, and knows nothing. */
    restart,
    /** All processes end at once, and start again while these are listed. */
    async killAll(listed: readonly string[]): Promise<void> {
      for (const id of ids) dead.add(id);
      await clock.advance(KILLED_MS);
      for (const id of ids) restart(id);
      listCount++;
      for (const id of ids) hostAt(id).list(listed, listCount);
      await clock.advance(KILLED_MS);
    },
  };
}
