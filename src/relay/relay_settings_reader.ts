/** Full reader of a relay's host file: YAML, with numbered diagnostics. */

import {z} from 'zod';
import {sortDiagnostics, type Diagnostic} from '../core/diagnostics.js';
import {checkShape} from '../core/settings_issues.js';
import {
  readLocatedYaml,
  toPlainData,
  type SourceText,
} from '../core/settings_yaml.js';
import {boundNames, boundRules, toSecondsName} from './relay_bounds.js';
import {toUsableSettings, type UsableSettings} from './relay_settings.js';

const address = z
  .string()
  .regex(/^.+:\d{1,5}$/, {error: 'an address like 10.0.0.1:7100'});

/** Any value: `readBounds` replaces one that can't be used. */
const boundFields = Object.fromEntries(
  boundNames.flatMap(name => {
    const field = z.unknown().describe(boundRules[name].description);
    const secondsName = toSecondsName(name);
    const names = secondsName ? [name, secondsName] : [name];
    return names.map(each => [each, field.optional()]);
  }),
);

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
  ...boundFields,
});

export interface RelaySettingsResult {
  readonly usable?: UsableSettings;
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
  return {
    usable: shape.value && toUsableSettings(shape.value),
    diagnostics,
  };
}
