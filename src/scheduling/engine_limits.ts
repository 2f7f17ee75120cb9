/**
 * Limits on the use of each engine, from its health, the gradual increase of
 * its load after a failure, its token interval, and the time after a takeover
 * in which the home may not know all grants.
 */

import {isRebuilding, type ShardState} from './shard_state.js';

/**
 * Share of the free slots that a home grants while it may not know all grants
 * of the earlier home.
 */
const REBUILD_SHARE = 0.5;
const FORECAST_HORIZON_MS = 500;
/**
 * The slot limit is unchanged while the token interval of an engine is between
 * these two shares of the target.
 */
const HIGH_INTERVAL_SHARE = 0.98;
const LOW_INTERVAL_SHARE = 0.85;

/** Recomputes the usable share and the slot limit of each engine. */
export function refreshLimits(state: ShardState): void {
  const nowMs = state.clock.nowMs();
  for (const engine of state.pool.all()) {
    const {description, reservations} = engine;
    let share = state.policy.watchHealth
      ? state.health.share(description.engineId, nowMs)
      : 1;
    let limit = Math.min(description.slots, engine.paceSlots);
    if (share < 1) limit = Math.max(1, Math.floor(limit * share));
    if (isRebuilding(state)) {
      // A new home doesn't know yet which slots the old home has granted. It
      // uses an engine only after a load report of the engine itself, and only
      // half of the slots reported free. So the old and the new home together
      // grant at most half of the free slots too many, and the engine refuses
      // those.
      if (reservations.lastReportMs() === undefined) share = 0;
      const free = Math.max(0, reservations.freeSlots());
      const usable = Math.floor(free * REBUILD_SHARE);
      limit = Math.min(limit, description.slots - free + usable);
    }
    engine.share = share;
    engine.slotLimit = limit;
  }
}

/** Forecasts the rate at which answers end at each decode engine. */
export function refreshForecast(state: ShardState): void {
  const nowMs = state.clock.nowMs();
  for (const engine of state.pool.decode) engine.completionsPerMs = 0;
  for (const held of state.ledger.all()) {
    if (held.phase !== 'decoding' || !held.decode) continue;
    const intervalMs = held.decode.intervalMs || state.model.intervalMs();
    const done = held.tokensDelivered + (nowMs - held.tokensAtMs) / intervalMs;
    const more = FORECAST_HORIZON_MS / intervalMs;
    const chance = state.model
      .lengths(held.request.requestClass)
      .endChance(done, more);
    held.decode.completionsPerMs += chance / FORECAST_HORIZON_MS;
  }
}

/**
 * Lowers the slot limit of decode engines whose tokens come slower than the
 * target interval, and raises it again when they are faster.
 */
export function adjustSlots(state: ShardState): void {
  if (!state.policy.limitPace) return;
  for (const engine of state.pool.decode) {
    if (engine.intervalMs === 0) continue;
    const used = engine.reservations.usedSlots();
    const {slots} = engine.description;
    if (
      engine.intervalMs >
      state.targets.tokenIntervalMs * HIGH_INTERVAL_SHARE
    ) {
      engine.paceSlots = Math.max(1, Math.min(engine.paceSlots, used) - 1);
    } else if (
      engine.intervalMs <
      state.targets.tokenIntervalMs * LOW_INTERVAL_SHARE
    ) {
      engine.paceSlots = Math.min(slots, engine.paceSlots + 1);
    }
  }
}
