/** Limits of a process, for tests that give a few of them. */

import {createVirtualClock} from '../../../src/core/virtual_clock.js';
import {
  createConnectionLimit,
  type ConnectionLimit,
} from '../../../src/relay/limits/connection_limit.js';
import {
  createMemoryBudget,
  type MemoryBudget,
} from '../../../src/relay/limits/memory_budget.js';
import {silentLog} from '../../support/silent_log.js';

export const noMetrics = {count: () => undefined};

export const createBudget = (maxBytes = Infinity): MemoryBudget =>
  createMemoryBudget({
    maxHeldBytes: () => maxBytes,
    onEnded: () => undefined,
    onGrowth: () => undefined,
  });

export const createUnlimitedConnections = (): ConnectionLimit =>
  createConnectionLimit(
    {
      clock: createVirtualClock(),
      log: silentLog,
      metrics: noMetrics,
      memory: createBudget(),
    },
    {server: 'test', maxConnections: Infinity},
  );
