/** Scheduling options and their defaults. */

export interface SchedulingPolicy {
  /** Sort order of the queue. */
  readonly order: 'deadline' | 'arrival';
  /** Refuse requests on arrival if they are forecast to start late. */
  readonly refuseEarly: boolean;
  /** Let requests of an account below its share displace others. */
  readonly isFair: boolean;
  /** Grant slots that running answers are likely to free in time. */
  readonly grantFromForecast: boolean;
  /** Schedule transfers on the network links. */
  readonly scheduleLinks: boolean;
  readonly usePrefixCache: boolean;
  readonly watchHealth: boolean;
  /** Use fewer decode slots of an engine whose token pace is too slow. */
  readonly limitPace: boolean;
  /**
   * Required probability that a slot granted from the forecast is free in
   * time. A higher value wastes fewer prefills but leaves slots unused longer.
   */
  readonly forecastConfidence: number;
  /** Share of the time to first token kept as a margin at admission. */
  readonly admissionMargin: number;
  /** Prefill work queued at an engine in advance to hide round trips. */
  readonly prefillAheadMs: number;
  /** Longest wait of a prefill result for its transfer. */
  readonly resultWaitMs: number;
  /** Time after the prefill within which a forecast slot must become free. */
  readonly slotWaitMs: number;
  /** Number of requests tried after one that cannot be placed now. */
  readonly scanLimit: number;
}

/** Above this waste weight no slot is granted from a forecast. */
const MAX_FORECAST_WASTE_WEIGHT = 0.95;
const MIN_CONFIDENCE = 0.93;

/** @param wasteWeight 0 optimizes goodput only, 1 wasted prefills only. */
export function createPolicy(
  wasteWeight: number,
  changes: Partial<SchedulingPolicy> = {},
): SchedulingPolicy {
  return {
    order: 'deadline',
    refuseEarly: true,
    isFair: true,
    grantFromForecast: wasteWeight <= MAX_FORECAST_WASTE_WEIGHT,
    scheduleLinks: true,
    usePrefixCache: true,
    watchHealth: true,
    limitPace: true,
    forecastConfidence: MIN_CONFIDENCE + (1 - MIN_CONFIDENCE) * wasteWeight,
    admissionMargin: 0.05 + 0.15 * wasteWeight,
    prefillAheadMs: 15,
    resultWaitMs: 300,
    slotWaitMs: 600,
    scanLimit: 8,
    ...changes,
  };
}
