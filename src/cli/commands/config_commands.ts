/** The commands `config check` and `config render`, which only read files. */

import {stringify} from 'yaml';
import {
  checkSettingsDocument,
  readSiteSettings,
} from '../../core/settings_document.js';
import {readSiteNames} from '../../core/settings_reader.js';
import {exitCodes, jsonFlag, requireText, type Command} from '../command.js';
import {
  readDocument,
  reportDiagnostics,
  settingsFlags,
} from '../settings_files.js';

export const configCheck: Command = {
  name: 'config check',
  summary: 'Check a base file and overlays; prints every mistake.',
  positionals: '',
  flags: {...settingsFlags, ...jsonFlag},
  async run(args, host) {
    const document = readDocument(args, host);
    const diagnostics = checkSettingsDocument(document);
    if (args.isSet('json')) {
      host.writeOut(`${JSON.stringify({diagnostics}, undefined, 2)}\n`);
      return diagnostics.length > 0 ? exitCodes.refused : exitCodes.done;
    }
    if (diagnostics.length > 0) return reportDiagnostics(diagnostics, host);
    const sites = readSiteNames(document.base);
    host.writeOut(`No mistakes; sites: ${sites.join(', ')}.\n`);
    return exitCodes.done;
  },
};

export const configRender: Command = {
  name: 'config render',
  summary: 'Show the settings of one site, base and overlay merged.',
  positionals: '',
  flags: {
    ...settingsFlags,
    site: {type: 'string', valueName: 'SITE', help: 'The site to show.'},
    ...jsonFlag,
  },
  async run(args, host) {
    const site = requireText(args, 'site');
    const result = readSiteSettings(readDocument(args, host), site);
    if (!result.settings) return reportDiagnostics(result.diagnostics, host);
    host.writeOut(
      args.isSet('json')
        ? `${JSON.stringify(result.settings, undefined, 2)}\n`
        : stringify(result.settings),
    );
    return exitCodes.done;
  },
};
