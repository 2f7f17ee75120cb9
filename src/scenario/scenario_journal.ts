/**
 * The journal partition of a scenario. Its owner holds a lease row in the
 * platform's table; the scenario decides which process that is.
 */

import {createSeededRandom} from '../core/seeded_random.js';
import type {Clock} from '../ports/clock.js';
import type {IntentOutcome, JournalPort} from '../ports/journal.js';
import type {Logger} from '../ports/log.js';
import {
  createJournalOwner,
  defaultJournalOwnerOptions,
  type JournalOwner,
} from '../request/journal_owner.js';
import type {PlatformCore} from '../../stand_ins/platform_core.js';
import {fenceObjects, fenceTable} from './fenced_ports.js';
import type {ProcessFence} from './process_fence.js';
import {PEER_LATENCY_MS, RETENTION_MS} from './scenario_names.js';

export interface ScenarioJournal extends JournalPort {
  /** Makes a process the owner in a new epoch, without notice to the old one. */
  takeOver(name: string, fence: ProcessFence): Promise<boolean>;
  /** Whether any process has become the owner. */
  hasOwner(): boolean;
}

const LEASE_KEY = 'lease/journal/0';
const LEASE_TIMEOUT_MS = 1_000;

const NOT_OWNER: IntentOutcome = {
  kind: 'refused',
  reason: 'not-owner',
  retryAfterMs: 200,
};

interface Owner {
  readonly fence: ProcessFence;
  readonly journal: JournalOwner;
}

export interface ScenarioJournalHost {
  readonly clock: Clock;
  readonly log: Logger;
  readonly platform: PlatformCore;
  isEntryAlive(entry: string): boolean;
}

export function createScenarioJournal(
  host: ScenarioJournalHost,
  seed: number,
): ScenarioJournal {
  const {clock, platform} = host;
  let epoch = 0;
  let owner: Owner | undefined;

  async function writeLease(name: string): Promise<boolean> {
    const outcome = await platform.table.transact(
      {
        attemptId: `lease-${epoch}`,
        conditions: [],
        writes: [{kind: 'put', key: LEASE_KEY, value: {holder: name, epoch}}],
      },
      LEASE_TIMEOUT_MS,
    );
    return outcome.kind === 'applied';
  }

  function createOwner(fence: ProcessFence): Owner {
    const ownEpoch = epoch;
    const journal = createJournalOwner(
      {
        clock: fence.clock,
        random: createSeededRandom(seed + ownEpoch),
        log: host.log,
        table: fenceTable(platform.table, fence),
        objectStore: fenceObjects(platform.objects, fence),
        // A paused holder doesn't notice that its lease has been taken over,
        // so the table checks the epoch.
        fence: () => ({
          epoch: ownEpoch,
          condition: {
            kind: 'field',
            key: LEASE_KEY,
            field: 'epoch',
            equals: ownEpoch,
          },
        }),
        isEntryAlive: entry => host.isEntryAlive(entry),
      },
      {
        ...defaultJournalOwnerOptions,
        partition: 0,
        retentionMs: () => RETENTION_MS,
      },
    );
    return {fence, journal};
  }

  function delay(delayMs: number): Promise<void> {
    return new Promise(resolve => clock.setTimer(delayMs, resolve));
  }

  /** Calls the owner; fails if it is dead or doesn't answer in time. */
  async function call<T>(
    timeoutMs: number,
    failed: T,
    run: (journal: JournalOwner) => Promise<T>,
  ): Promise<T> {
    await delay(PEER_LATENCY_MS);
    const target = owner;
    if (!target || target.fence.isDead()) return failed;
    const answer = new Promise<T>(resolve =>
      target.fence.deliver(() => {
        void target.fence.deliverResult(run(target.journal)).then(resolve);
      }),
    );
    const timeout = delay(timeoutMs).then(() => failed);
    const result = await Promise.race([answer, timeout]);
    await delay(PEER_LATENCY_MS);
    return result;
  }

  return {
    async takeOver(name, fence) {
      epoch++;
      const isWritten = await writeLease(name);
      if (isWritten) owner = createOwner(fence);
      return isWritten;
    },
    hasOwner: () => owner !== undefined,
    begin: request =>
      call(request.timeoutMs, NOT_OWNER, journal => journal.begin(request)),
    end: (request, end) =>
      call(request.timeoutMs, false, journal => journal.end(request, end)),
  };
}
