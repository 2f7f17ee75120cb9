/** The changes of the last moments, as a coordinator tells them. */

import type {Clock} from '../../ports/clock.js';
import type {MemberChange} from './members.js';

export interface MemberLog {
  note(change: MemberChange): void;
  /** The last change of each host, oldest first. */
  recent(): readonly MemberChange[];
}

/** Four views: three of them may be lost. */
const TOLD_FOR_MS = 1_600;
/** More at once come with a mass restart; who lacks them asks for the list. */
const MOST_TOLD = 128;

function hostOf(change: MemberChange): string {
  return change.kind === 'up' ? change.member.hostId : change.hostId;
}

export function createMemberLog(clock: Clock): MemberLog {
  /** By host; the last change of a host counts. */
  const told = new Map<string, {change: MemberChange; atMs: number}>();
  return {
    note(change) {
      const hostId = hostOf(change);
      told.delete(hostId);
      told.set(hostId, {change, atMs: clock.nowMs()});
    },
    recent() {
      const nowMs = clock.nowMs();
      for (const [hostId, {atMs}] of told) {
        if (nowMs - atMs < TOLD_FOR_MS) break;
        told.delete(hostId);
      }
      return [...told.values()].slice(-MOST_TOLD).map(({change}) => change);
    },
  };
}
