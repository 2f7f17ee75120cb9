/** All commands, in the order in which help lists them. */

import type {Command} from './command.js';
import {configCheck, configRender} from './commands/config_commands.js';
import {bench, showVersion} from './commands/other_commands.js';
import {drain, status} from './commands/process_commands.js';
import {
  configApply,
  configHistory,
  configRollback,
  configShow,
} from './commands/revision_commands.js';
import {explain, relay} from './commands/relay_commands.js';
import {scenarioRun} from './commands/scenario_command.js';
import {serve} from './commands/serve_command.js';
import {standInCommands} from './commands/stand_in_command.js';

export const commands: readonly Command[] = [
  serve,
  relay,
  explain,
  configCheck,
  configRender,
  configApply,
  configShow,
  configHistory,
  configRollback,
  status,
  drain,
  ...standInCommands,
  bench,
  scenarioRun,
  showVersion,
];
