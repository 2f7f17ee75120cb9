/**
 * Chooses the losses of suspects that a datagram to peers contains. All of them
 * are sent in turn, since a datagram holds only a few, may be lost, and may go
 * to a host that has just started. Recent changes are sent again and again, first
 * those that several losses or requests have in common.
 */

import type {Clock} from '../../ports/clock.js';
import type {LossFact} from '../../request/loss_fact.js';
import type {Quarantine} from '../../request/quarantine.js';
import {suspectKindOf, type SuspectKind} from '../../request/suspect_kinds.js';

export interface LossReports {
  /** Returns the facts for the next datagram. */
  take(): readonly LossFact[];
  /** The losses of the fingerprint have changed. */
  noteChange(fingerprint: string): void;
}

export interface LossReportsHost {
  readonly clock: Clock;
  readonly quarantine: Pick<Quarantine, 'fact' | 'lossCount'>;
}

/** Maximum number of facts in a datagram. */
const MAX_FACTS = 16;
/** Part of a datagram that changes of the last seconds may take up. */
const MAX_RECENT_FACTS = 8;
/** Every peer gets some datagrams within this time. */
const RECENT_MS = 2_000;

/** More upstreams don't end under a request before it is quarantined. */
const MAX_LOSSES = 64;

/** A crash has many suspects with one loss, and few that have more. */
const RANKS: Readonly<Record<SuspectKind, number>> = {part: 1, request: 2};
const RANK_OF_SEVERAL_LOSSES = 0;

const isList = (value: unknown, type: 'string' | 'number'): boolean =>
  Array.isArray(value) &&
  value.length <= MAX_LOSSES &&
  value.every(each => typeof each === type);

/** Checks a fact that a peer sent. */
export function isLossFact(value: unknown): value is LossFact {
  if (typeof value !== 'object' || value === null) return false;
  const {
    fingerprint,
    lossIds,
    clearedCount,
    suspectedCount,
    lossAgesMs,
    hasCompleted,
  } = value as Partial<LossFact>;
  return (
    typeof fingerprint === 'string' &&
    isList(lossIds, 'string') &&
    Number.isInteger(clearedCount) &&
    (suspectedCount === undefined || Number.isInteger(suspectedCount)) &&
    (lossAgesMs === undefined || isList(lossAgesMs, 'number')) &&
    (hasCompleted === undefined || typeof hasCompleted === 'boolean')
  );
}

export function createLossReports(host: LossReportsHost): LossReports {
  const {clock, quarantine} = host;
  /** When each fact changed; those sent longest ago come first. */
  const changedAtMs = new Map<string, number>();

  function rankOf(key: string): number {
    const hasSeveral = quarantine.lossCount(key) > 1;
    return hasSeveral ? RANK_OF_SEVERAL_LOSSES : RANKS[suspectKindOf(key)];
  }

  function findRecent(): readonly string[] {
    const sinceMs = clock.nowMs() - RECENT_MS;
    return [...changedAtMs]
      .filter(([, atMs]) => atMs > sinceMs)
      .map(([key, atMs]) => ({key, atMs, rank: rankOf(key)}))
      .sort((a, b) => a.rank - b.rank || b.atMs - a.atMs)
      .slice(0, MAX_RECENT_FACTS)
      .map(({key}) => key);
  }

  function choose(): readonly string[] {
    const chosen = new Set(findRecent());
    for (const fingerprint of changedAtMs.keys()) {
      if (chosen.size >= MAX_FACTS) break;
      chosen.add(fingerprint);
    }
    return [...chosen];
  }

  /** Moves the fact to the end; it is dropped if it has expired. */
  function takeFact(fingerprint: string): readonly LossFact[] {
    const atMs = changedAtMs.get(fingerprint);
    const fact = quarantine.fact(fingerprint);
    changedAtMs.delete(fingerprint);
    if (!fact || atMs === undefined) return [];
    changedAtMs.set(fingerprint, atMs);
    return [fact];
  }

  return {
    take: () => choose().flatMap(takeFact),
    noteChange(fingerprint) {
      changedAtMs.set(fingerprint, clock.nowMs());
    },
  };
}
