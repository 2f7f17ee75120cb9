/**
 * The commands `config apply`, `show`, `history` and `rollback`, which read and
 * change configuration revisions through a serve process.
 */

import {
  checkSettingsDocument,
  formatSettingsDocument,
  parseSettingsDocument,
} from '../../core/settings_document.js';
import type {
  ApplyReply,
  ConfigurationRevision,
} from '../../generated/corianderbend/peer_pb.js';
import {
  exitCodes,
  jsonFlag,
  readCount,
  RefusedError,
  UsageError,
  type CliHost,
  type Command,
  type FlagSpecs,
  type ParsedArguments,
} from '../command.js';
import {
  callOperator,
  createOperatorClient,
  operatorFlags,
  type OperatorClient,
} from '../operator_client.js';
import {
  readDocument,
  reportDiagnostics,
  settingsFlags,
} from '../settings_files.js';

const changeFlags: FlagSpecs = {
  'based-on': {
    type: 'string',
    valueName: 'REVISION',
    help: 'The revision you started from; without it, the newest.',
  },
  'change-id': {
    type: 'string',
    valueName: 'ID',
    help: 'Name of the change; give the same one to repeat an apply.',
  },
  author: {type: 'string', valueName: 'NAME', help: 'Who makes the change.'},
  comment: {type: 'string', valueName: 'TEXT', help: 'Why.'},
};

export const configApply: Command = {
  name: 'config apply',
  summary: 'Check settings and make them the next revision at every site.',
  positionals: '',
  flags: {...settingsFlags, ...operatorFlags, ...changeFlags, ...jsonFlag},
  async run(args, host) {
    const document = readDocument(args, host);
    const diagnostics = checkSettingsDocument(document);
    if (diagnostics.length > 0) return reportDiagnostics(diagnostics, host);
    const client = createOperatorClient(args, host);
    return applyBody(formatSettingsDocument(document), client, args, host);
  },
};

async function applyBody(
  body: string,
  client: OperatorClient,
  args: ParsedArguments,
  host: CliHost,
): Promise<number> {
  const basedOn =
    readCount(args, 'based-on') ??
    (await getCurrentRevisionNumber(client, args));
  const changeId = args.getText('change-id') ?? host.nextId();
  const reply = await callOperator(
    args,
    client.apply({
      body,
      basedOn,
      changeId,
      author: args.getText('author') ?? host.getUserName(),
      comment: args.getText('comment') ?? '',
    }),
  );
  const code = reply.kind === 'accepted' ? exitCodes.done : exitCodes.refused;
  if (args.isSet('json')) {
    const {kind, revision, detail, author} = reply;
    writeJson(host, {kind, revision, detail, author, changeId});
  } else {
    const write = code === exitCodes.done ? host.writeOut : host.writeError;
    write(`${formatApplyReply(reply, changeId)}\n`);
  }
  return code;
}

async function getCurrentRevisionNumber(
  client: OperatorClient,
  args: ParsedArguments,
): Promise<number> {
  const current = await callOperator(args, client.show({revision: 0}));
  return current.found ? (current.revision?.revision ?? 0) : 0;
}

type ApplyFormatter = (reply: ApplyReply, changeId: string) => string;

const applyFormatters: ReadonlyMap<string, ApplyFormatter> = new Map([
  ['accepted', (reply: ApplyReply) => `Yours is revision ${reply.revision}.`],
  [
    'lost',
    (reply: ApplyReply) =>
      `Not applied: lost to revision ${reply.revision} by ${reply.author}.` +
      (reply.detail && `\n${reply.detail}`),
  ],
  [
    'unknown',
    (_: ApplyReply, changeId: string) =>
      `Not known whether it was applied. Repeat with --change-id ${changeId}.`,
  ],
]);

function formatApplyReply(reply: ApplyReply, changeId: string): string {
  const format = applyFormatters.get(reply.kind);
  if (format) return format(reply, changeId);
  return `Not applied (${reply.kind}): ${reply.detail}`;
}

export const configShow: Command = {
  name: 'config show',
  summary: 'Show the revision in force at a serve process, or an older one.',
  positionals: '',
  flags: {
    ...operatorFlags,
    revision: {
      type: 'string',
      valueName: 'REVISION',
      help: 'The revision to show; without it, the one in force.',
    },
    ...jsonFlag,
  },
  async run(args, host) {
    const client = createOperatorClient(args, host);
    const revision = await fetchRevision(
      client,
      args,
      readCount(args, 'revision') ?? 0,
    );
    if (args.isSet('json')) writeJson(host, toJson(revision));
    else host.writeOut(formatRevision(revision));
    return exitCodes.done;
  },
};

async function fetchRevision(
  client: OperatorClient,
  args: ParsedArguments,
  number: number,
): Promise<ConfigurationRevision> {
  const reply = await callOperator(args, client.show({revision: number}));
  if (reply.found && reply.revision) return reply.revision;
  throw new RefusedError(
    number === 0
      ? 'No configuration has been accepted yet.'
      : `The process does not have revision ${number}.`,
  );
}

function formatRevision(revision: ConfigurationRevision): string {
  const {document} = parseSettingsDocument(revision.body);
  const head = `# ${formatRevisionLine(revision)}\n`;
  if (!document) return head + revision.body;
  const overlays = [...document.overlays].map(
    ([site, {file, text}]) => `# Overlay of ${site}, from ${file}\n${text}`,
  );
  const {file, text} = document.base;
  return [head, `# Base, from ${file}\n${text}`, ...overlays].join('\n');
}

function formatRevisionLine(revision: ConfigurationRevision): string {
  const time = new Date(revision.appliedAtMs).toISOString();
  const comment = revision.comment && `: ${revision.comment}`;
  return `revision ${revision.revision}, ${time}, ${revision.author}${comment}`;
}

function toJson(revision: ConfigurationRevision) {
  const {changeId, author, appliedAtMs, body, comment} = revision;
  return {
    revision: revision.revision,
    changeId,
    author,
    appliedAtMs,
    comment,
    body,
  };
}

export const configHistory: Command = {
  name: 'config history',
  summary: 'List the accepted revisions.',
  positionals: '',
  flags: {...operatorFlags, ...jsonFlag},
  async run(args, host) {
    const client = createOperatorClient(args, host);
    const {revisions} = await callOperator(args, client.history({}));
    if (args.isSet('json')) {
      writeJson(host, {revisions: revisions.map(toJson)});
    } else {
      for (const revision of revisions) {
        host.writeOut(`${formatRevisionLine(revision)}\n`);
      }
    }
    return exitCodes.done;
  },
};

export const configRollback: Command = {
  name: 'config rollback',
  summary: 'Make the text of an older revision the next one.',
  positionals: '',
  flags: {
    to: {
      type: 'string',
      valueName: 'REVISION',
      help: 'The revision whose text comes back.',
    },
    ...operatorFlags,
    ...changeFlags,
    ...jsonFlag,
  },
  async run(args, host) {
    const number = readCount(args, 'to');
    if (!number) throw new UsageError('The flag --to is missing.');
    const client = createOperatorClient(args, host);
    const {body} = await fetchRevision(client, args, number);
    return applyBody(body, client, args, host);
  },
};

function writeJson(host: CliHost, value: unknown): void {
  host.writeOut(`${JSON.stringify(value, undefined, 2)}\n`);
}
