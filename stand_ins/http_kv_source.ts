/** Lets a stand-in decode engine pull KV cache from another over HTTP. */

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
