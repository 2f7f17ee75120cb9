/** Selects the entries for callers, and publishes the load of this entry. */

import type {Settings} from '../core/settings_types.js';
import {createDirectory} from '../coordination/directory.js';
import type {Membership} from '../coordination/membership.js';
import type {EntriesAnswer} from '../entry/front_host.js';
import type {TimerHandle} from '../ports/clock.js';
import type {ProcessAdapters} from './process_adapters.js';

const KEY_PREFIX = 'load/';
const PUBLISH_INTERVAL_MS = 2000;
const LOAD_TTL_MS = 10_000;
/** A load from 0 to 1 is published as one byte. */
const MAX_ENCODED_LOAD = 255;
const REPLY_ENTRY_COUNT = 4;
const DEFAULT_TTL_MS = 5000;
const UINT32_RANGE = 2 ** 32;

export interface EntryDirectoryPorts {
  getSettings(): Settings | undefined;
  /** Number of open requests at this entry. */
  openCount(): number;
}

export interface EntryDirectory {
  answer(): EntriesAnswer;
  start(): void;
  stop(): void;
}

export function createEntryDirectory(
  {clock, random, host}: Pick<ProcessAdapters, 'clock' | 'random' | 'host'>,
  membership: Membership,
  ports: EntryDirectoryPorts,
): EntryDirectory {
  const {hostId, callerAddress} = host;
  const {facts} = membership;
  let timer: TimerHandle | undefined;
  // Derived from the time of day, so that versions keep increasing after a
  // restart of the process.
  let version = Math.floor(clock.wallMs() / PUBLISH_INTERVAL_MS);

  function getOwnLoad(): number {
    const maxStreams = ports.getSettings()?.limits.maxStreams ?? Infinity;
    return Math.min(1, ports.openCount() / maxStreams);
  }

  function loadOf(memberId: string): number | undefined {
    if (memberId === hostId) return getOwnLoad();
    const body = facts.get(KEY_PREFIX + memberId)?.body;
    return body?.length ? body[0] / MAX_ENCODED_LOAD : undefined;
  }

  function publish(): void {
    version = (version + 1) % UINT32_RANGE;
    facts.publish({
      key: KEY_PREFIX + hostId,
      version,
      body: Uint8Array.of(Math.round(getOwnLoad() * MAX_ENCODED_LOAD)),
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
      count: REPLY_ENTRY_COUNT,
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
