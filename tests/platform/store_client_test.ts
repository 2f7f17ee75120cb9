import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, test} from 'node:test';
import {createStoreClient} from '../../platform/store_client.js';
import {createHttpExchange} from '../../src/adapters/http_exchange.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';

const PAGE = JSON.stringify({rows: [], ver: 7, now_ms: 900});

const ANSWERS: Readonly<
  Record<string, {body: string; read: string; transaction: string}>
> = {
  whole: {body: PAGE, read: 'read', transaction: 'applied'},
  'cut in the middle': {
    body: PAGE.slice(0, 12),
    read: 'failed',
    transaction: 'unknown',
  },
  'cut before its first byte': {
    body: '',
    read: 'failed',
    transaction: 'unknown',
  },
};

describe('an answer of the store without length is used only if it is whole', () => {
  // Guards against a cut answer that is read as a table without rows: all
  // upstreams would have left.
  for (const [name, {body, read, transaction}] of Object.entries(ANSWERS)) {
    test(name, async context => {
      const server = net.createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () =>
          socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`),
        );
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const exchange = createHttpExchange({clock: createSystemClock()});
      context.after(() => {
        exchange.close();
        server.close();
      });
      const {port} = server.address() as net.AddressInfo;
      const store = createStoreClient(
        {exchange, onEra: () => undefined},
        `127.0.0.1:${port}`,
      );
      const table = await store.readTable('servers', 1_000);
      assert.equal(table.kind, read);
      const empty = {conditions: [], puts: [], deletes: []};
      const outcome = await store.transact(empty, 1_000);
      assert.equal(outcome.kind, transaction);
    });
  }
});
