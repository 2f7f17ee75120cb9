/** Parses, merges and checks settings texts, without input or output. */

import {sortDiagnostics, type Diagnostic} from './diagnostics.js';
import {checkSettings, isServiceOfSite} from './settings_checks.js';
import {checkShape} from './settings_issues.js';
import {mergeOverlay} from './settings_merge.js';
import {
  hostSchema,
  settingsSchema,
  type SettingsFile,
} from './settings_schema.js';
import type {
  HostSettings,
  ServiceSettings,
  Settings,
} from './settings_types.js';
import {
  readLocatedYaml,
  toPlainData,
  type LocatedEntry,
  type LocatedMap,
  type SourceText,
} from './settings_yaml.js';

export interface SettingsTexts {
  readonly baseText: string;
  /** Name of the base file for diagnostics. */
  readonly baseFile: string;
  readonly overlayText?: string;
  readonly overlayFile?: string;
  /** The site to read the settings of. */
  readonly site: string;
}

export interface SettingsResult {
  /** Absent if there are diagnostics. */
  readonly settings?: Settings;
  readonly diagnostics: readonly Diagnostic[];
}

/** Reads the settings of one site, or returns all diagnostics. */
export function readSettings(texts: SettingsTexts): SettingsResult {
  const merged = mergeTexts(texts);
  if (!merged.root) return {diagnostics: sortDiagnostics(merged.diagnostics)};
  const shape = checkShape(
    merged.root,
    toPlainData(merged.root),
    settingsSchema,
  );
  const crossChecked = shape.value
    ? checkSettings(shape.value, merged.root, texts.site)
    : [];
  const diagnostics = sortDiagnostics([
    ...merged.diagnostics,
    ...shape.diagnostics,
    ...crossChecked,
  ]);
  if (!shape.value || diagnostics.length > 0) return {diagnostics};
  return {settings: createSettings(shape.value, texts.site), diagnostics};
}

/** Returns the site names in a base text; empty if it is malformed. */
export function readSiteNames(base: SourceText): readonly string[] {
  const {root} = readLocatedYaml(base);
  const sites = root?.entries.get('sites')?.value;
  if (sites?.kind !== 'list') return [];
  return sites.items.flatMap(item => {
    const name = item.kind === 'map' && item.entries.get('name')?.value;
    return name && name.kind === 'scalar' && typeof name.value === 'string'
      ? [name.value]
      : [];
  });
}

interface MergedTexts {
  readonly root?: LocatedMap;
  readonly diagnostics: readonly Diagnostic[];
}

function mergeTexts(texts: SettingsTexts): MergedTexts {
  const base = readLocatedYaml({file: texts.baseFile, text: texts.baseText});
  if (texts.overlayText === undefined) return base;
  const overlay = readLocatedYaml({
    file: texts.overlayFile ?? `${texts.site}.yaml`,
    text: texts.overlayText,
  });
  const diagnostics = [...base.diagnostics, ...overlay.diagnostics];
  if (!base.root || !overlay.root) return {diagnostics};
  const merged = mergeOverlay(base.root, overlay.root);
  return {
    root: merged.root,
    diagnostics: [...diagnostics, ...merged.diagnostics],
  };
}

function createSettings(file: SettingsFile, site: string): Settings {
  const services = file.services
    .filter(service => isServiceOfSite(service, site))
    .map(createService);
  const isServed = (name: string) =>
    services.some(service => service.name === name);
  const domains = file.sites.find(known => known.name === site);
  return {
    site,
    failureDomains: (domains?.failureDomains ?? []).map(name => ({name})),
    services,
    accounts: file.accounts.map(account => ({
      ...account,
      services: account.services.filter(isServed),
    })),
    limits: file.limits,
    coordination: file.coordination,
  };
}

function createService(
  service: SettingsFile['services'][number],
): ServiceSettings {
  const rest = {...service};
  delete rest.sites;
  if (rest.kind === 'model') return rest;
  // Plain calls have no tokens, so the total wait is their only target.
  const {waitMs} = rest.targets;
  return {
    ...rest,
    targets: {ttftMs: waitMs, tokenIntervalMs: waitMs, waitMs},
  };
}

export interface HostTexts {
  /** The host file, if there is one. */
  readonly source?: SourceText;
  /** Values from flags and the environment, which override the file. */
  readonly overrides?: Readonly<Partial<Record<keyof HostSettings, string>>>;
}

export interface HostSettingsResult {
  readonly host?: HostSettings;
  readonly diagnostics: readonly Diagnostic[];
}

/** Reads the settings of one process from its host file and flags. */
export function readHostSettings(texts: HostTexts): HostSettingsResult {
  const read = texts.source ? readLocatedYaml(texts.source) : undefined;
  if (read && !read.root) return {diagnostics: read.diagnostics};
  const root = addOverrides(read?.root ?? createEmptyMap(), texts);
  const shape = checkShape(root, toPlainData(root), hostSchema);
  const diagnostics = sortDiagnostics([
    ...(read?.diagnostics ?? []),
    ...shape.diagnostics,
  ]);
  return diagnostics.length > 0 || !shape.value
    ? {diagnostics}
    : {host: shape.value, diagnostics};
}

const FLAGS_FILE = 'flags';

function createEmptyMap(): LocatedMap {
  const position = {file: FLAGS_FILE, line: 1, column: 1};
  return {kind: 'map', position, entries: new Map()};
}

function addOverrides(root: LocatedMap, texts: HostTexts): LocatedMap {
  const entries = new Map<string, LocatedEntry>(root.entries);
  for (const [key, value] of Object.entries(texts.overrides ?? {})) {
    if (value === undefined) continue;
    const position = {file: `${FLAGS_FILE}:${key}`, line: 1, column: 1};
    entries.set(key, {
      keyPosition: position,
      value: {kind: 'scalar', position, value},
    });
  }
  return {...root, entries};
}
