/** Upstreams that pause and go on, beside requests that are sent again. */

import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import type {ProbeOutcome} from '../../../src/ports/relay.js';
import type {CrashWatch} from '../../../src/relay/crashes/crash_watch.js';
import type {WatchedRun} from '../../../src/relay/crashes/watched_upstream_port.js';
import {
  createUpstreamRegistry,
  type UpstreamRegistry,
} from '../../../src/relay/store/upstream_registry.js';
import {silentLog} from '../../support/silent_log.js';
import {revisionAt} from '../../support/store_revisions.js';
import {makeUpstream} from '../store/store_site.js';
import {isRefused, makeRequest, makeWatch} from './crash_site.js';

const STEP_MS = 100;
const HEARTBEAT_MS = 1_200;
const LIST_READ_MS = 700;
const PROBE_TIMEOUT_MS = 800;
const IDS = Array.from({length: 10}, (_, i) => `d${i}`);
const OTHER_IDS = ['l0', 'l1', 'l2'];
/** Sent again and again while upstreams are silent. */
const REPEATED = '/repeated';

const toUpstream = (id: string, counter = 1) => ({
  ...makeUpstream(id),
  service: id.startsWith('d') ? 'drafts' : 'ledger',
  heartbeat: revisionAt(counter),
});

interface WatchingHost {
  readonly watch: CrashWatch;
  readonly registry: UpstreamRegistry;
}

/** Two hosts, of which one reads the list, before upstreams of two services. */
function makeWatchingHosts() {
  const clock = createVirtualClock(0);
  const silent = new Set<string>();
  const stopped = new Set<string>();
  const beats = new Map<string, number>();
  let atMs = 0;
  let nextTarget = 0;
  const probe = ({id}: {readonly id: string}) =>
    new Promise<ProbeOutcome>(resolve => {
      if (!silent.has(id)) return resolve('answered');
      clock.setTimer(PROBE_TIMEOUT_MS, () =>
        resolve(silent.has(id) ? 'no-answer' : 'answered'),
      );
    });
  const hosts = [0, 1].map((): WatchingHost => {
    const registry = createUpstreamRegistry({clock, log: silentLog});
    const watch = makeWatch(clock, {registry, upstreamPort: {probe}});
    registry.onChange(watch.noteList);
    return {watch, registry};
  });
  const openRuns = hosts.map(() => new Map<string, WatchedRun>());

  function readList(): void {
    hosts[0].registry.apply({
      revision: revisionAt(atMs),
      upstreams: [...IDS, ...OTHER_IDS].map(id =>
        toUpstream(id, beats.get(id) ?? 1),
      ),
    });
  }

  /** Each host has one long run at each upstream, and calls that end. */
  function runCalls(): void {
    hosts.forEach(({watch}, i) => {
      for (const id of [...IDS, ...OTHER_IDS]) {
        let run = openRuns[i].get(id);
        if (!run) {
          const request = makeRequest(`/long-${nextTarget++}`);
          run = watch.startRun(request, toUpstream(id));
          openRuns[i].set(id, run);
        }
        if (silent.has(id)) continue;
        run.noteData();
        const call = watch.startRun(
          makeRequest(`/call-${nextTarget++}`),
          toUpstream(id),
        );
        call.noteAnswer();
        call.end('complete');
      }
    });
  }

  async function step(): Promise<void> {
    [...IDS, ...OTHER_IDS].forEach((id, i) => {
      if (stopped.has(id)) return;
      if ((atMs + i * STEP_MS) % HEARTBEAT_MS === 0) beats.set(id, atMs);
    });
    if (atMs % LIST_READ_MS === 0) readList();
    runCalls();
    const [first, second] = hosts.map(({watch}) => watch.takeFacts());
    hosts[0].watch.applyFacts(second);
    hosts[1].watch.applyFacts(first);
    atMs += STEP_MS;
    await clock.advance(STEP_MS);
  }

  return {
    hosts,
    silent,
    stopped,
    step,
    nowMs: () => atMs,
    async run(durationMs: number) {
      for (const endMs = atMs + durationMs; atMs < endMs;) await step();
    },
  };
}

/** Sends the request to one upstream after the other; each caller leaves. */
async function repeatRequest(
  site: ReturnType<typeof makeWatchingHosts>,
  ids: readonly string[],
  durationMs: number,
  onStep: () => void,
): Promise<void> {
  const endMs = site.nowMs() + durationMs;
  for (let i = 0; site.nowMs() < endMs; i++) {
    const {watch} = site.hosts[i % 2];
    const run = watch.startRun(
      makeRequest(REPEATED),
      toUpstream(ids[i % ids.length]),
    );
    for (let wait = 0; wait < 3; wait++) {
      await site.step();
      onStep();
    }
    run.end('abandoned');
  }
}

interface Pause {
  readonly count: number;
  readonly forMs: number;
  /** Whether the heartbeats stop, too. */
  readonly stopsHeartbeats?: boolean;
}

const PAUSES: Readonly<Record<string, Pause>> = {
  'all for 2 s': {count: 10, forMs: 2_000},
  'all for 3.5 s, heartbeats, too': {
    count: 10,
    forMs: 3_500,
    stopsHeartbeats: true,
  },
  'all for 5 s': {count: 10, forMs: 5_000},
  '6 of 10 for 2 s': {count: 6, forMs: 2_000},
  '6 of 10 for 3.5 s, heartbeats, too': {
    count: 6,
    forMs: 3_500,
    stopsHeartbeats: true,
  },
  '6 of 10 for 5 s': {count: 6, forMs: 5_000},
  'one for 5 s': {count: 1, forMs: 5_000},
};

for (const [name, {count, forMs, stopsHeartbeats}] of Object.entries(PAUSES)) {
  test(`a pause of ${name} is blamed on no request`, async () => {
    // Guards against sound requests that are refused since upstreams paused.
    const site = makeWatchingHosts();
    await site.run(4_000);
    const paused = IDS.slice(0, count);
    for (const id of paused) {
      site.silent.add(id);
      if (stopsHeartbeats) site.stopped.add(id);
    }
    const blamed = new Set<string>();
    const check = () => {
      for (const {watch, registry} of site.hosts) {
        if (isRefused(watch, REPEATED)) blamed.add('refused');
        // A host without the list can't tell a single pause from an end.
        if (count === 1) continue;
        if (watch.suspectCount() > 0) blamed.add('suspects');
        if (registry.hasUnreachable()) blamed.add('unreachable');
      }
    };
    await repeatRequest(site, paused, forMs, check);
    site.silent.clear();
    site.stopped.clear();
    await site.run(3_000);
    check();
    assert.deepEqual([...blamed], []);
  });
}

for (const intervalMs of [200, 500, 1_000]) {
  test(`a request that leaves an upstream silent every ${intervalMs} ms is stopped`, async () => {
    // Guards against requests that crash upstreams and count as sound since a
    // pause looks alike.
    const site = makeWatchingHosts();
    await site.run(4_000);
    const crashedAtMs: number[] = [];
    for (const endMs = site.nowMs() + 9_000; site.nowMs() < endMs;) {
      const i = crashedAtMs.length;
      const {watch} = site.hosts[i % 2];
      if (i < IDS.length && !isRefused(watch, REPEATED)) {
        watch.startRun(makeRequest(REPEATED), toUpstream(IDS[i]));
        site.silent.add(IDS[i]);
        site.stopped.add(IDS[i]);
        crashedAtMs.push(site.nowMs());
      }
      await site.run(intervalMs);
    }
    const late = crashedAtMs.filter(atMs => atMs > crashedAtMs[2] + 3_000);
    assert.ok(late.length <= 3, `${late.length}`);
    for (const {watch} of site.hosts) assert.ok(isRefused(watch, REPEATED));
  });
}
