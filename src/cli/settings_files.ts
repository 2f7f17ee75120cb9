/** Reads the base and overlay files that the flags name. */

import {formatDiagnostics, type Diagnostic} from '../core/diagnostics.js';
import type {SettingsDocument} from '../core/settings_document.js';
import type {SourceText} from '../core/settings_yaml.js';
import {
  exitCodes,
  requireText,
  UsageError,
  type CliHost,
  type FlagSpecs,
  type ParsedArguments,
} from './command.js';

export const settingsFlags: FlagSpecs = {
  base: {type: 'string', valueName: 'FILE', help: 'The base file.'},
  overlay: {
    type: 'string',
    multiple: true,
    valueName: 'SITE=FILE',
    help: 'The overlay of a site; may be given several times.',
  },
};

export function readDocument(
  args: ParsedArguments,
  host: CliHost,
): SettingsDocument {
  const base = readSource(requireText(args, 'base'), host);
  const overlays = new Map<string, SourceText>();
  for (const text of args.getTexts('overlay')) {
    const equals = text.indexOf('=');
    if (equals <= 0 || equals === text.length - 1) {
      throw new UsageError(`--overlay needs SITE=FILE, not '${text}'.`);
    }
    const site = text.slice(0, equals);
    if (overlays.has(site)) {
      throw new UsageError(`--overlay is given twice for the site '${site}'.`);
    }
    overlays.set(site, readSource(text.slice(equals + 1), host));
  }
  return {base, overlays};
}

function readSource(file: string, host: CliHost): SourceText {
  return {file, text: host.readFile(file)};
}

/** Prints diagnostics and their count; returns the exit code. */
export function reportDiagnostics(
  diagnostics: readonly Diagnostic[],
  host: CliHost,
): number {
  host.writeError(formatDiagnostics(diagnostics));
  const count = diagnostics.length;
  host.writeError(`${count} ${count === 1 ? 'mistake' : 'mistakes'}.\n`);
  return exitCodes.refused;
}
