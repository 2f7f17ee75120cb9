/** What a host knows of silent engines, set by a test. */

import type {EngineSilence} from '../../../src/relay/silence/engine_silence.js';

export function makeFakeSilence(
  changes: Partial<EngineSilence> = {},
): EngineSilence {
  return {
    reports: {ask: () => undefined, find: () => 'unreported'},
    investigate: () => undefined,
    wasAliveAfter: () => false,
    hasRespondedSince: () => false,
    wasSilentSince: () => false,
    isCommon: () => false,
    answers: () => Promise.resolve(true),
    ...changes,
  };
}
