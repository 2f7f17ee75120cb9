/**
 * The server for other processes of the system and for operators: Connect over
 * HTTP/2 on the peer address. Calls must carry the peer key, or the operator
 * key for the operator service.
 */

import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2';
import {
  Code,
  ConnectError,
  type ConnectRouter,
  type Interceptor,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {listenOn} from '../adapters/listen.js';
import {hasValidKey} from '../adapters/peer_connection.js';
import {Operator} from '../generated/corianderbend/peer_pb.js';

export interface PeerServerKeys {
  readonly peerKey: string;
  readonly operatorKey: string;
}

export interface PeerServer {
  listen(address: string): Promise<void>;
  close(): Promise<void>;
}

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Rejects calls without the key that their service requires. */
function createKeyCheck(keys: PeerServerKeys): Interceptor {
  return next => async request => {
    const isOperator = request.service.typeName === Operator.typeName;
    const key = isOperator ? keys.operatorKey : keys.peerKey;
    if (!hasValidKey(request.header.get('authorization'), key)) {
      throw new ConnectError(
        'The key is missing or wrong.',
        Code.Unauthenticated,
      );
    }
    return next(request);
  };
}

export function createPeerServer(
  keys: PeerServerKeys,
  routes: (router: ConnectRouter) => void,
): PeerServer {
  const sessions = new Set<ServerHttp2Session>();
  const handler = connectNodeAdapter({
    routes,
    interceptors: [createKeyCheck(keys)],
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  const server: Http2Server = createServer((request, response) =>
    handler(request, response),
  );
  server.on('session', session => {
    sessions.add(session);
    session.on('error', () => session.destroy());
    session.once('close', () => sessions.delete(session));
  });
  return {
    listen: address => listenOn(server, address),
    close() {
      for (const session of sessions) session.close();
      return new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      });
    },
  };
}
