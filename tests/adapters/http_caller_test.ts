import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, test} from 'node:test';
import {createHttpCaller} from '../../src/adapters/http_caller.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CLOSING_HEAD = `${HEAD}Connection: close\r\n`;

interface Ending {
  readonly send: (socket: net.Socket) => void;
  readonly outcome: string;
}

const ENDINGS: Readonly<Record<string, Ending>> = {
  'a reset after the first bytes': {
    send(socket) {
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
    outcome: 'broken',
  },
  'a reset after the first bytes of an answer that closes': {
    send(socket) {
      socket.write(`${CLOSING_HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
    outcome: 'broken',
  },
  'a reset together with the last bytes': {
    send: socket =>
      void socket.write(`${CLOSING_HEAD}\r\nhalf`, () =>
        socket.resetAndDestroy(),
      ),
    outcome: 'broken',
  },
  'a reset before the answer': {
    send: socket => void socket.resetAndDestroy(),
    outcome: 'broken',
  },
  'a normal end': {
    send: socket => void socket.end(`${CLOSING_HEAD}\r\nall`),
    outcome: 'all',
  },
  'an end before its length': {
    send: socket => void socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`),
    outcome: 'broken',
  },
};

describe('an answer without length is complete only after a normal end', () => {
  // Guards against half of an answer that counts as complete: undici takes a
  // reset for the end of an answer without length.
  for (const [name, {send, outcome}] of Object.entries(ENDINGS)) {
    test(name, async context => {
      const server = net.createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => send(socket));
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const {port} = server.address() as net.AddressInfo;
      const caller = createHttpCaller(
        {clock: createSystemClock()},
        {
          origin: `http://127.0.0.1:${port}`,
          maxConnections: 2,
          maxAnswerBytes: 1_000,
        },
      );
      context.after(async () => {
        await caller.close();
        server.close();
      });
      const call = {method: 'GET', path: '/', timeoutMs: 1_000};
      const answer = await caller.call(call);
      const seen =
        answer.kind === 'answered'
          ? Buffer.from(answer.body).toString()
          : answer.reason;
      assert.equal(seen, outcome);
    });
  }
});
