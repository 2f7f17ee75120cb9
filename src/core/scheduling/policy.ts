/** Every switch and knob of scheduling, with the defaults that ship. */

export interface SchedulingPolicy {
  /** Order of the queue. */
  readonly order: 'deadline' | 'arrival';
  /** Refuse at arrival what the forecast says would be late. */
  readonly refuseEarly: boolean;
  /** Let an account below its share displace one above it. */
  readonly isFair: boolean;
  /** Promise slots that running answers will probably have freed in time. */
  readonly promiseFromForecast: boolean;
  /** Treat links as a resource with a timetable. */
  readonly scheduleLinks: boolean;
  readonly usePrefixCache: boolean;
  readonly watchHealth: boolean;
  /** Hold fewer decode slots than an engine has when its pace is too slow. */
  readonly limitPace: boolean;
  /**
   * Chance that a slot promised from the forecast is really free in time;
   * higher wastes fewer prefills and leaves slots empty for longer.
   */
  readonly forecastConfidence: number;
  /** Share of the time to first token kept in reserve when admitting. */
  readonly admissionMargin: number;
  /** Prefill work given to an engine ahead of need, to hide round trips. */
  readonly prefillAheadMs: number;
  /** Longest that a prefill's result may wait for its transfer. */
  readonly resultWaitMs: number;
  /** Time after the prefill in which a forecast slot must get free. */
  readonly slotWaitMs: number;
  /** Waiting requests tried past one that does not fit now. */
  readonly scanLimit: number;
}

/** At a waste weight above this no slot is promised from a forecast. */
const FORECAST_WASTE_WEIGHT = 0.95;
const LEAST_CONFIDENCE = 0.93;

/** @param wasteWeight 0: only goodput counts; 1: only wasted prefill. */
export function createPolicy(
  wasteWeight: number,
  changes: Partial<SchedulingPolicy> = {},
): SchedulingPolicy {
  return {
    order: 'deadline',
    refuseEarly: true,
    isFair: true,
    promiseFromForecast: wasteWeight <= FORECAST_WASTE_WEIGHT,
    scheduleLinks: true,
    usePrefixCache: true,
    watchHealth: true,
    limitPace: true,
    forecastConfidence: LEAST_CONFIDENCE + (1 - LEAST_CONFIDENCE) * wasteWeight,
    admissionMargin: 0.05 + 0.15 * wasteWeight,
    prefillAheadMs: 15,
    resultWaitMs: 300,
    slotWaitMs: 600,
    scanLimit: 8,
    ...changes,
  };
}
