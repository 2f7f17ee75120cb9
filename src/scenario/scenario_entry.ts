/** One entry of a scenario: the product's request tasks behind a fence. */

import {hashPrefixes} from '../core/prompt_tokens.js';
import {createSeededRandom} from '../core/seeded_random.js';
import type {Upstream} from '../core/upstream_list.js';
import type {RequestRunner} from '../ports/answer_sink.js';
import type {Clock} from '../ports/clock.js';
import type {EnginePortFactory} from '../ports/engine.js';
import type {GrantPort} from '../ports/grants.js';
import type {JournalPort} from '../ports/journal.js';
import type {AnswerIndexPort, AnswerPeerPort} from '../ports/kept_answers.js';
import type {Logger} from '../ports/log.js';
import type {
  PlainServicePort,
  PlainServicePortFactory,
} from '../ports/plain_service.js';
import type {ObjectStorePort} from '../ports/table.js';
import {createKeptAnswers, type KeptAnswers} from '../request/kept_answers.js';
import type {LossFact} from '../request/loss_fact.js';
import {createQuarantine, type Quarantine} from '../request/quarantine.js';
import {createRequestRunner} from '../request/request_runner.js';
import {createRetryBudget} from '../request/retry_budget.js';
import {createPlainBalancer} from '../scheduling/plain_balancer.js';
import {createPlainUpstreams} from '../serve/plain_upstreams.js';
import {
  fenceEngine,
  fenceGrants,
  fenceJournal,
  fenceObjects,
  fencePlainService,
} from './fenced_ports.js';
import {createProcessFence, type ProcessFence} from './process_fence.js';
import {FAILURE_DOMAIN, MODEL_TARGETS, RETENTION_MS} from './scenario_names.js';

export interface EntryHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly grants: GrantPort;
  readonly journal: JournalPort;
  readonly objects: ObjectStorePort;
  readonly answerIndex: AnswerIndexPort;
  readonly answerPeers: AnswerPeerPort;
  readonly enginePort: EnginePortFactory;
  plainPort(address: string): PlainServicePort;
  /** Sends a fact to the other entries. */
  spread(fact: LossFact): void;
}

export interface ScenarioEntry {
  readonly name: string;
  /** `host#incarnation`. */
  readonly tag: string;
  readonly fence: ProcessFence;
  readonly runner: RequestRunner;
  readonly keptAnswers: KeptAnswers;
  readonly quarantine: Quarantine;
  setLedgers(ledgers: readonly Upstream[]): void;
}

const MAX_KEPT_BYTES = 64 * 1024 * 1024;
const STORE_TIMEOUT_MS = 500;
const ANNOUNCE_INTERVAL_MS = 5_000;
const STORE_RETRY_MS = 1_000;
const RETRY_SHARE = 0.2;
const RETRY_BURST = 10;
const MAX_PREFIX_BLOCKS = 64;

export function createScenarioEntry(
  host: EntryHost,
  name: string,
  incarnation: number,
  seed: number,
): ScenarioEntry {
  const fence = createProcessFence(host.clock);
  const random = createSeededRandom(seed);
  const tag = `${name}#${incarnation}`;
  const objectStore = fenceObjects(host.objects, fence);
  const balancer = createPlainBalancer(
    {clock: fence.clock, random},
    {ownFailureDomain: FAILURE_DOMAIN},
  );
  const upstreams = createPlainUpstreams(balancer, () => {});
  const quarantine = createQuarantine({
    clock: fence.clock,
    broadcast: fact => host.spread(fact),
  });
  const keptAnswers = createKeptAnswers(
    {
      clock: fence.clock,
      log: host.log,
      objectStore,
      index: {
        find: (key, timeoutMs) =>
          fence.deliverResult(host.answerIndex.find(key, timeoutMs)),
        announce: (key, place) => host.answerIndex.announce(key, place),
      },
      peers: {
        read: (address, key, fromOffset, waitMs) =>
          fence.deliverResult(
            host.answerPeers.read(address, key, fromOffset, waitMs),
          ),
      },
      peerAddress: name,
    },
    {
      maxLocalBytes: MAX_KEPT_BYTES,
      indexTimeoutMs: STORE_TIMEOUT_MS,
      storeTimeoutMs: STORE_TIMEOUT_MS,
      announceIntervalMs: ANNOUNCE_INTERVAL_MS,
      storeRetryMs: STORE_RETRY_MS,
      retentionMs: () => RETENTION_MS,
    },
  );
  const plainPort: PlainServicePortFactory = address =>
    fencePlainService(host.plainPort(address), fence);
  const runner = createRequestRunner({
    clock: fence.clock,
    random,
    log: host.log,
    entry: tag,
    enginePort: address => fenceEngine(host.enginePort(address), fence),
    plainPort,
    grants: fenceGrants(host.grants, fence),
    journal: fenceJournal(host.journal, fence),
    plainBalancer: upstreams,
    quarantine,
    keptAnswers,
    retryBudget: createRetryBudget({
      burst: () => RETRY_BURST,
      ratioOf: () => RETRY_SHARE,
    }),
    prefixHashes: tokens => hashPrefixes(tokens, MAX_PREFIX_BLOCKS),
    ttftTargetMs: () => MODEL_TARGETS.ttftMs,
  });
  return {
    name,
    tag,
    fence,
    runner,
    keptAnswers,
    quarantine,
    setLedgers: ledgers => upstreams.update(ledgers),
  };
}
