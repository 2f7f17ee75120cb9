/** Operator clients for the benches that run a site of real processes. */

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

/** The parts of a host status that the benches read. */
export interface HostStatus {
  readonly configuration: {
    readonly inForceRevision: number;
    readonly headRevision: number;
  };
  readonly members: readonly {
    readonly hostId: string;
    readonly state: string;
  }[];
  /** The leases that the process holds. */
  readonly leases: readonly {readonly name: string}[];
  readonly journalPartitions: readonly number[];
  readonly homes: readonly {readonly shardId: string}[];
}

export interface ChangeRequest {
  readonly body: string;
  readonly basedOn: number;
  readonly author: string;
}

export interface OperatorClient {
  readonly host: FleetHost;
  /** Returns undefined if the process does not answer. */
  readStatus(): Promise<HostStatus | undefined>;
  /** Retries with the same change id until the outcome is known. */
  apply(wish: ChangeRequest): Promise<ApplyReply & {readonly changeId: string}>;
  /** Returns undefined if the revision does not exist. */
  readChangeId(revision: number): Promise<string | undefined>;
  readBody(): Promise<{readonly revision: number; readonly body: string}>;
}

const RETRIED_REPLY_KINDS: ReadonlySet<string> = new Set([
  'unknown',
  'refused',
]);
const MAX_ATTEMPTS = 40;

async function applyUntilDecided(
  client: Client<typeof Operator>,
  wish: ChangeRequest,
) {
  const changeId = randomUUID();
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
    try {
      const reply = await client.apply(
        {...wish, changeId, comment: 'bench'},
        {timeoutMs: CALL_TIMEOUT_MS},
      );
      if (!RETRIED_REPLY_KINDS.has(reply.kind)) return {...reply, changeId};
    } catch {
      // The process was killed. The change id makes the retry safe.
    }
  }
  throw new Error('The outcome of a change is unknown after the last attempt.');
}

export function createOperatorClient(host: FleetHost): OperatorClient {
  const transport = createPeerTransport(host.peerAddress, OPERATOR_KEY);
  const client = createClient(Operator, transport);
  return {
    host,
    async readStatus() {
      try {
        const reply = await client.status({}, {timeoutMs: STATUS_TIMEOUT_MS});
        return JSON.parse(reply.json) as HostStatus;
      } catch {
        return undefined;
      }
    },
    apply: wish => applyUntilDecided(client, wish),
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
