/** Checks across the settings, such as references and unique names. */

import {
  createDiagnostic,
  diagnosticMessages,
  type Diagnostic,
  type DiagnosticMessage,
} from './diagnostics.js';
import {formatSuggestion} from './did_you_mean.js';
import type {SettingsFile} from './settings_schema.js';
import {locateValue, type LocatedMap, type PathPart} from './settings_yaml.js';

type ServiceFile = SettingsFile['services'][number];

/** Input of a check; `report` adds a diagnostic at a path. */
interface CheckContext {
  readonly settings: SettingsFile;
  readonly site: string;
  readonly root: LocatedMap;
  report(
    path: readonly PathPart[],
    message: DiagnosticMessage,
    ...args: ReadonlyArray<string | number>
  ): void;
}

const checks: ReadonlyArray<(context: CheckContext) => void> = [
  checkSite,
  checkDuplicateNames,
  checkUpstreamDomains,
  checkUpstreamRoles,
  checkTargets,
  checkServiceSites,
  checkAccountServices,
  checkSharedKeys,
  checkSharedModels,
  checkSharedAddresses,
  checkCoordination,
];

/** Returns the diagnostics of all checks for one site. */
export function checkSettings(
  settings: SettingsFile,
  root: LocatedMap,
  site: string,
): readonly Diagnostic[] {
  const diagnostics: Diagnostic[] = [];
  const context: CheckContext = {
    settings,
    site,
    root,
    report(path, message, ...args) {
      const position = locateValue(root, path);
      diagnostics.push(createDiagnostic(position, message, ...args));
    },
  };
  for (const check of checks) check(context);
  return diagnostics;
}

function checkSite({settings, site, report}: CheckContext): void {
  const names = settings.sites.map(known => known.name);
  if (names.includes(site)) return;
  const suggestion = formatSuggestion(site, names);
  report(['sites'], diagnosticMessages.unknownSite, site, suggestion);
}

function checkDuplicateNames(context: CheckContext): void {
  const {settings} = context;
  const getNamedPaths = (list: 'sites' | 'services' | 'accounts') =>
    settings[list].map((item, index) => ({
      name: item.name,
      path: [list, index, 'name'],
    }));
  const upstreams = settings.services.flatMap((service, i) =>
    service.upstreams.map((upstream, j) => ({
      name: upstream.id,
      path: ['services', i, 'upstreams', j, 'id'],
    })),
  );
  reportDuplicates(context, 'site', getNamedPaths('sites'));
  reportDuplicates(context, 'service', getNamedPaths('services'));
  reportDuplicates(context, 'account', getNamedPaths('accounts'));
  reportDuplicates(context, 'upstream', upstreams);
}

interface NamedPath {
  readonly name: string;
  readonly path: readonly PathPart[];
}

function reportDuplicates(
  context: CheckContext,
  what: string,
  items: readonly NamedPath[],
): void {
  const seen = new Set<string>();
  for (const {name, path} of items) {
    if (seen.has(name)) {
      context.report(path, diagnosticMessages.duplicateName, what, name);
    }
    seen.add(name);
  }
}

function getDomains({settings, site}: CheckContext): readonly string[] {
  return (
    settings.sites.find(known => known.name === site)?.failureDomains ?? []
  );
}

/** Whether the service runs in the site. */
export function isServiceOfSite(service: ServiceFile, site: string): boolean {
  return service.sites === undefined || service.sites.includes(site);
}

function checkUpstreamDomains(context: CheckContext): void {
  const {settings, site, report} = context;
  const domains = getDomains(context);
  if (domains.length === 0) return;
  settings.services.forEach((service, i) => {
    if (!isServiceOfSite(service, site)) return;
    service.upstreams.forEach((upstream, j) => {
      if (domains.includes(upstream.failureDomain)) return;
      report(
        ['services', i, 'upstreams', j, 'failureDomain'],
        diagnosticMessages.unknownFailureDomain,
        site,
        upstream.failureDomain,
        formatSuggestion(upstream.failureDomain, domains),
      );
    });
  });
}

function checkUpstreamRoles({settings, site, report}: CheckContext): void {
  settings.services.forEach((service, i) => {
    if (service.upstreamsFromHostList) return;
    if (!isServiceOfSite(service, site)) return;
    if (service.upstreams.length === 0) {
      report(
        ['services', i, 'name'],
        diagnosticMessages.noUpstreams,
        service.name,
      );
      return;
    }
    if (service.kind !== 'model') return;
    for (const role of ['prefill', 'decode'] as const) {
      if (service.upstreams.some(upstream => upstream.role === role)) continue;
      report(
        ['services', i, 'name'],
        diagnosticMessages.missingRole,
        service.name,
        role,
      );
    }
  });
}

function checkTargets({settings, report}: CheckContext): void {
  settings.services.forEach((service, i) => {
    if (service.kind !== 'model') return;
    const {ttftMs, tokenIntervalMs, waitMs} = service.targets;
    const path = ['services', i, 'targets'];
    const message = diagnosticMessages.targetOrder;
    if (ttftMs > waitMs) {
      report([...path, 'ttftMs'], message, 'ttftMs', ttftMs, 'waitMs', waitMs);
    }
    if (tokenIntervalMs > waitMs) {
      report(
        [...path, 'tokenIntervalMs'],
        message,
        'tokenIntervalMs',
        tokenIntervalMs,
        'waitMs',
        waitMs,
      );
    }
  });
}

function checkServiceSites({settings, report}: CheckContext): void {
  const names = settings.sites.map(site => site.name);
  settings.services.forEach((service, i) => {
    service.sites?.forEach((site, j) => {
      if (names.includes(site)) return;
      report(
        ['services', i, 'sites', j],
        diagnosticMessages.unknownSite,
        site,
        formatSuggestion(site, names),
      );
    });
  });
}

function checkAccountServices({settings, report}: CheckContext): void {
  const names = settings.services.map(service => service.name);
  settings.accounts.forEach((account, i) => {
    account.services.forEach((service, j) => {
      if (names.includes(service)) return;
      report(
        ['accounts', i, 'services', j],
        diagnosticMessages.unknownService,
        service,
        formatSuggestion(service, names),
      );
    });
  });
}

/** A key shared by two accounts would charge one for the other's requests. */
function checkSharedKeys({settings, report}: CheckContext): void {
  const owners = new Map<string, string>();
  settings.accounts.forEach((account, i) => {
    account.keySha256.forEach((key, j) => {
      const owner = owners.get(key);
      if (owner !== undefined) {
        report(
          ['accounts', i, 'keySha256', j],
          diagnosticMessages.sharedKey,
          owner,
          account.name,
        );
      }
      owners.set(key, account.name);
    });
  });
}

function checkSharedModels({settings, site, report}: CheckContext): void {
  const owners = new Map<string, string>();
  settings.services.forEach((service, i) => {
    if (service.kind !== 'model' || !isServiceOfSite(service, site)) return;
    service.models.forEach((model, j) => {
      const owner = owners.get(model);
      if (owner !== undefined) {
        report(
          ['services', i, 'models', j],
          diagnosticMessages.sharedModel,
          model,
          owner,
          service.name,
        );
      }
      owners.set(model, service.name);
    });
  });
}

function checkSharedAddresses({settings, site, report}: CheckContext): void {
  const owners = new Map<string, string>();
  settings.services.forEach((service, i) => {
    if (!isServiceOfSite(service, site)) return;
    service.upstreams.forEach((upstream, j) => {
      const owner = owners.get(upstream.address);
      if (owner !== undefined) {
        report(
          ['services', i, 'upstreams', j, 'address'],
          diagnosticMessages.sharedAddress,
          upstream.address,
          owner,
          upstream.id,
        );
      }
      owners.set(upstream.address, upstream.id);
    });
  });
}

function checkCoordination({settings, report}: CheckContext): void {
  const {probeIntervalMs, suspicionMs} = settings.coordination;
  if (suspicionMs > probeIntervalMs) return;
  report(
    ['coordination', 'suspicionMs'],
    diagnosticMessages.suspicionOrder,
    suspicionMs,
    probeIntervalMs,
  );
}
