/** Ports whose results pass through the fence of a scenario's process. */

import type {EnginePort} from '../ports/engine.js';
import type {GrantPort} from '../ports/grants.js';
import type {JournalPort} from '../ports/journal.js';
import type {PlainServicePort} from '../ports/plain_service.js';
import type {ObjectStorePort, TablePort} from '../ports/table.js';
import type {ProcessFence} from './process_fence.js';

export function fenceEngine(
  engine: EnginePort,
  fence: ProcessFence,
): EnginePort {
  return {
    prefill: call => fence.deliverResult(engine.prefill(call)),
    importKv: call => fence.deliverResult(engine.importKv(call)),
    decode: (call, sink) =>
      engine.decode(call, event => fence.deliver(() => sink(event))),
    cancel: (owner, timeoutMs) =>
      fence.deliverResult(engine.cancel(owner, timeoutMs)),
    sessions: timeoutMs => fence.deliverResult(engine.sessions(timeoutMs)),
    load: timeoutMs => fence.deliverResult(engine.load(timeoutMs)),
    cacheEvents: (after, timeoutMs) =>
      fence.deliverResult(engine.cacheEvents(after, timeoutMs)),
    order: (order, timeoutMs) =>
      fence.deliverResult(engine.order(order, timeoutMs)),
    probe: timeoutMs => fence.deliverResult(engine.probe(timeoutMs)),
  };
}

export function fencePlainService(
  service: PlainServicePort,
  fence: ProcessFence,
): PlainServicePort {
  return {
    call: (call, signal) => fence.deliverResult(service.call(call, signal)),
    probe: timeoutMs => fence.deliverResult(service.probe(timeoutMs)),
  };
}

export function fenceTable(table: TablePort, fence: ProcessFence): TablePort {
  return {
    read: (keys, timeoutMs) => fence.deliverResult(table.read(keys, timeoutMs)),
    scan: (prefix, options, timeoutMs) =>
      fence.deliverResult(table.scan(prefix, options, timeoutMs)),
    transact: (transaction, timeoutMs) =>
      fence.deliverResult(table.transact(transaction, timeoutMs)),
  };
}

export function fenceObjects(
  objects: ObjectStorePort,
  fence: ProcessFence,
): ObjectStorePort {
  return {
    put: (key, body, timeoutMs) =>
      fence.deliverResult(objects.put(key, body, timeoutMs)),
    get: (key, timeoutMs) => fence.deliverResult(objects.get(key, timeoutMs)),
    remove: (key, timeoutMs) =>
      fence.deliverResult(objects.remove(key, timeoutMs)),
  };
}

export function fenceGrants(grants: GrantPort, fence: ProcessFence): GrantPort {
  return {
    request: (request, signal) =>
      fence.deliverResult(grants.request(request, signal)),
    report: (grant, progress) => grants.report(grant, progress),
  };
}

export function fenceJournal(
  journal: JournalPort,
  fence: ProcessFence,
): JournalPort {
  return {
    begin: request => fence.deliverResult(journal.begin(request)),
    end: (request, end) => fence.deliverResult(journal.end(request, end)),
  };
}
