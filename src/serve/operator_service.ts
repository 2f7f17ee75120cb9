/** The operator service of a process: status, drain and configuration. */

import {Code, ConnectError, type ServiceImpl} from '@connectrpc/connect';
import type {
  ApplyOutcome,
  ConfigurationKeeper,
} from '../coordination/configuration.js';
import type {
  ApplyReplySchema,
  Operator,
} from '../generated/corianderbend/peer_pb.js';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {encodeRevision} from './configuration_host.js';

const HISTORY_LIMIT = 100;

export interface OperatorServiceHost {
  readonly keeper: ConfigurationKeeper;
  /** Returned as JSON; see docs/operators/cli.md. */
  readStatus(): unknown;
  startDrain(boundMs: number): void;
}

type ApplyReplyInit = MessageInitShape<typeof ApplyReplySchema>;

type ReplyBuilders = {
  readonly [K in ApplyOutcome['kind']]: (
    outcome: Extract<ApplyOutcome, {kind: K}>,
  ) => ApplyReplyInit;
};

const replyBuilders: ReplyBuilders = {
  accepted: ({accepted}) => ({
    kind: 'accepted',
    revision: accepted.revision,
    author: accepted.author,
  }),
  lost: ({to, difference}) => ({
    kind: 'lost',
    revision: to.revision,
    author: to.author,
    detail: difference,
  }),
  invalid: ({problems}) => ({kind: 'invalid', detail: problems.join('\n')}),
  refused: ({reason, retryAfterMs}) => ({
    kind: 'refused',
    detail: `${reason}; try again in ${Math.ceil(retryAfterMs)} ms`,
  }),
  unknown: ({changeId}) => ({kind: 'unknown', detail: changeId}),
};

function encodeOutcome(outcome: ApplyOutcome): ApplyReplyInit {
  const build = replyBuilders[outcome.kind] as (
    value: ApplyOutcome,
  ) => ApplyReplyInit;
  return build(outcome);
}

export function createOperatorService(
  host: OperatorServiceHost,
): ServiceImpl<typeof Operator> {
  const {keeper} = host;
  return {
    status: () => ({json: JSON.stringify(host.readStatus())}),
    drain(request) {
      host.startDrain(request.boundMs);
      return {};
    },
    async apply({body, basedOn, changeId, author, comment}) {
      const change = {body, basedOn, changeId, author, comment};
      return encodeOutcome(await keeper.apply(change));
    },
    async show({revision}) {
      if (revision === 0) {
        const current = keeper.current();
        return current
          ? {found: true, revision: encodeRevision(current)}
          : {found: false};
      }
      const read = await keeper.show(revision);
      if (read.kind === 'failed') {
        throw new ConnectError(read.reason, Code.Unavailable);
      }
      if (read.kind === 'absent') return {found: false};
      return {found: true, revision: encodeRevision(read.revision)};
    },
    async history() {
      const read = await keeper.history(HISTORY_LIMIT);
      if (read.kind === 'failed') {
        throw new ConnectError(read.reason, Code.Unavailable);
      }
      const revisions = read.value.map(row =>
        encodeRevision({...row, body: ''}),
      );
      return {revisions};
    },
  };
}
