/** Ports of a scenario's process: every answer crosses its fence. */

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
    prefill: call => fence.admit(engine.prefill(call)),
    importKv: call => fence.admit(engine.importKv(call)),
    decode: (call, sink) =>
      engine.decode(call, event => fence.deliver(() => sink(event))),
    cancel: (owner, timeoutMs) => fence.admit(engine.cancel(owner, timeoutMs)),
    sessions: timeoutMs => fence.admit(engine.sessions(timeoutMs)),
    load: timeoutMs => fence.admit(engine.load(timeoutMs)),
    cacheEvents: (after, timeoutMs) =>
      fence.admit(engine.cacheEvents(after, timeoutMs)),
    order: (order, timeoutMs) => fence.admit(engine.order(order, timeoutMs)),
    probe: timeoutMs => fence.admit(engine.probe(timeoutMs)),
  };
}

export function fencePlainService(
  service: PlainServicePort,
  fence: ProcessFence,
): PlainServicePort {
  return {
    call: (call, signal) => fence.admit(service.call(call, signal)),
    probe: timeoutMs => fence.admit(service.probe(timeoutMs)),
  };
}

export function fenceTable(table: TablePort, fence: ProcessFence): TablePort {
  return {
    read: (keys, timeoutMs) => fence.admit(table.read(keys, timeoutMs)),
    scan: (prefix, options, timeoutMs) =>
      fence.admit(table.scan(prefix, options, timeoutMs)),
    transact: (transaction, timeoutMs) =>
      fence.admit(table.transact(transaction, timeoutMs)),
  };
}

export function fenceObjects(
  objects: ObjectStorePort,
  fence: ProcessFence,
): ObjectStorePort {
  return {
    put: (key, body, timeoutMs) =>
      fence.admit(objects.put(key, body, timeoutMs)),
    get: (key, timeoutMs) => fence.admit(objects.get(key, timeoutMs)),
    remove: (key, timeoutMs) => fence.admit(objects.remove(key, timeoutMs)),
  };
}

export function fenceGrants(grants: GrantPort, fence: ProcessFence): GrantPort {
  return {
    request: (request, signal) => fence.admit(grants.request(request, signal)),
    report: (grant, progress) => grants.report(grant, progress),
  };
}

export function fenceJournal(
  journal: JournalPort,
  fence: ProcessFence,
): JournalPort {
  return {
    begin: request => fence.admit(journal.begin(request)),
    end: (request, end) => fence.admit(journal.end(request, end)),
  };
}
