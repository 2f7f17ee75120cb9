/** Schemas of the answers of the engines' HTTP interface. */

import {z} from 'zod';

export const engineFailureSchema = z.object({
  kind: z.literal('failed'),
  reason: z.enum([
    'refused',
    'no-capacity',
    'leaving',
    'unreachable',
    'broken',
    'timeout',
    'cancelled',
    'expired',
  ]),
  detail: z.string(),
});

const ownerSchema = z.object({
  entry: z.string(),
  requestId: z.string(),
  attemptId: z.string(),
});

const roleSchema = z.enum(['prefill', 'decode']);

export const prefillSchema = z.object({
  kind: z.literal('prefilled'),
  kvHandle: z.string(),
  kvSizeBytes: z.number().nonnegative(),
  cachedTokens: z.number().int().nonnegative(),
  lifeMs: z.number().nonnegative(),
});

export const importSchema = z.object({
  kind: z.literal('imported'),
  sessionId: z.string(),
});

export const decodeStartSchema = z.object({isStarted: z.boolean()});

export const sessionsSchema = z.array(
  z.object({
    owner: ownerSchema,
    kind: z.enum(['prefill-result', 'import', 'decode']),
    kvSizeBytes: z.number(),
    ageMs: z.number(),
  }),
);

export const loadSchema = z.object({
  engineId: z.string(),
  role: roleSchema,
  models: z.array(z.string()),
  sequence: z.number(),
  slotsTotal: z.number(),
  slotsUsed: z.number(),
  kvTotalBytes: z.number(),
  kvUsedBytes: z.number(),
  queuedTokens: z.number(),
  leaving: z.boolean(),
});

export const cacheEventsSchema = z.array(
  z.object({
    engineId: z.string(),
    sequence: z.number(),
    kind: z.enum(['stored', 'evicted', 'cleared']),
    prefixHashes: z.array(z.string()),
  }),
);

export const orderSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('accepted')}),
  z.object({kind: z.literal('fenced'), highestFence: z.number()}),
]);

export const releasedSchema = z.literal('released');
export const aliveSchema = z.literal('alive');
