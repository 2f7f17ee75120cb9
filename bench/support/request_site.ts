/**
 * A small site in virtual time for the fault harness: the real request modules
 * in three entry processes, and the stand-ins for all that lies around them.
 */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../../src/core/virtual_clock.js';
import type {IntentOutcome, JournalPort} from '../../src/ports/journal.js';
import type {
  AnswerIndexPort,
  AnswerKey,
  AnswerPeerPort,
  AnswerPlace,
} from '../../src/ports/kept_answers.js';
import type {
  PickedUpstream,
  PlainUpstreamPicker,
} from '../../src/ports/plain_upstreams.js';
import type {Random} from '../../src/ports/random.js';
import {createSweep} from '../../src/request/sweep.js';
import {
  createEngineCore,
  type EngineCore,
} from '../../stand_ins/engine_core.js';
import {
  createPlatformCore,
  type PlatformCore,
} from '../../stand_ins/platform_core.js';
import {
  createServiceCore,
  type ServiceCore,
} from '../../stand_ins/service_core.js';
import {createSiteEntry, type Mutant, type SiteEntry} from './site_entry.js';
import {createSiteLeases, type SiteLeases} from './site_leases.js';
import {createDispatcherHome} from './dispatcher_home.js';
import {createSmallHome, type SmallHome} from './small_home.js';

export const ENTRY_COUNT = 3;
export const PARTITION_COUNT = 2;
export const POISON_TOKEN = 666;
export const POISON_TEXT = 'poison';
/** Mean answer length of the engines, for the expected texts. */
export const ANSWER_TOKENS = 12;

const ONE_WAY_MS = 1;
const GOSSIP_MS = 200;
/** How late a death or a long pause shows to the others. */
const DETECT_MS = 1_000;
const DOWN_MS = 500;
const RESTART_MS = 1_500;

export interface RequestSite {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly platform: PlatformCore;
  readonly prefill: readonly EngineCore[];
  readonly decode: readonly EngineCore[];
  readonly services: readonly ServiceCore[];
  readonly home: SmallHome;
  readonly leases: SiteLeases;
  /** The present incarnation of each entry. */
  entries(): readonly SiteEntry[];
  killEntry(index: number): void;
  pauseEntry(index: number, durationMs: number): void;
  /** The other processes cannot reach the entry, nor it them. */
  cutOff(index: number, durationMs: number): void;
  /** Tells the home and the pickers that an upstream leaves. */
  leaveEngine(engine: EngineCore): void;
  leaveService(service: ServiceCore): void;
  /** Warnings of the modules, for the trace. */
  notes(): readonly string[];
}

function addressOf(kind: string, index: number): string {
  return `${kind}-${index}:1`;
}

export function createRequestSite(seed: number, mutant: Mutant): RequestSite {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const notes: string[] = [];
  const platform = createPlatformCore(
    {clock, random},
    {latencyMs: ONE_WAY_MS, writeMs: 2},
  );
  const engines = new Map<string, EngineCore>();
  const services = new Map<string, ServiceCore>();
  const deadSinceMs = new Map<string, number>();
  const incarnations = Array.from({length: ENTRY_COUNT}, () => 1);
  const downUntilMs = new Map<string, number>();
  const leavingIds = new Set<string>();
  const cutOff = new Set<number>();
  let turn = 0;

  function addEngine(role: 'prefill' | 'decode', index: number): EngineCore {
    const engine = createEngineCore(
      {clock, random, kvSource: address => engines.get(address)},
      {
        engineId: `${role}-${index}`,
        role,
        stepMs: 10,
        answerTokens: ANSWER_TOKENS,
        prefillBaseMs: 10,
        prefillMsPerToken: 0.5,
        crashOnTokens: [POISON_TOKEN],
        crashAt: role,
        restartMs: RESTART_MS,
        latencyMs: ONE_WAY_MS,
        silenceDetectMs: 400,
        linkBytesPerMs: 100_000,
      },
    );
    engines.set(addressOf(role, index), engine);
    return engine;
  }

  function addService(index: number): ServiceCore {
    const service = createServiceCore(
      {clock, random},
      {
        serviceId: `ledger-${index}`,
        runMs: 8,
        latencyMs: ONE_WAY_MS,
        crashOnTexts: [POISON_TEXT],
        restartMs: RESTART_MS,
      },
    );
    services.set(addressOf('ledger', index), service);
    return service;
  }

  const prefill = [0, 1].map(index => addEngine('prefill', index));
  const decode = [0, 1, 2].map(index => addEngine('decode', index));
  const plain = [0, 1].map(addService);
  const enginePort = (address: string) => engines.get(address)!;
  const home = mutant.hasRealHome
    ? createDispatcherHome({clock, enginePort, engines})
    : createSmallHome({
        clock,
        enginePort,
        prefill: prefill.map((_, index) => ({
          engineId: `prefill-${index}`,
          address: addressOf('prefill', index),
        })),
        decode: decode.map((_, index) => ({
          engineId: `decode-${index}`,
          address: addressOf('decode', index),
        })),
      });

  const picker: PlainUpstreamPicker = {
    pick(_service, excludeIds): PickedUpstream | undefined {
      const usable = plain
        .map((service, index) => ({
          upstreamId: service.options.serviceId,
          address: addressOf('ledger', index),
        }))
        .filter(
          ({upstreamId}) =>
            !excludeIds.includes(upstreamId) &&
            !leavingIds.has(upstreamId) &&
            (downUntilMs.get(upstreamId) ?? 0) <= clock.nowMs(),
        );
      return usable[turn++ % Math.max(1, usable.length)];
    },
    started() {},
    ended(upstreamId, result) {
      if (result === 'leaving') leavingIds.add(upstreamId);
      if (result === 'unreachable') {
        downUntilMs.set(upstreamId, clock.nowMs() + DOWN_MS);
      }
    },
  };

  /** What the others believe of an entry: late, and wrong about pauses. */
  function isEntryAlive(tag: string): boolean {
    const sinceMs = deadSinceMs.get(tag);
    return sinceMs === undefined || clock.nowMs() - sinceMs < DETECT_MS;
  }

  function after(delayMs: number, action: () => void): void {
    clock.setTimer(delayMs, action);
  }

  /** A call to another process, which may be paused or dead. */
  function ask<T>(
    target: SiteEntry | undefined,
    timeoutMs: number,
    action: (target: SiteEntry) => Promise<T>,
    failed: (reason: 'unreachable' | 'timeout') => T,
  ): Promise<T> {
    return new Promise(resolve => {
      after(timeoutMs + 2 * ONE_WAY_MS, () => resolve(failed('timeout')));
      after(ONE_WAY_MS, () => {
        if (!target?.shell.isAlive()) {
          resolve(failed('unreachable'));
          return;
        }
        if (cutOff.has(target.index)) return;
        target.shell.inside(
          () =>
            void action(target).then(value =>
              after(ONE_WAY_MS, () => resolve(value)),
            ),
        );
      });
    });
  }

  function partitionOf(key: AnswerKey): number {
    let sum = 0;
    for (const char of key.idempotencyKey) sum += char.charCodeAt(0);
    return sum % PARTITION_COUNT;
  }

  function ownerOf(key: AnswerKey): SiteEntry | undefined {
    const holder = leases.holder(partitionOf(key));
    return entries.find(entry => entry.tag === holder);
  }

  /** Nobody, for a process that is cut off from the others. */
  function reachable(
    from: SiteEntry,
    target: SiteEntry | undefined,
  ): SiteEntry | undefined {
    return cutOff.has(from.index) && target !== from ? undefined : target;
  }

  const journalFor = (from: SiteEntry): JournalPort => ({
    begin: request =>
      ask<IntentOutcome>(
        reachable(from, ownerOf(request)),
        request.timeoutMs,
        owner => owner.journalOwner(partitionOf(request)).begin(request),
        reason => ({
          kind: 'refused',
          reason: reason === 'unreachable' ? 'not-owner' : 'platform',
          retryAfterMs: 200,
        }),
      ),
    end: (request, end) =>
      ask<boolean>(
        reachable(from, ownerOf(request)),
        request.timeoutMs,
        owner => owner.journalOwner(partitionOf(request)).end(request, end),
        () => false,
      ),
  });

  const places = new Map<string, {tag: string; place: AnswerPlace}>();
  const index: AnswerIndexPort = {
    find(key, timeoutMs) {
      const owner = ownerOf(key);
      return ask<AnswerPlace>(
        owner,
        timeoutMs,
        () => {
          const known = places.get(key.idempotencyKey);
          const isKnown = known?.tag === owner?.tag;
          return Promise.resolve(isKnown ? known!.place : {kind: 'unsure'});
        },
        () => ({kind: 'unsure'}),
      );
    },
    announce(key, place) {
      const owner = ownerOf(key);
      if (!owner) return;
      after(ONE_WAY_MS, () =>
        places.set(key.idempotencyKey, {tag: owner.tag, place}),
      );
    },
  };
  const peers: AnswerPeerPort = {
    read: (address, key, fromOffset, waitMs) =>
      ask(
        entries.find(entry => entry.address === address),
        waitMs + 100,
        target => target.kept.serveRead(key, fromOffset, waitMs),
        () => ({kind: 'failed'}),
      ),
  };

  function startEntry(position: number): SiteEntry {
    return createSiteEntry(
      {
        world: clock,
        mutant,
        table: platform.table,
        objects: platform.objects,
        grants: home,
        index,
        peers,
        enginePort,
        plainPort: address => services.get(address)!,
        picker,
        journalFor,
        spread(from, fact) {
          after(GOSSIP_MS, () => {
            for (const other of entries) {
              if (other === from) continue;
              other.shell.inside(() => other.quarantine.mergeFact(fact));
            }
          });
        },
        isEntryAlive,
        onNote: note => notes.push(`${clock.nowMs()} ${note}`),
      },
      position,
      incarnations[position],
    );
  }

  const entries = incarnations.map((_, position) => startEntry(position));
  const leases = createSiteLeases({
    clock,
    random,
    table: platform.table,
    entries: () => entries,
    isEntryAlive,
    partitionCount: PARTITION_COUNT,
  });

  if (!mutant.hasNoSweep) {
    createSweep({
      clock,
      log: {error() {}, warn() {}, info() {}, debug() {}},
      enginePort,
      addresses: () => [...engines.keys()],
      ownerState(owner) {
        if (!isEntryAlive(owner.entry)) return 'gone';
        const entry = entries.find(known => known.tag === owner.entry);
        if (!entry || entry.shell.isPaused()) return 'unknown';
        return entry.runner.isRunning(owner.requestId) ? 'running' : 'gone';
      },
    });
  }

  return {
    clock,
    random,
    platform,
    prefill,
    decode,
    services: plain,
    home,
    leases,
    entries: () => entries,
    killEntry(position) {
      const entry = entries[position];
      if (!entry.shell.isAlive()) return;
      entry.shell.kill();
      deadSinceMs.set(entry.tag, clock.nowMs());
      after(DETECT_MS, () => home.entryGone(entry.tag));
      after(RESTART_MS, () => {
        incarnations[position]++;
        entries[position] = startEntry(position);
      });
    },
    pauseEntry(position, durationMs) {
      const entry = entries[position];
      if (!entry.shell.isAlive() || entry.shell.isPaused()) return;
      entry.shell.pause();
      deadSinceMs.set(entry.tag, clock.nowMs());
      after(durationMs, () => {
        if (entry.shell.isAlive()) deadSinceMs.delete(entry.tag);
        entry.shell.resume();
      });
    },
    cutOff(position, durationMs) {
      cutOff.add(position);
      after(durationMs, () => cutOff.delete(position));
    },
    leaveEngine(engine) {
      engine.setLeaving(true);
      after(DETECT_MS, () => home.markLeaving(engine.options.engineId));
    },
    leaveService(service) {
      service.setLeaving(true);
      after(DETECT_MS, () => leavingIds.add(service.options.serviceId));
    },
    notes: () => notes,
  };
}
