/** Calls the operator service of a serve process over Connect. */

import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type Interceptor,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {isAddress} from '../core/settings_schema.js';
import {Operator} from '../generated/corianderbend/peer_pb.js';
import {
  RefusedError,
  requireText,
  UsageError,
  type CliHost,
  type FlagSpecs,
  type ParsedArguments,
} from './command.js';

export const operatorFlags: FlagSpecs = {
  peer: {
    type: 'string',
    valueName: 'IP:PORT',
    help: 'Peer address of any serve process.',
  },
  'operator-key-file': {
    type: 'string',
    valueName: 'FILE',
    help: 'File with the operator key; or set CORIANDERBEND_OPERATOR_KEY.',
  },
};

const OPERATOR_KEY_VARIABLE = 'CORIANDERBEND_OPERATOR_KEY';
const CALL_TIMEOUT_MS = 15_000;

export type OperatorClient = Client<typeof Operator>;

export function createOperatorClient(
  args: ParsedArguments,
  host: CliHost,
): OperatorClient {
  const peer = requireText(args, 'peer');
  if (!isAddress(peer)) {
    throw new UsageError(`--peer needs ip:port, not '${peer}'.`);
  }
  const key = readOperatorKey(args, host);
  const addKey: Interceptor = next => request => {
    request.header.set('authorization', `Bearer ${key}`);
    return next(request);
  };
  const transport = createConnectTransport({
    baseUrl: `http://${peer}`,
    httpVersion: '2',
    interceptors: [addKey],
    defaultTimeoutMs: CALL_TIMEOUT_MS,
  });
  return createClient(Operator, transport);
}

function readOperatorKey(args: ParsedArguments, host: CliHost): string {
  const file = args.getText('operator-key-file');
  const key = file
    ? host.readFile(file).trim()
    : host.getEnvironment(OPERATOR_KEY_VARIABLE);
  if (key) return key;
  throw new UsageError(
    `The operator key is missing; set ${OPERATOR_KEY_VARIABLE} or give --operator-key-file.`,
  );
}

const CODE_MESSAGES: ReadonlyMap<Code, string> = new Map([
  [Code.Unauthenticated, 'the operator key was refused'],
  [Code.PermissionDenied, 'the operator key was refused'],
  [Code.Unavailable, 'it cannot be reached'],
  [Code.DeadlineExceeded, 'it did not answer in time'],
  [Code.Unimplemented, 'it does not know this command'],
]);

/** Waits for a call and converts a failure to a one-sentence `RefusedError`. */
export async function callOperator<T>(
  args: ParsedArguments,
  call: Promise<T>,
): Promise<T> {
  try {
    return await call;
  } catch (error) {
    const failure = ConnectError.from(error);
    const reason = CODE_MESSAGES.get(failure.code) ?? failure.rawMessage;
    const peer = args.getText('peer') ?? '';
    throw new RefusedError(`${peer}: ${reason}.`);
  }
}
