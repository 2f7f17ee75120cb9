/** Which entries callers should use, and this entry's own load among them. */

import type {Settings} from '../core/settings_types.js';
import {createDirectory} from '../coordination/directory.js';
import type {Membership} from '../coordination/membership.js';
import type {EntriesAnswer} from '../entry/front_host.js';
import type {TimerHandle} from '../ports/clock.js';
import type {World} from './world.js';

const KEY_PREFIX = 'load/';
const PUBLISH_INTERVAL_MS = 2000;
const LOAD_TTL_MS = 10_000;
/** Loads are spread as one byte. */
const LOAD_STEPS = 255;
const ANSWER_ENTRIES = 4;
const DEFAULT_TTL_MS = 5000;
const UINT32_RANGE = 2 ** 32;

export interface EntryDirectoryPorts {
  getSettings(): Settings | undefined;
  /** Requests open at this entry. */
  openCount(): number;
}

export interface EntryDirectory {
  answer(): EntriesAnswer;
  start(): void;
  stop(): void;
}

export function createEntryDirectory(
  {clock, random, host}: Pick<World, 'clock' | 'random' | 'host'>,
  membership: Membership,
  ports: EntryDirectoryPorts,
): EntryDirectory {
  const {hostId, callerAddress} = host;
  const {facts} = membership;
  let timer: TimerHandle | undefined;
  // Counts on over a restart, so that a new process's loads are newer.
  let version = Math.floor(clock.wallMs() / PUBLISH_INTERVAL_MS);

  function ownLoad(): number {
    const maxStreams = ports.getSettings()?.limits.maxStreams ?? Infinity;
    return Math.min(1, ports.openCount() / maxStreams);
  }

  function loadOf(memberId: string): number | undefined {
    if (memberId === hostId) return ownLoad();
    const body = facts.get(KEY_PREFIX + memberId)?.body;
    return body?.length ? body[0] / LOAD_STEPS : undefined;
  }

  function publish(): void {
    version = (version + 1) % UINT32_RANGE;
    facts.publish({
      key: KEY_PREFIX + hostId,
      version,
      body: Uint8Array.of(Math.round(ownLoad() * LOAD_STEPS)),
      ttlMs: LOAD_TTL_MS,
      reach: 'direct',
    });
    timer = clock.setTimer(PUBLISH_INTERVAL_MS, publish);
  }

  const directory = createDirectory(
    {clock, random, members: membership.members, loadOf},
    {
      hostId,
      callerAddress,
      count: ANSWER_ENTRIES,
      get ttlMs() {
        return (
          ports.getSettings()?.coordination.directoryTtlMs ?? DEFAULT_TTL_MS
        );
      },
    },
  );

  return {
    answer() {
      const {entries, ttlMs} = directory.answer();
      return {
        entries: entries.map(entry => ({address: entry.callerAddress})),
        ttlMs,
      };
    },
    start: publish,
    stop() {
      if (timer) clock.clearTimer(timer);
    },
  };
}
