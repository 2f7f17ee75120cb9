/** Transfers KV cache over HTTP from a prefill engine to a decode engine. */

import {request} from 'undici';
import type {EngineFailure} from '../src/ports/engine.js';
import {failure, type KvExport, type KvSource} from './engine_types.js';

export function createHttpKvSource(address: string): KvSource {
  return {
    async exportKv(kvHandle, timeoutMs) {
      try {
        const response = await request(`http://${address}/export`, {
          method: 'POST',
          body: JSON.stringify({kvHandle, timeoutMs}),
          signal: AbortSignal.timeout(timeoutMs),
        });
        return (await response.body.json()) as KvExport | EngineFailure;
      } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        return failure('broken', `transfer failed: ${detail}`);
      }
    },
  };
}
