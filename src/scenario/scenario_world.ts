/**
 * The site that a scenario runs in: entries, a shard home and a journal owner
 * of the product, with stand-ins for engines, ledgers and the platform, all in
 * one process on a virtual clock.
 */

import {tokenizePrompt} from '../core/prompt_tokens.js';
import {createSeededRandom} from '../core/seeded_random.js';
import type {Upstream} from '../core/upstream_list.js';
import {createVirtualClock, type VirtualClock} from '../core/virtual_clock.js';
import type {ModelRequest, PlainRequest} from '../ports/answer_sink.js';
import type {RequestClass} from '../ports/grants.js';
import type {AnswerIndexPort, AnswerPart} from '../ports/kept_answers.js';
import type {Logger} from '../ports/log.js';
import {
  createEngineCore,
  type EngineCore,
} from '../../stand_ins/engine_core.js';
import {createAnswerIndex} from '../request/answer_index.js';
import type {EngineOptions} from '../../stand_ins/engine_types.js';
import {
  createPlatformCore,
  type PlatformCore,
} from '../../stand_ins/platform_core.js';
import {
  createServiceCore,
  type ServiceCore,
} from '../../stand_ins/service_core.js';
import {createScenarioEntry, type ScenarioEntry} from './scenario_entry.js';
import {createScenarioHome, type ScenarioHome} from './scenario_home.js';
import {
  createScenarioJournal,
  type ScenarioJournal,
} from './scenario_journal.js';
import {
  ACCOUNT,
  DEATH_DETECTION_MS,
  FAILURE_DOMAIN,
  MODEL_SERVICE,
  MODEL_TARGETS,
  PEER_LATENCY_MS,
  PLAIN_SERVICE,
  PLAIN_WAIT_MS,
  POISON_TOKENS,
  POISON_WORD,
} from './scenario_names.js';
import {
  createFingerprint,
  isModelRequest,
  startRequest,
  type CallerView,
} from './scenario_requests.js';

export interface ModelRequestOptions {
  readonly name: string;
  readonly entry: string;
  readonly promptTokenCount: number;
  readonly maxTokens: number;
  readonly key?: string;
  readonly requestClass: RequestClass;
  readonly waitMs?: number;
  readonly isPoison: boolean;
  /** The request whose prompt and token limit are copied. */
  readonly copyOf?: string;
}

export interface PlainRequestOptions {
  readonly name: string;
  readonly entry: string;
  readonly key?: string;
  readonly body: string;
  readonly waitMs?: number;
  readonly isRepeatable: boolean;
}

/** One event of a trace, with its virtual time. */
export interface TraceLine {
  readonly atMs: number;
  readonly text: string;
}

export interface World {
  readonly clock: VirtualClock;
  readonly platform: PlatformCore;
  readonly home: ScenarioHome;
  readonly journal: ScenarioJournal;
  readonly entries: ReadonlyMap<string, ScenarioEntry>;
  readonly engines: ReadonlyMap<string, EngineCore>;
  readonly ledgers: ReadonlyMap<string, ServiceCore>;
  readonly requests: ReadonlyMap<string, CallerView>;
  readonly traceLines: readonly TraceLine[];
  trace(text: string): void;
  addEntry(name: string): Promise<void>;
  addEngine(name: string, options: Partial<EngineOptions>): void;
  addLedger(name: string, runMs: number | undefined): void;
  startModel(options: ModelRequestOptions): void;
  startPlain(options: PlainRequestOptions): void;
  /** Kills an entry; its peers detect this later. */
  killEntry(name: string): void;
  /** Replaces an entry by a new process. */
  replaceEntry(name: string): Promise<void>;
}

const silentLog: Logger = {error() {}, warn() {}, info() {}, debug() {}};
const MS_PER_SECOND = 1_000;
const START_STEP_MS = 50;

export function createWorld(seed: number): World {
  const clock = createVirtualClock();
  const traceLines: TraceLine[] = [];
  const entries = new Map<string, ScenarioEntry>();
  const engines = new Map<string, EngineCore>();
  const enginesByAddress = new Map<string, EngineCore>();
  const ledgers = new Map<string, ServiceCore>();
  const requests = new Map<string, CallerView>();
  const deadTags = new Set<string>();
  let nextSeed = seed;

  const platform = createPlatformCore(standInHost(), {latencyMs: 1});
  const isEntryAlive = (tag: string) => !deadTags.has(tag);
  const home = createScenarioHome(
    {clock, log: silentLog, isEntryAlive},
    nextSeed++,
  );
  const journal = createScenarioJournal(
    {clock, log: silentLog, platform, isEntryAlive},
    nextSeed++,
  );

  function standInHost() {
    return {clock, random: createSeededRandom(nextSeed++)};
  }

  function trace(text: string): void {
    traceLines.push({atMs: clock.nowMs(), text});
  }

  const ownerIndex = createAnswerIndex({clock});
  const answerIndex: AnswerIndexPort = {
    async find(key, timeoutMs) {
      await delay(PEER_LATENCY_MS * 2);
      return ownerIndex.find(key, timeoutMs);
    },
    announce: (key, place) => ownerIndex.announce(key, place),
  };

  function delay(delayMs: number): Promise<void> {
    return new Promise(resolve => clock.setTimer(delayMs, resolve));
  }

  async function readAnswer(
    address: string,
    ...args: Parameters<ScenarioEntry['keptAnswers']['serveRead']>
  ): Promise<AnswerPart> {
    await delay(PEER_LATENCY_MS);
    const target = entries.get(address);
    if (!target || target.fence.isDead()) return {kind: 'failed'};
    const read = target.fence.deliverResult(
      target.keptAnswers.serveRead(...args),
    );
    const failed = delay(args[2] + MS_PER_SECOND).then((): AnswerPart => ({
      kind: 'failed',
    }));
    return Promise.race([read, failed]);
  }

  function createEntry(name: string, incarnation: number): ScenarioEntry {
    const entry = createScenarioEntry(
      {
        clock,
        log: silentLog,
        grants: home,
        journal,
        objects: platform.objects,
        answerIndex,
        answerPeers: {read: readAnswer},
        enginePort: address => enginesByAddress.get(address)!,
        plainPort: address => ledgers.get(address)!,
        spread(fact) {
          for (const other of entries.values()) {
            if (other.name === name) continue;
            clock.setTimer(PEER_LATENCY_MS, () =>
              other.fence.deliver(() => other.quarantine.mergeFact(fact)),
            );
          }
        },
      },
      name,
      incarnation,
      nextSeed++,
    );
    entries.set(name, entry);
    updateLedgers();
    return entry;
  }

  function updateLedgers(): void {
    const upstreams = [...ledgers.keys()].map((name): Upstream => ({
      id: name,
      address: name,
      failureDomain: FAILURE_DOMAIN,
      service: PLAIN_SERVICE,
      kind: 'plain',
      isLeaving: false,
    }));
    for (const entry of entries.values()) entry.setLedgers(upstreams);
  }

  function createModelRequest(options: ModelRequestOptions): ModelRequest {
    const model = options.copyOf && requests.get(options.copyOf)?.request;
    const copied = model && isModelRequest(model) ? model : undefined;
    const words = Array.from(
      {length: options.promptTokenCount},
      (_, i) => `${options.name}-${i}`,
    );
    if (options.isPoison) words.push(POISON_WORD);
    const promptTokens =
      copied?.promptTokens ?? tokenizePrompt(words.join(' '));
    const maxTokens = copied?.maxTokens ?? options.maxTokens;
    const nowMs = clock.nowMs();
    return {
      requestId: `${options.name}-request`,
      service: MODEL_SERVICE,
      account: ACCOUNT,
      requestClass: options.requestClass,
      model: MODEL_SERVICE,
      promptTokens,
      maxTokens,
      idempotencyKey: options.key,
      fingerprint: createFingerprint(
        ...promptTokens.map(String),
        String(maxTokens),
      ),
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + (options.waitMs ?? MODEL_TARGETS.waitMs),
    };
  }

  function createPlainRequest(options: PlainRequestOptions): PlainRequest {
    const nowMs = clock.nowMs();
    const method = options.isRepeatable ? 'GET' : 'POST';
    const path = options.isRepeatable ? '/balance' : '/postings';
    const headers: Record<string, string> = {};
    if (options.key !== undefined) headers['idempotency-key'] = options.key;
    return {
      requestId: `${options.name}-request`,
      service: PLAIN_SERVICE,
      account: ACCOUNT,
      method,
      path,
      headers,
      body: new TextEncoder().encode(options.body),
      repeatable: options.isRepeatable,
      idempotencyKey: options.key,
      fingerprint: createFingerprint(method, path, options.body),
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + (options.waitMs ?? PLAIN_WAIT_MS),
    };
  }

  const callerHost = {nowMs: () => clock.nowMs(), trace};

  return {
    clock,
    platform,
    home,
    journal,
    entries,
    engines,
    ledgers,
    requests,
    traceLines,
    trace,
    async addEntry(name) {
      const entry = createEntry(name, 1);
      if (journal.hasOwner()) return;
      const done = journal.takeOver(name, entry.fence);
      await clock.advance(START_STEP_MS);
      await done;
    },
    addEngine(name, options) {
      const address = `${name}:1`;
      const engine = createEngineCore(
        {
          ...standInHost(),
          kvSource: source => enginesByAddress.get(source),
        },
        {
          engineId: name,
          models: [MODEL_SERVICE],
          latencyMs: 1,
          crashOnTokens: POISON_TOKENS.slice(0, 1).concat(
            tokenizePrompt(` ${POISON_WORD}`),
          ),
          ...options,
        },
      );
      engines.set(name, engine);
      enginesByAddress.set(address, engine);
      home.addEngine(address, engine);
    },
    addLedger(name, runMs) {
      const patch = runMs === undefined ? {} : {runMs};
      const ledger = createServiceCore(standInHost(), {
        serviceId: name,
        latencyMs: 1,
        crashOnTexts: [POISON_WORD],
        ...patch,
      });
      ledgers.set(name, ledger);
      updateLedgers();
    },
    startModel(options) {
      const entry = entries.get(options.entry)!;
      const request = createModelRequest(options);
      trace(`${options.name}: asked at ${options.entry}`);
      const view = startRequest(
        callerHost,
        entry.fence,
        options.name,
        options.entry,
        request,
        sinks => entry.runner.runModel(request, sinks.model),
      );
      requests.set(options.name, view);
    },
    startPlain(options) {
      const entry = entries.get(options.entry)!;
      const request = createPlainRequest(options);
      trace(`${options.name}: asked at ${options.entry}`);
      const view = startRequest(
        callerHost,
        entry.fence,
        options.name,
        options.entry,
        request,
        sinks => entry.runner.runPlain(request, sinks.plain),
      );
      requests.set(options.name, view);
    },
    killEntry(name) {
      const {fence, tag} = entries.get(name)!;
      fence.kill();
      clock.setTimer(DEATH_DETECTION_MS, () => {
        deadTags.add(tag);
        home.entryGone(tag);
        trace(`${name}: its death is noticed`);
      });
    },
    async replaceEntry(name) {
      const old = entries.get(name)!;
      const incarnation = Number(old.tag.split('#')[1]) + 1;
      old.fence.kill();
      createEntry(name, incarnation);
      await clock.advance(START_STEP_MS);
    },
  };
}
