/**
 * The stored configuration: one YAML text that carries the base and every
 * site's overlay as they were written, so that one revision is one change for
 * all sites and a mistake still shows the operator's own file and line.
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

/** Base and overlays of one revision. */
export interface SettingsDocument {
  readonly base: SourceText;
  /** Overlay texts by the site's name. */
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

/** The text that `config apply` stores. */
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

/** Reads a stored text back; its parts are not checked yet. */
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

/** Settings of one site from base and overlays. */
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

/** Settings of one site from a stored text. */
export function readStoredSettings(body: string, site: string): SettingsResult {
  const {document, diagnostics} = parseSettingsDocument(body);
  return document ? readSiteSettings(document, site) : {diagnostics};
}

/** All mistakes of all sites; what `config check` and `config apply` ask. */
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
