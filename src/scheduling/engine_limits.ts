/** How much of each engine may be used: health, ramp, pace, rebuilding. */

import {isRebuilding, type ShardState} from './shard_state.js';

/** Share of free slots that a home gives out while it rebuilds. */
const REBUILD_SHARE = 0.5;
const FORECAST_HORIZON_MS = 500;
/** Shares of the target between which the pace is left alone. */
const PACE_HIGH = 0.98;
const PACE_LOW = 0.85;

/** Recomputes how much of each engine may be used now. */
export function refreshLimits(state: ShardState): void {
  const nowMs = state.clock.nowMs();
  for (const engine of state.pool.all()) {
    const {description, book} = engine;
    let share = state.policy.watchHealth
      ? state.health.share(description.engineId, nowMs)
      : 1;
    let limit = Math.min(description.slots, engine.paceSlots);
    if (share < 1) limit = Math.max(1, Math.floor(limit * share));
    if (isRebuilding(state)) {
      // A new home does not know yet what the old one promised. It uses
      // engines only after their own report, and half of what that shows
      // free, so two homes together exceed an engine by half of its free
      // slots at most; the engine itself refuses the rest.
      if (book.lastReportMs() === undefined) share = 0;
      const free = Math.max(0, book.freeSlots());
      const usable = Math.floor(free * REBUILD_SHARE);
      limit = Math.min(limit, description.slots - free + usable);
    }
    engine.share = share;
    engine.slotLimit = limit;
  }
}

/** Forecasts for each decode engine how fast its answers end. */
export function refreshForecast(state: ShardState): void {
  const nowMs = state.clock.nowMs();
  for (const engine of state.pool.decode) engine.endsPerMs = 0;
  for (const held of state.ledger.all()) {
    if (held.phase !== 'decoding' || !held.decode) continue;
    const intervalMs = held.decode.intervalMs || state.model.intervalMs();
    const done = held.tokensDelivered + (nowMs - held.tokensAtMs) / intervalMs;
    const more = FORECAST_HORIZON_MS / intervalMs;
    const chance = state.model
      .lengths(held.request.requestClass)
      .endChance(done, more);
    held.decode.endsPerMs += chance / FORECAST_HORIZON_MS;
  }
}

/** Fewer slots where tokens come slower than the target, and back. */
export function stepPace(state: ShardState): void {
  if (!state.policy.limitPace) return;
  for (const engine of state.pool.decode) {
    if (engine.intervalMs === 0) continue;
    const used = engine.book.usedSlots();
    const {slots} = engine.description;
    if (engine.intervalMs > state.targets.tokenIntervalMs * PACE_HIGH) {
      engine.paceSlots = Math.max(1, Math.min(engine.paceSlots, used) - 1);
    } else if (engine.intervalMs < state.targets.tokenIntervalMs * PACE_LOW) {
      engine.paceSlots = Math.min(slots, engine.paceSlots + 1);
    }
  }
}
