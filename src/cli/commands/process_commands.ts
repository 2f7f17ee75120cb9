/** The commands `status` and `drain`, which call a serve process. */

import {stringify} from 'yaml';
import {
  exitCodes,
  jsonFlag,
  readCount,
  RefusedError,
  type Command,
} from '../command.js';
import {
  callOperator,
  createOperatorClient,
  operatorFlags,
} from '../operator_client.js';

const DEFAULT_BOUND_MS = 600_000;

export const status: Command = {
  name: 'status',
  summary: 'Show what a serve process knows and does.',
  positionals: '',
  flags: {...operatorFlags, ...jsonFlag},
  async run(args, host) {
    const client = createOperatorClient(args, host);
    const reply = await callOperator(args, client.status({}));
    const value = parseStatus(reply.json);
    host.writeOut(
      args.isSet('json')
        ? `${JSON.stringify(value, undefined, 2)}\n`
        : stringify(value),
    );
    return exitCodes.done;
  },
};

function parseStatus(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new RefusedError('The process answered with a broken status.');
  }
}

export const drain: Command = {
  name: 'drain',
  summary: 'Let a serve process leave: no new work, nothing cut.',
  positionals: '',
  flags: {
    'bound-ms': {
      type: 'string',
      valueName: 'MS',
      help: `Give up after this time; ${DEFAULT_BOUND_MS} without it.`,
    },
    ...operatorFlags,
  },
  async run(args, host) {
    const client = createOperatorClient(args, host);
    const boundMs = readCount(args, 'bound-ms') ?? DEFAULT_BOUND_MS;
    await callOperator(args, client.drain({boundMs}));
    host.writeOut(`${args.getText('peer')} is leaving.\n`);
    return exitCodes.done;
  },
};
