/** Compares what was played with what the processes must hold to. */

import type {PressureResult} from './pressure_play.js';
import type {PressureScenario} from './pressure_scenarios.js';
import type {SoundCall} from './pressure_sound.js';

/** Sound calls may be refused for a moment; the others must be served. */
const MIN_SERVED_SHARE = 0.95;

export const countEnds = (
  calls: readonly SoundCall[],
  end: SoundCall['end'],
): number => calls.filter(each => each.end === end).length;

/** Returns one line for each violated bound. */
export function findPressureViolations(
  {peakMb, ended, calls, pressing}: PressureResult,
  scenario: PressureScenario,
  memoryMb: number,
): readonly string[] {
  const violations = ended.map(({hostId, how}) => `${hostId} ended ${how}`);
  const most = Math.max(...peakMb);
  if (most > memoryMb) violations.push(`a process took ${most} MB`);
  const lost = countEnds(calls, 'lost');
  if (lost > 0) violations.push(`${lost} of ${calls.length} calls were lost`);
  const failed = countEnds(calls, 'failed');
  if (failed > 0) violations.push(`${failed} of ${calls.length} calls failed`);
  const served = countEnds(calls, 'served');
  if (served < MIN_SERVED_SHARE * calls.length) {
    violations.push(`${served} of ${calls.length} calls were served`);
  }
  for (const [index, limits] of scenario.pressing.entries()) {
    const {maxSentBytes = Infinity, maxOpenMs = Infinity} = limits;
    const {mostBytes, longestOpenMs} = pressing[index];
    if (mostBytes > maxSentBytes) {
      violations.push(`${mostBytes} bytes were taken from one connection`);
    }
    if (longestOpenMs > maxOpenMs) {
      violations.push(`a connection was open for ${longestOpenMs} ms`);
    }
  }
  return violations;
}
