/**
 * The stored configuration: one YAML text with the base and the overlay of each
 * site as written by the operator. One revision changes all sites together, and
 * diagnostics refer to the operator's own files and lines.
 */

import {stringify} from 'yaml';
import {z} from 'zod';
import {
  createDiagnostic,
  diagnosticMessages,
  sortDiagnostics,
  type Diagnostic,
} from './diagnostics.js';
import {formatSuggestion} from './did_you_mean.js';
import {checkShape} from './settings_issues.js';
import {
  readSettings,
  readSiteNames,
  type SettingsResult,
} from './settings_reader.js';
import {
  locateValue,
  readLocatedYaml,
  toPlainData,
  type SourceText,
} from './settings_yaml.js';

/** Version of the stored format. */
const FORMAT = 1;
const STORED_NAME = 'stored configuration';

/** The base and the overlays of one revision. */
export interface SettingsDocument {
  readonly base: SourceText;
  /** Overlay texts by site name. */
  readonly overlays: ReadonlyMap<string, SourceText>;
}

export interface SettingsDocumentResult {
  readonly document?: SettingsDocument;
  readonly diagnostics: readonly Diagnostic[];
}

const sourceSchema = z.strictObject({file: z.string(), text: z.string()});

const documentSchema = z.strictObject({
  format: z.number().int(),
  base: sourceSchema,
  sites: z
    .array(z.strictObject({name: z.string(), ...sourceSchema.shape}))
    .default([]),
});

/** Formats the text stored by `config apply`. */
export function formatSettingsDocument(document: SettingsDocument): string {
  const sites = [...document.overlays]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, {file, text}]) => ({name, file, text}));
  const {file, text} = document.base;
  return stringify(
    {format: FORMAT, base: {file, text}, sites},
    {blockQuote: 'literal', lineWidth: 0},
  );
}

/** Parses a stored text without checking the settings in it. */
export function parseSettingsDocument(body: string): SettingsDocumentResult {
  const read = readLocatedYaml({file: STORED_NAME, text: body});
  if (!read.root) return {diagnostics: read.diagnostics};
  const shape = checkShape(read.root, toPlainData(read.root), documentSchema);
  const diagnostics = [...read.diagnostics, ...shape.diagnostics];
  if (shape.value && shape.value.format !== FORMAT) {
    diagnostics.push(
      createDiagnostic(
        locateValue(read.root, ['format']),
        diagnosticMessages.documentFormat,
        shape.value.format,
        FORMAT,
      ),
    );
  }
  if (!shape.value || diagnostics.length > 0) return {diagnostics};
  const {base, sites} = shape.value;
  const overlays = new Map(
    sites.map(({name, file, text}) => [name, {file, text}]),
  );
  return {document: {base, overlays}, diagnostics};
}

/** Reads the settings of one site from the base and its overlay. */
export function readSiteSettings(
  document: SettingsDocument,
  site: string,
): SettingsResult {
  const overlay = document.overlays.get(site);
  return readSettings({
    baseText: document.base.text,
    baseFile: document.base.file,
    overlayText: overlay?.text,
    overlayFile: overlay?.file,
    site,
  });
}

/** Reads the settings of one site from a stored text. */
export function readStoredSettings(body: string, site: string): SettingsResult {
  const {document, diagnostics} = parseSettingsDocument(body);
  return document ? readSiteSettings(document, site) : {diagnostics};
}

/** Checks all sites, for `config check` and `config apply`. */
export function checkSettingsDocument(
  document: SettingsDocument,
): readonly Diagnostic[] {
  const siteNames = readSiteNames(document.base);
  const diagnostics = [...document.overlays].flatMap(([site, overlay]) =>
    siteNames.length === 0 || siteNames.includes(site)
      ? []
      : [
          createDiagnostic(
            {file: overlay.file, line: 1, column: 1},
            diagnosticMessages.overlayOfUnknownSite,
            site,
            formatSuggestion(site, siteNames),
          ),
        ],
  );
  const checked = siteNames.length > 0 ? siteNames : [''];
  return sortDiagnostics([
    ...diagnostics,
    ...checked.flatMap(site => readSiteSettings(document, site).diagnostics),
  ]);
}
