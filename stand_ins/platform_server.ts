/** HTTP server of the stand-in platform. */

import type {
  ListedHost,
  ReadOutcome,
  TableTransaction,
  WriteOutcome,
} from '../src/ports/table.js';
import {createFaultHandler} from './fault_routes.js';
import {
  createStandInServer,
  type ServerAnswer,
  type RouteHandler,
  type StandInServer,
} from './stand_in_server.js';
import type {PlatformCore} from './platform_core.js';

const CALL_TIMEOUT_MS = Number.POSITIVE_INFINITY;
const OBJECTS = '/objects/';
const HOSTS = '/hosts/';

const refusalStatus = {
  unavailable: 503,
  'rate-limited': 429,
  budget: 429,
} as const;

function readAnswer<T>(
  outcome: ReadOutcome<T>,
  bodyOf: (value: T) => ServerAnswer,
): ServerAnswer {
  if (outcome.kind === 'read') return bodyOf(outcome.value);
  const status = outcome.reason === 'rate-limited' ? 429 : 503;
  return {status, body: {error: outcome.reason}};
}

function writeAnswer(outcome: WriteOutcome): ServerAnswer {
  if (outcome.kind !== 'refused') return {status: 200, body: outcome};
  return {status: refusalStatus[outcome.reason], body: outcome};
}

export async function createPlatformServer(
  core: PlatformCore,
  address: string,
): Promise<StandInServer> {
  const {table, objects, hosts} = core;
  const listed = new Map<string, ListedHost>();

  const keyOf = (path: string, parent: string) =>
    decodeURIComponent(path.slice(parent.length));

  const transact: RouteHandler = async request =>
    writeAnswer(
      await table.transact(request.json() as TableTransaction, CALL_TIMEOUT_MS),
    );

  const read: RouteHandler = async request => {
    const {keys} = request.json() as {keys: readonly string[]};
    const outcome = await table.read(keys, CALL_TIMEOUT_MS);
    return readAnswer(outcome, rows => ({status: 200, body: {rows}}));
  };

  const scan: RouteHandler = async request => {
    const {prefix, afterKey, limit} = request.json() as {
      prefix: string;
      afterKey?: string;
      limit: number;
    };
    const options = {afterKey, limit};
    const outcome = await table.scan(prefix, options, CALL_TIMEOUT_MS);
    return readAnswer(outcome, rows => ({status: 200, body: {rows}}));
  };

  const putObject: RouteHandler = async request => {
    const key = keyOf(request.path, OBJECTS);
    const outcome = await objects.put(key, request.body, CALL_TIMEOUT_MS);
    const status = outcome === 'stored' ? 200 : 503;
    return {status, body: {outcome}};
  };

  const getObject: RouteHandler = async request => {
    const key = keyOf(request.path, OBJECTS);
    const outcome = await objects.get(key, CALL_TIMEOUT_MS);
    return readAnswer(outcome, body =>
      body ? {status: 200, body} : {status: 404, body: {}},
    );
  };

  const removeObject: RouteHandler = async request => {
    await objects.remove(keyOf(request.path, OBJECTS), CALL_TIMEOUT_MS);
    return {status: 200, body: {}};
  };

  const listHosts: RouteHandler = async () => {
    const outcome = await hosts.list(CALL_TIMEOUT_MS);
    return readAnswer(outcome, list => ({status: 200, body: {hosts: list}}));
  };

  const putHost: RouteHandler = async request => {
    const host = request.json() as ListedHost;
    listed.set(keyOf(request.path, HOSTS), host);
    core.setHosts([...listed.values()]);
    return {status: 200, body: {}};
  };

  const removeHost: RouteHandler = async request => {
    listed.delete(keyOf(request.path, HOSTS));
    core.setHosts([...listed.values()]);
    return {status: 200, body: {}};
  };

  const putHosts: RouteHandler = async request => {
    const all = request.json() as {hosts: readonly ListedHost[]};
    listed.clear();
    for (const host of all.hosts) listed.set(host.hostId, host);
    core.setHosts([...listed.values()]);
    return {status: 200, body: {}};
  };

  const server: StandInServer = await createStandInServer({
    address,
    routes: {
      'POST /table/transact': transact,
      'POST /table/read': read,
      'POST /table/scan': scan,
      'PUT /objects/*': putObject,
      'GET /objects/*': getObject,
      'DELETE /objects/*': removeObject,
      'GET /hosts': listHosts,
      'PUT /hosts': putHosts,
      'PUT /hosts/*': putHost,
      'DELETE /hosts/*': removeHost,
      'GET /books': async () => ({status: 200, body: core.stats()}),
      'PUT /faults': createFaultHandler(core, () => server),
    },
  });
  core.gate.onBreak(what => {
    if (what === 'crash') void server.close();
  });
  return server;
}
