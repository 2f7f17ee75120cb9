/** One entry process of the fault harness, with the production modules. */

import {createSeededRandom} from '../../src/core/seeded_random.js';
import type {Clock} from '../../src/ports/clock.js';
import type {EnginePort, EnginePortFactory} from '../../src/ports/engine.js';
import type {GrantPort} from '../../src/ports/grants.js';
import type {JournalPort} from '../../src/ports/journal.js';
import type {
  AnswerIndexPort,
  AnswerPeerPort,
} from '../../src/ports/kept_answers.js';
import type {Logger} from '../../src/ports/log.js';
import type {
  PlainServicePort,
  PlainServicePortFactory,
} from '../../src/ports/plain_service.js';
import type {PlainUpstreamPicker} from '../../src/ports/plain_upstreams.js';
import type {ObjectStorePort, TablePort} from '../../src/ports/table.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
  type JournalOwner,
} from '../../src/request/journal_owner.js';
import type {PartitionFence} from '../../src/request/journal_committer.js';
import {
  createKeptAnswers,
  type KeptAnswers,
} from '../../src/request/kept_answers.js';
import type {LossFact} from '../../src/request/loss_fact.js';
import {
  createQuarantine,
  type Quarantine,
} from '../../src/request/quarantine.js';
import {
  defaultRequestRunnerOptions,
  type RequestMachines,
  type RequestRunnerOptions,
} from '../../src/request/request_host.js';
import {
  createRequestRunner,
  type QueryableRequestRunner,
} from '../../src/request/request_runner.js';
import {createRetryBudget} from '../../src/request/retry_budget.js';
import {
  createSimulatedProcess,
  type SimulatedProcess,
} from './simulated_process.js';

/** A deliberate defect. Without optional members it changes nothing. */
export interface Mutant {
  readonly name: string;
  readonly machines?: Partial<RequestMachines>;
  wrapTable?(table: TablePort): TablePort;
  wrapJournal?(journal: JournalPort): JournalPort;
  wrapEngines?(engines: EnginePortFactory): EnginePortFactory;
  wrapQuarantine?(quarantine: Quarantine): Quarantine;
  wrapGrants?(grants: GrantPort): GrantPort;
  /** Disables the sweep, which would hide a missing release. */
  readonly hasNoSweep?: boolean;
  /** Uses the production shard home instead of the small one. */
  readonly hasRealHome?: boolean;
  /** Limits the defect to schedules without faults of entries. */
  readonly needsLivingEntries?: boolean;
}

export interface SiteEntryHost {
  readonly siteClock: Clock;
  readonly mutant: Mutant;
  readonly table: TablePort;
  readonly objects: ObjectStorePort;
  readonly grants: GrantPort;
  readonly index: AnswerIndexPort;
  readonly peers: AnswerPeerPort;
  enginePort(address: string): EnginePort;
  plainPort(address: string): PlainServicePort;
  readonly picker: PlainUpstreamPicker;
  journalFor(entry: SiteEntry): JournalPort;
  broadcastLoss(from: SiteEntry, fact: LossFact): void;
  isEntryAlive(tag: string): boolean;
  onWarning(note: string): void;
}

export interface SiteEntry {
  readonly index: number;
  readonly tag: string;
  readonly address: string;
  readonly simulatedProcess: SimulatedProcess;
  readonly runner: QueryableRequestRunner;
  readonly keptAnswerStore: KeptAnswers;
  readonly quarantine: Quarantine;
  /** Fences of the leases that the process assumes to hold. */
  readonly fences: Map<number, PartitionFence>;
  journalOwner(partition: number): JournalOwner;
  isDraining: boolean;
  /** Whether the process ended by itself after a drain. */
  hasDrained: boolean;
}

const RETENTION_MS = 60_000;

const runnerOptions: RequestRunnerOptions = {
  ...defaultRequestRunnerOptions,
  model: {
    ...defaultRequestRunnerOptions.model,
    prefillTimeoutMs: 600,
    importTimeoutMs: 400,
    tokenProgressMs: 500,
    streamOverrunMs: 2_000,
    keepRunningMs: 4_000,
  },
  plain: {
    ...defaultRequestRunnerOptions.plain,
    callTimeoutMs: 500,
    hedgeAfterMs: 150,
    lingerMs: 1_500,
  },
  probeTimeoutMs: 100,
  peerReadWaitMs: 200,
};

function createWarningLogger(onNote: (note: string) => void): Logger {
  const write = (sentence: string) => onNote(sentence);
  return {error: write, warn: write, info() {}, debug() {}};
}

export function createSiteEntry(
  host: SiteEntryHost,
  index: number,
  incarnation: number,
): SiteEntry {
  const {mutant} = host;
  const simulatedProcess = createSimulatedProcess(host.siteClock);
  const random = createSeededRandom(1 + index * 1_000 + incarnation);
  const tag = `entry${index}#${incarnation}`;
  const address = `10.9.0.${index}:${incarnation}`;
  const log = createWarningLogger(note => host.onWarning(`${tag}: ${note}`));
  const table = simulatedProcess.wrapPort(
    mutant.wrapTable?.(host.table) ?? host.table,
  );
  const objects = simulatedProcess.wrapPort(host.objects);
  const fences = new Map<number, PartitionFence>();
  const owners = new Map<number, JournalOwner>();

  const enginePorts = new Map<string, EnginePort>();
  const enginePort: EnginePortFactory = target => {
    const port = enginePorts.get(target) ?? createEnginePort(target);
    enginePorts.set(target, port);
    return port;
  };
  function createEnginePort(target: string): EnginePort {
    const engine = host.enginePort(target);
    const port = simulatedProcess.wrapPort(engine);
    return {
      ...port,
      prefill: call => port.prefill(call),
      importKv: call => port.importKv(call),
      cancel: (owner, timeoutMs) => port.cancel(owner, timeoutMs),
      probe: timeoutMs => port.probe(timeoutMs),
      decode: (call, sink) =>
        port.decode(call, event => simulatedProcess.run(() => sink(event))),
    };
  }
  const plainPort: PlainServicePortFactory = target =>
    simulatedProcess.wrapPort(host.plainPort(target));
  const quarantine = createQuarantine({
    clock: simulatedProcess.clock,
    broadcast: fact => host.broadcastLoss(entry, fact),
  });
  const keptAnswerStore = createKeptAnswers(
    {
      clock: simulatedProcess.clock,
      log,
      objectStore: objects,
      index: simulatedProcess.wrapPort(host.index),
      peers: simulatedProcess.wrapPort(host.peers),
      peerAddress: address,
    },
    {
      maxLocalBytes: 1_000_000,
      indexTimeoutMs: 100,
      storeTimeoutMs: 300,
      announceIntervalMs: 1_000,
      storeRetryMs: 500,
      retentionMs: () => RETENTION_MS,
    },
  );

  function journalOwner(partition: number): JournalOwner {
    const existingOwner = owners.get(partition);
    if (existingOwner) return existingOwner;
    const owner = createJournalOwner(
      {
        clock: simulatedProcess.clock,
        random,
        log,
        table,
        objectStore: objects,
        fence: () => fences.get(partition),
        isEntryAlive: host.isEntryAlive,
      },
      {
        ...defaultJournalOwnerOptions,
        partition,
        maxWritesPerSecond: 50,
        beginTimeoutMs: 600,
        readTimeoutMs: 150,
        writeTimeoutMs: 150,
        maxInlineBytes: 100,
        retentionMs: () => RETENTION_MS,
      },
    );
    owners.set(partition, owner);
    return owner;
  }

  const entry: SiteEntry = {
    index,
    tag,
    address,
    simulatedProcess,
    keptAnswerStore,
    quarantine,
    fences,
    journalOwner,
    isDraining: false,
    hasDrained: false,
    get runner() {
      return runner;
    },
  };
  const journal = simulatedProcess.wrapPort(host.journalFor(entry));
  const grants = simulatedProcess.wrapPort(
    mutant.wrapGrants?.(host.grants) ?? host.grants,
  );
  const runner = createRequestRunner(
    {
      machines: mutant.machines,
      clock: simulatedProcess.clock,
      random,
      log,
      entry: tag,
      enginePort: mutant.wrapEngines?.(enginePort) ?? enginePort,
      plainPort,
      grants,
      journal: mutant.wrapJournal?.(journal) ?? journal,
      plainBalancer: host.picker,
      quarantine: mutant.wrapQuarantine?.(quarantine) ?? quarantine,
      keptAnswers: keptAnswerStore,
      retryBudget: createRetryBudget({burst: () => 20, ratioOf: () => 0.2}),
    },
    runnerOptions,
  );
  return entry;
}
