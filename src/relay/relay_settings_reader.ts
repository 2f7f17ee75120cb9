/** Full reader of a relay's host file: YAML, with numbered diagnostics. */

import {z} from 'zod';
import {sortDiagnostics, type Diagnostic} from '../core/diagnostics.js';
import {checkShape} from '../core/settings_issues.js';
import {
  readLocatedYaml,
  toPlainData,
  type SourceText,
} from '../core/settings_yaml.js';
import type {RelaySettings} from './relay_settings.js';

const address = z
  .string()
  .regex(/^.+:\d{1,5}$/, {error: 'an address like 10.0.0.1:7100'});
const amount = z.number().min(0);

/** Reports unknown keys, which the JSON reader ignores. */
export const relaySettingsSchema = z.strictObject({
  hostId: z
    .string()
    .min(1)
    .describe('Name of the host, unique among all hosts.'),
  failureDomain: z.string().min(1).describe('Failure domain of the host.'),
  callerAddress: address.describe('Address that callers connect to.'),
  readyAddress: address.describe('Answers whether this entry is ready.'),
  directoryAddress: address.describe('Answers which entries to use.'),
  metricsAddress: address.describe('Serves the metrics page.'),
  peerAddress: address.describe(
    'Traffic between relay processes, UDP and TCP.',
  ),
  seedAddresses: z.array(address).describe('Other hosts; some may be down.'),
  storeAddress: address.describe("The platform's store."),
  retryRatio: amount.describe('Retries allowed for each request.'),
  retrySlack: amount.describe('Additional retries, for all hosts together.'),
  leaveGraceMs: amount.describe(
    'Time from the signal to leave until the kill.',
  ),
  leaseMs: amount.describe('Time until a lease without renewal expires.'),
  keyWithdrawalMs: amount
    .optional()
    .describe('Longest time that a withdrawn key works anywhere.'),
  limitSlack: amount
    .optional()
    .describe(
      'Units by which hosts may exceed a limit while some are cut off.',
    ),
  linkMbps: amount.optional().describe("Rate of the host's link."),
  cpuShare: amount.optional().describe('Share of each core for the process.'),
  coreCount: amount.optional().describe('Cores of the host.'),
  memoryMb: amount.optional().describe('Memory for the process.'),
  maxDescriptors: amount
    .optional()
    .describe('Descriptors that the process may have open.'),
});

export interface RelaySettingsResult {
  readonly settings?: RelaySettings;
  readonly diagnostics: readonly Diagnostic[];
}

export function readRelaySettings(source: SourceText): RelaySettingsResult {
  const read = readLocatedYaml(source);
  if (!read.root) return {diagnostics: sortDiagnostics(read.diagnostics)};
  const shape = checkShape(
    read.root,
    toPlainData(read.root),
    relaySettingsSchema,
  );
  const diagnostics = sortDiagnostics([
    ...read.diagnostics,
    ...shape.diagnostics,
  ]);
  return {settings: shape.value, diagnostics};
}
