/**
 * A small site in virtual time for the fault harness. Three entry processes run
 * the production request modules; stand-ins replace the platform, the engines
 * and the services.
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
/** Mean answer length of the engines, from which expected answers follow. */
export const ANSWER_TOKENS = 12;

const ONE_WAY_LATENCY_MS = 1;
const BROADCAST_DELAY_MS = 200;
/** Delay until other processes detect a death or a pause. */
const DETECTION_DELAY_MS = 1_000;
const UNREACHABLE_MS = 500;
const RESTART_DELAY_MS = 1_500;

export interface RequestSite {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly platform: PlatformCore;
  readonly prefill: readonly EngineCore[];
  readonly decode: readonly EngineCore[];
  readonly services: readonly ServiceCore[];
  readonly home: SmallHome;
  readonly leases: SiteLeases;
  /** The current incarnation of each entry. */
  entries(): readonly SiteEntry[];
  killEntry(index: number): void;
  pauseEntry(index: number, durationMs: number): void;
  /** Cuts the connections between the entry and the other entries. */
  isolateEntry(index: number, durationMs: number): void;
  /** Marks an engine as leaving, and later also in the home. */
  markEngineLeaving(engine: EngineCore): void;
  /** Marks a service as leaving, and later also in the upstream picker. */
  markServiceLeaving(service: ServiceCore): void;
  /** Warnings and errors that the modules logged. */
  warnings(): readonly string[];
}

function createAddress(kind: string, index: number): string {
  return `${kind}-${index}:1`;
}

export function createRequestSite(seed: number, mutant: Mutant): RequestSite {
  const clock = createVirtualClock();
  const random = createSeededRandom(seed);
  const warnings: string[] = [];
  const platform = createPlatformCore(
    {clock, random},
    {latencyMs: ONE_WAY_LATENCY_MS, writeMs: 2},
  );
  const engines = new Map<string, EngineCore>();
  const services = new Map<string, ServiceCore>();
  const unresponsiveSinceMs = new Map<string, number>();
  const incarnations = Array.from({length: ENTRY_COUNT}, () => 1);
  const downUntilMs = new Map<string, number>();
  const leavingServiceIds = new Set<string>();
  const isolatedEntries = new Set<number>();
  let nextPickIndex = 0;

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
        restartMs: RESTART_DELAY_MS,
        latencyMs: ONE_WAY_LATENCY_MS,
        silenceDetectMs: 400,
        linkBytesPerMs: 100_000,
      },
    );
    engines.set(createAddress(role, index), engine);
    return engine;
  }

  function addService(index: number): ServiceCore {
    const service = createServiceCore(
      {clock, random},
      {
        serviceId: `ledger-${index}`,
        runMs: 8,
        latencyMs: ONE_WAY_LATENCY_MS,
        crashOnTexts: [POISON_TEXT],
        restartMs: RESTART_DELAY_MS,
      },
    );
    services.set(createAddress('ledger', index), service);
    return service;
  }

  const prefill = [0, 1].map(index => addEngine('prefill', index));
  const decode = [0, 1, 2].map(index => addEngine('decode', index));
  const plainServices = [0, 1].map(addService);
  const enginePort = (address: string) => engines.get(address)!;
  const home = mutant.hasRealHome
    ? createDispatcherHome({clock, enginePort, engines})
    : createSmallHome({
        clock,
        enginePort,
        prefill: prefill.map((_, index) => ({
          engineId: `prefill-${index}`,
          address: createAddress('prefill', index),
        })),
        decode: decode.map((_, index) => ({
          engineId: `decode-${index}`,
          address: createAddress('decode', index),
        })),
      });

  const picker: PlainUpstreamPicker = {
    pick(_service, excludeIds): PickedUpstream | undefined {
      const usable = plainServices
        .map((service, index) => ({
          upstreamId: service.options.serviceId,
          address: createAddress('ledger', index),
        }))
        .filter(
          ({upstreamId}) =>
            !excludeIds.includes(upstreamId) &&
            !leavingServiceIds.has(upstreamId) &&
            (downUntilMs.get(upstreamId) ?? 0) <= clock.nowMs(),
        );
      return usable[nextPickIndex++ % Math.max(1, usable.length)];
    },
    started() {},
    ended(upstreamId, result) {
      if (result === 'leaving') leavingServiceIds.add(upstreamId);
      if (result === 'unreachable') {
        downUntilMs.set(upstreamId, clock.nowMs() + UNREACHABLE_MS);
      }
    },
  };

  /**
   * Whether other processes consider an entry alive. They detect a death only
   * after a delay and take a long pause for a death.
   */
  function isEntryAlive(tag: string): boolean {
    const sinceMs = unresponsiveSinceMs.get(tag);
    return (
      sinceMs === undefined || clock.nowMs() - sinceMs < DETECTION_DELAY_MS
    );
  }

  function runAfter(delayMs: number, action: () => void): void {
    clock.setTimer(delayMs, action);
  }

  /** Calls an entry, which may be paused, dead or isolated. */
  function callEntry<T>(
    target: SiteEntry | undefined,
    timeoutMs: number,
    action: (target: SiteEntry) => Promise<T>,
    createFailure: (reason: 'unreachable' | 'timeout') => T,
  ): Promise<T> {
    return new Promise(resolve => {
      runAfter(timeoutMs + 2 * ONE_WAY_LATENCY_MS, () =>
        resolve(createFailure('timeout')),
      );
      runAfter(ONE_WAY_LATENCY_MS, () => {
        if (!target?.simulatedProcess.isAlive()) {
          resolve(createFailure('unreachable'));
          return;
        }
        if (isolatedEntries.has(target.index)) return;
        target.simulatedProcess.run(
          () =>
            void action(target).then(value =>
              runAfter(ONE_WAY_LATENCY_MS, () => resolve(value)),
            ),
        );
      });
    });
  }

  function computePartition(key: AnswerKey): number {
    let sum = 0;
    for (const char of key.idempotencyKey) sum += char.charCodeAt(0);
    return sum % PARTITION_COUNT;
  }

  function findOwner(key: AnswerKey): SiteEntry | undefined {
    const holder = leases.holder(computePartition(key));
    return entries.find(entry => entry.tag === holder);
  }

  /** Returns undefined if `from` is isolated from `target`. */
  function findReachable(
    from: SiteEntry,
    target: SiteEntry | undefined,
  ): SiteEntry | undefined {
    return isolatedEntries.has(from.index) && target !== from
      ? undefined
      : target;
  }

  const journalFor = (from: SiteEntry): JournalPort => ({
    begin: request =>
      callEntry<IntentOutcome>(
        findReachable(from, findOwner(request)),
        request.timeoutMs,
        owner => owner.journalOwner(computePartition(request)).begin(request),
        reason => ({
          kind: 'refused',
          reason: reason === 'unreachable' ? 'not-owner' : 'platform',
          retryAfterMs: 200,
        }),
      ),
    end: (request, end) =>
      callEntry<boolean>(
        findReachable(from, findOwner(request)),
        request.timeoutMs,
        owner =>
          owner.journalOwner(computePartition(request)).end(request, end),
        () => false,
      ),
  });

  const answerPlaces = new Map<string, {tag: string; place: AnswerPlace}>();
  const index: AnswerIndexPort = {
    find(key, timeoutMs) {
      const owner = findOwner(key);
      return callEntry<AnswerPlace>(
        owner,
        timeoutMs,
        () => {
          const storedPlace = answerPlaces.get(key.idempotencyKey);
          const isCurrent = storedPlace?.tag === owner?.tag;
          return Promise.resolve(
            isCurrent ? storedPlace!.place : {kind: 'unsure'},
          );
        },
        () => ({kind: 'unsure'}),
      );
    },
    announce(key, place) {
      const owner = findOwner(key);
      if (!owner) return;
      runAfter(ONE_WAY_LATENCY_MS, () =>
        answerPlaces.set(key.idempotencyKey, {tag: owner.tag, place}),
      );
    },
  };
  const peers: AnswerPeerPort = {
    read: (address, key, fromOffset, waitMs) =>
      callEntry(
        entries.find(entry => entry.address === address),
        waitMs + 100,
        target => target.keptAnswerStore.serveRead(key, fromOffset, waitMs),
        () => ({kind: 'failed'}),
      ),
  };

  function startEntry(position: number): SiteEntry {
    return createSiteEntry(
      {
        siteClock: clock,
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
        broadcastLoss(from, fact) {
          runAfter(BROADCAST_DELAY_MS, () => {
            for (const other of entries) {
              if (other === from) continue;
              other.simulatedProcess.run(() =>
                other.quarantine.mergeFact(fact),
              );
            }
          });
        },
        isEntryAlive,
        onWarning: note => warnings.push(`${clock.nowMs()} ${note}`),
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
        const entry = entries.find(each => each.tag === owner.entry);
        if (!entry || entry.simulatedProcess.isPaused()) return 'unknown';
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
    services: plainServices,
    home,
    leases,
    entries: () => entries,
    killEntry(position) {
      const entry = entries[position];
      if (!entry.simulatedProcess.isAlive()) return;
      entry.simulatedProcess.kill();
      unresponsiveSinceMs.set(entry.tag, clock.nowMs());
      runAfter(DETECTION_DELAY_MS, () => home.releaseEntry(entry.tag));
      runAfter(RESTART_DELAY_MS, () => {
        incarnations[position]++;
        entries[position] = startEntry(position);
      });
    },
    pauseEntry(position, durationMs) {
      const entry = entries[position];
      if (
        !entry.simulatedProcess.isAlive() ||
        entry.simulatedProcess.isPaused()
      )
        return;
      entry.simulatedProcess.pause();
      unresponsiveSinceMs.set(entry.tag, clock.nowMs());
      runAfter(durationMs, () => {
        if (entry.simulatedProcess.isAlive())
          unresponsiveSinceMs.delete(entry.tag);
        entry.simulatedProcess.resume();
      });
    },
    isolateEntry(position, durationMs) {
      isolatedEntries.add(position);
      runAfter(durationMs, () => isolatedEntries.delete(position));
    },
    markEngineLeaving(engine) {
      engine.setLeaving(true);
      runAfter(DETECTION_DELAY_MS, () =>
        home.markLeaving(engine.options.engineId),
      );
    },
    markServiceLeaving(service) {
      service.setLeaving(true);
      runAfter(DETECTION_DELAY_MS, () =>
        leavingServiceIds.add(service.options.serviceId),
      );
    },
    warnings: () => warnings,
  };
}
