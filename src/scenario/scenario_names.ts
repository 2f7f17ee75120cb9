/** Names and constants that all scenarios share. */

import {tokenizePrompt} from '../core/prompt_tokens.js';
import type {LatencyTargets} from '../core/settings_types.js';

export const MODEL_SERVICE = 'aruande-koostaja';
export const PLAIN_SERVICE = 'uus-pearaamat';
export const ACCOUNT = 'kirikukoorid';
export const FAILURE_DOMAIN = 'ylikool-saal';

/** One-way latency between the product's processes. */
export const PEER_LATENCY_MS = 1.5;
/** Time until the other processes detect that one has died. */
export const DEATH_DETECTION_MS = 2_500;
export const RETENTION_MS = 600_000;

export const MODEL_TARGETS: LatencyTargets = {
  ttftMs: 5_000,
  tokenIntervalMs: 100,
  waitMs: 60_000,
};

export const PLAIN_WAIT_MS = 2_000;

/** An engine that runs a prompt with this word crashes. */
export const POISON_WORD = 'poison';
export const POISON_TOKENS = tokenizePrompt(POISON_WORD);
