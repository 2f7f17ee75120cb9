/** Holds the configuration in force, parsed for this host's site. */

import {createClient, type ServiceImpl} from '@connectrpc/connect';
import {toCallTimeoutMs} from '../adapters/peer_connection.js';
import {createCallerAuth} from '../entry/caller_auth.js';
import type {FrontSettings} from '../entry/front_host.js';
import {formatDiagnostic} from '../core/diagnostics.js';
import {
  checkSettingsDocument,
  parseSettingsDocument,
  readStoredSettings,
} from '../core/settings_document.js';
import type {Settings} from '../core/settings_types.js';
import {
  createConfigurationKeeper,
  type ConfigurationKeeper,
  type ConfigurationRevision,
} from '../coordination/configuration.js';
import {ConfigurationPeer} from '../generated/corianderbend/peer_pb.js';
import type {ConfigurationRevision as RevisionMessage} from '../generated/corianderbend/peer_pb.js';
import type {Fleet} from './fleet.js';
import type {ProcessAdapters} from './process_adapters.js';

export interface ConfigurationHost {
  readonly keeper: ConfigurationKeeper;
  /** Undefined until a revision is in force. */
  getSettings(): Settings | undefined;
  getFrontSettings(): FrontSettings | undefined;
  onChange(listener: (settings: Settings) => void): void;
}

/** Returns the problems of a stored body at all sites; empty if it is valid. */
function checkBody(body: string): readonly string[] {
  const {document, diagnostics} = parseSettingsDocument(body);
  const all = document ? checkSettingsDocument(document) : diagnostics;
  return all.map(formatDiagnostic);
}

export function createConfigurationHost(
  adapters: ProcessAdapters,
  {table, membership}: Fleet,
): ConfigurationHost {
  const {clock, random, getTransport} = adapters;
  const {hostId, site} = adapters.host;
  const log = adapters.createLogger('configuration');
  const listeners: ((settings: Settings) => void)[] = [];
  let frontSettings: FrontSettings | undefined;

  /**
   * Rejects a change of the number of partitions while processes run. Keys
   * would map to partitions that have no record of them, and a request that
   * isn't idempotent could run twice.
   */
  function checkPartitionCount(body: string): readonly string[] {
    const before = frontSettings?.settings.coordination.journalPartitions;
    const {settings} = readStoredSettings(body, site);
    const after = settings?.coordination.journalPartitions;
    if (before === undefined || after === undefined || before === after) {
      return [];
    }
    return [
      `coordination.journalPartitions is ${before} and cannot become ${after} while processes run.`,
    ];
  }

  async function fetchFromPeer(
    peerId: string,
    revision: number,
    timeoutMs: number,
  ): Promise<ConfigurationRevision | undefined> {
    const address = membership.get(peerId)?.address;
    if (!address) return undefined;
    try {
      const transport = getTransport(address);
      const client = createClient(ConfigurationPeer, transport);
      const reply = await client.get(
        {revision},
        {timeoutMs: toCallTimeoutMs(timeoutMs)},
      );
      return reply.found ? reply.revision : undefined;
    } catch {
      return undefined;
    }
  }

  const keeper = createConfigurationKeeper(
    {
      clock,
      random,
      table,
      facts: membership.facts,
      log,
      peers: () =>
        membership
          .members()
          .map(member => member.hostId)
          .filter(id => id !== hostId),
      fetchFromPeer,
      check: body => [...checkBody(body), ...checkPartitionCount(body)],
    },
    {hostId},
  );

  function applyRevision(revision: ConfigurationRevision): void {
    const {settings, diagnostics} = readStoredSettings(revision.body, site);
    if (!settings) {
      log.error('The accepted revision has no valid settings for this site.', {
        revision: revision.revision,
        site,
        reason: diagnostics.map(formatDiagnostic).join('; '),
      });
      return;
    }
    frontSettings = {settings, auth: createCallerAuth(settings)};
    for (const listener of listeners) listener(settings);
  }

  keeper.changes.listen(applyRevision);

  return {
    keeper,
    getSettings: () => frontSettings?.settings,
    getFrontSettings: () => frontSettings,
    onChange: listener => listeners.push(listener),
  };
}

/** Converts a revision to a message, without the fields that peers ignore. */
export function encodeRevision(
  revision: ConfigurationRevision,
): Omit<RevisionMessage, '$typeName'> {
  const {changeId, author, appliedAtMs, body, comment} = revision;
  return {
    revision: revision.revision,
    changeId,
    author,
    appliedAtMs,
    body,
    comment,
  };
}

/** Serves the revision in force in this process to peers. */
export function createConfigurationPeerService(
  keeper: Pick<ConfigurationKeeper, 'current'>,
): ServiceImpl<typeof ConfigurationPeer> {
  return {
    get(request) {
      const current = keeper.current();
      const isWanted =
        current !== undefined &&
        (request.revision === 0 || request.revision === current.revision);
      if (!isWanted) return {found: false};
      return {found: true, revision: encodeRevision(current)};
    },
  };
}
