/** Counts calls to the platform's table by outcome. */

import type {TablePort} from '../ports/table.js';
import type {Metrics} from './metrics.js';

export function createMeteredTable(
  metrics: Metrics,
  table: TablePort,
): TablePort {
  return {
    async read(keys, timeoutMs) {
      const outcome = await table.read(keys, timeoutMs);
      metrics.recordTableRead(outcome.kind);
      return outcome;
    },
    async scan(prefix, options, timeoutMs) {
      const outcome = await table.scan(prefix, options, timeoutMs);
      metrics.recordTableRead(outcome.kind);
      return outcome;
    },
    async transact(transaction, timeoutMs) {
      const outcome = await table.transact(transaction, timeoutMs);
      metrics.recordTableWrite(outcome.kind);
      return outcome;
    },
  };
}
