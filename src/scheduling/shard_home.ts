/**
 * The home of one shard: it alone grants the capacity of the shard's engines.
 * Entries call its dispatcher through the grant port, in the same process or
 * through the peer protocol.
 */

import type {
  Grant,
  GrantPort,
  GrantRefusal,
  GrantRequest,
} from '../ports/grants.js';
import type {Logger} from '../ports/log.js';
import {createDispatcher} from './dispatcher.js';
import type {
  AnnouncedGrant,
  Dispatcher,
  DispatcherHost,
  DispatcherOptions,
  EngineUsage,
  ShardSummary,
} from './dispatcher_types.js';

export type {AnnouncedGrant, EngineUsage, ShardSummary};

export interface ShardHomeHost extends DispatcherHost {
  readonly log: Logger;
}

export type ShardHomeOptions = DispatcherOptions;

/** A dispatcher whose grants are requested through the grant port. */
export interface ShardHome
  extends GrantPort, Omit<Dispatcher, 'ask' | 'report'> {}

const CANCELLED: GrantRefusal = {
  kind: 'refused',
  reason: 'cancelled',
  retryAfterMs: 0,
};

export function createShardHome(
  host: ShardHomeHost,
  options: ShardHomeOptions,
): ShardHome {
  const {log} = host;
  const dispatcher = createDispatcher(host, options);

  function request(
    wanted: GrantRequest,
    signal: AbortSignal,
  ): Promise<Grant | GrantRefusal> {
    if (signal.aborted) return Promise.resolve(CANCELLED);
    return new Promise(resolve => {
      let isDone = false;
      const ticket = dispatcher.ask(wanted, outcome => {
        isDone = true;
        signal.removeEventListener('abort', onAbort);
        resolve(outcome);
      });
      function onAbort(): void {
        ticket.cancel();
        resolve(CANCELLED);
      }
      if (!isDone) signal.addEventListener('abort', onAbort, {once: true});
    });
  }

  return {
    request,
    report: (grant, progress) => dispatcher.report(grant.grantId, progress),
    setEngines: engines => dispatcher.setEngines(engines),
    applySettings: (targets, wasteWeight, accounts) =>
      dispatcher.applySettings(targets, wasteWeight, accounts),
    applyLoadReport: report => dispatcher.applyLoadReport(report),
    applyCacheEvents: (engineId, events) =>
      dispatcher.applyCacheEvents(engineId, events),
    markLeaving(engineId) {
      log.info('Engine is leaving.', {engineId});
      dispatcher.markLeaving(engineId);
    },
    removeEngine(engineId) {
      log.warn('Engine was lost.', {engineId});
      dispatcher.removeEngine(engineId);
    },
    releaseEntry(entryTag) {
      log.info('Entry was lost; releasing its grants.', {entryTag});
      dispatcher.releaseEntry(entryTag);
    },
    adopt: announced => dispatcher.adopt(announced),
    summary: () => dispatcher.summary(),
    engineUsage: () => dispatcher.engineUsage(),
    stop: () => dispatcher.stop(),
  };
}
