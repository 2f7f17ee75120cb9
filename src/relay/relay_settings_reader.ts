/** The full reader of a relay's host file: YAML, with numbered diagnostics. */

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

/** Unknown keys are reported; the process that serves ignores them. */
export const relaySettingsSchema = z.strictObject({
  hostId: z.string().min(1).describe('Name of the host, unique among all.'),
  failureDomain: z.string().min(1).describe('The domain it stands in.'),
  callerAddress: address.describe('Address that callers connect to.'),
  readyAddress: address.describe('Answers whether this entry is ready.'),
  directoryAddress: address.describe('Answers which entries to use.'),
  metricsAddress: address.describe('Serves the metrics page.'),
  peerAddress: address.describe('Between our own processes, UDP and TCP.'),
  seedAddresses: z.array(address).describe('Other hosts; some may be down.'),
  storeAddress: address.describe("The platform's store."),
  retryRatio: amount.describe('Retries allowed for each request.'),
  retrySlack: amount.describe('Retries allowed beside, for all hosts.'),
  leaveGraceMs: amount.describe('From the signal to leave until the kill.'),
  leaseMs: amount.describe('Life of a lease that is not renewed.'),
  keyWithdrawalMs: amount
    .optional()
    .describe('Longest time that a withdrawn key works anywhere.'),
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
