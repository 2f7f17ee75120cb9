/**
 * The most recent membership changes, which coordinators send in their views.
 */

import type {Clock} from '../../ports/clock.js';
import type {MemberChange} from './members.js';

export interface MemberLog {
  record(change: MemberChange): void;
  /** The last change of each host, oldest first. */
  recent(): readonly MemberChange[];
}

/** Covers four views, three of which may be lost. */
const RETENTION_MS = 1_600;
/**
 * A mass restart exceeds this; hosts that miss changes fetch the whole list.
 */
const MAX_REPORTED_CHANGES = 128;

function hostOf(change: MemberChange): string {
  return change.kind === 'up' ? change.member.hostId : change.hostId;
}

export function createMemberLog(clock: Clock): MemberLog {
  /** By host id; only the last change of a host is kept. */
  const changesById = new Map<string, {change: MemberChange; atMs: number}>();
  return {
    record(change) {
      const hostId = hostOf(change);
      changesById.delete(hostId);
      changesById.set(hostId, {change, atMs: clock.nowMs()});
    },
    recent() {
      const nowMs = clock.nowMs();
      for (const [hostId, {atMs}] of changesById) {
        if (nowMs - atMs < RETENTION_MS) break;
        changesById.delete(hostId);
      }
      return [...changesById.values()]
        .slice(-MAX_REPORTED_CHANGES)
        .map(({change}) => change);
    },
  };
}
