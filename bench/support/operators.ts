/** Operators of a site of real processes, for the benches. */

import {randomUUID} from 'node:crypto';
import {createClient, type Client} from '@connectrpc/connect';
import {createPeerTransport} from '../../src/adapters/peer_connection.js';
import {
  Operator,
  type ApplyReply,
} from '../../src/generated/corianderbend/peer_pb.js';
import {OPERATOR_KEY, type FleetHost} from './fleet.js';

const CALL_TIMEOUT_MS = 8000;
const STATUS_TIMEOUT_MS = 500;

/** The parts of a status page that the benches look at. */
export interface SeenStatus {
  readonly configuration: {
    readonly inForceRevision: number;
    readonly headRevision: number;
  };
  readonly members: readonly {
    readonly hostId: string;
    readonly state: string;
  }[];
  /** Names and fences of the leases that the process holds. */
  readonly leases: readonly {readonly name: string}[];
  readonly journalPartitions: readonly number[];
  readonly homes: readonly {readonly shardId: string}[];
}

export interface ChangeWish {
  readonly body: string;
  readonly basedOn: number;
  readonly author: string;
}

export interface OperatorSeat {
  readonly host: FleetHost;
  /** Undefined when the process does not answer. */
  readStatus(): Promise<SeenStatus | undefined>;
  /** Asks again with the same change id until the outcome is known. */
  apply(wish: ChangeWish): Promise<ApplyReply & {readonly changeId: string}>;
  /** Change id of a revision; undefined when there is none. */
  readChangeId(revision: number): Promise<string | undefined>;
  readBody(): Promise<{readonly revision: number; readonly body: string}>;
}

const UNDECIDED: ReadonlySet<string> = new Set(['unknown', 'refused']);
const MAX_ASKS = 40;

async function applyUntilKnown(
  client: Client<typeof Operator>,
  wish: ChangeWish,
) {
  const changeId = randomUUID();
  for (let asks = 0; asks < MAX_ASKS; asks++) {
    try {
      const reply = await client.apply(
        {...wish, changeId, comment: 'bench'},
        {timeoutMs: CALL_TIMEOUT_MS},
      );
      if (!UNDECIDED.has(reply.kind)) return {...reply, changeId};
    } catch {
      // The process was killed; the change id lets the operator ask again.
    }
  }
  throw new Error('The outcome of a change stayed unknown.');
}

export function createOperatorSeat(host: FleetHost): OperatorSeat {
  const transport = createPeerTransport(host.peerAddress, OPERATOR_KEY);
  const client = createClient(Operator, transport);
  return {
    host,
    async readStatus() {
      try {
        const reply = await client.status({}, {timeoutMs: STATUS_TIMEOUT_MS});
        return JSON.parse(reply.json) as SeenStatus;
      } catch {
        return undefined;
      }
    },
    apply: wish => applyUntilKnown(client, wish),
    async readChangeId(revision) {
      const reply = await client.show({revision}, {timeoutMs: CALL_TIMEOUT_MS});
      return reply.revision?.changeId;
    },
    async readBody() {
      const reply = await client.show(
        {revision: 0},
        {timeoutMs: CALL_TIMEOUT_MS},
      );
      const {revision = 0, body = ''} = reply.revision ?? {};
      return {revision, body};
    },
  };
}
