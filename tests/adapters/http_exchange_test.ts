import assert from 'node:assert/strict';
import net from 'node:net';
import {afterEach, test} from 'node:test';
import {
  createHttpExchange,
  readWhole,
  type HttpExchange,
  type HttpExchangeCall,
} from '../../src/adapters/http_exchange.js';
import {createSystemClock} from '../../src/adapters/system_clock.js';

type Behaviour = (socket: net.Socket, request: string) => void;

const servers: net.Server[] = [];
const exchanges: HttpExchange[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
  for (const exchange of exchanges.splice(0)) exchange.close();
});

/** A server that calls a handler for each request on a connection. */
async function listen(behaviour: Behaviour): Promise<string> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', bytes => behaviour(socket, bytes.toString('latin1')));
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function makeExchange(): HttpExchange {
  const exchange = createHttpExchange({clock: createSystemClock()});
  exchanges.push(exchange);
  return exchange;
}

function makeCall(
  address: string,
  changes: Partial<HttpExchangeCall> = {},
): HttpExchangeCall {
  return {
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', address],
    connectTimeoutMs: 1_000,
    answerTimeoutMs: 2_000,
    mayReuseConnection: false,
    ...changes,
  };
}

async function readBody(exchange: HttpExchange, call: HttpExchangeCall) {
  const head = await exchange.start(call);
  if (head.kind !== 'answered') return head.kind;
  const bytes = await readWhole(head.body, 1_000);
  return bytes?.toString() ?? 'broken';
}

test('an answer without a length that ends in a reset is not complete', async () => {
  // Guards against forwarding half of an answer as a complete one: the upstream
  // crashes while it sends a body that is delimited by the end of the
  // connection, and Node reports the reset as that end.
  const address = await listen(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  assert.equal(await readBody(makeExchange(), makeCall(address)), 'broken');
});

test('an answer without a length that ends normally is complete', async () => {
  const address = await listen(socket => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
  });
  assert.equal(await readBody(makeExchange(), makeCall(address)), 'all of it');
});

/** Answers half of a body without a length before it reads the upload. */
function answerEarly(end: (socket: net.Socket) => void): Behaviour {
  return socket => {
    socket.pause();
    socket.removeAllListeners('data');
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    end(socket);
  };
}

/** Ends the answer, and resets the connection later. */
const resetLater = (delayMs: number) => (socket: net.Socket) => {
  socket.end();
  setTimeout(() => socket.resetAndDestroy(), delayMs);
};

for (const size of [100_000, 4_000_000]) {
  for (const delayMs of [5, 100]) {
    test(`half an answer to an upload of ${size} bytes is not complete if its reset follows the end by ${delayMs} ms`, async () => {
      // Guards against an upstream that answers, closes and reads nothing more.
      const address = await listen(answerEarly(resetLater(delayMs)));
      const call = makeCall(address, {
        method: 'POST',
        body: Buffer.alloc(size),
      });
      assert.equal(await readBody(makeExchange(), call), 'broken');
    });
  }
}

test('an early answer without a length that ends while its upload is written is not complete', async () => {
  // Guards against taking the part that has arrived for the whole answer.
  const address = await listen(answerEarly(socket => void socket.end()));
  const call = makeCall(address, {method: 'POST', body: Buffer.alloc(4e6)});
  assert.equal(await readBody(makeExchange(), call), 'broken');
});

test('an early answer whose framing shows its end is complete', async () => {
  // Guards against failing sound answers to uploads that are not read.
  const framings = [
    'Content-Length: 3\r\n\r\nall',
    'Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n',
  ];
  for (const framed of framings) {
    const address = await listen(socket => {
      socket.removeAllListeners('data');
      socket.end(`HTTP/1.1 200 OK\r\n${framed}`);
    });
    const call = makeCall(address, {method: 'POST', body: Buffer.alloc(4e6)});
    assert.equal(await readBody(makeExchange(), call), 'all');
  }
});

test('an early failure without a length reaches the caller', async () => {
  // Guards against replacing the reason for which an upload is rejected.
  const address = await listen(socket => {
    socket.pause();
    socket.end('HTTP/1.1 413 Too Large\r\n\r\ntoo large');
  });
  const call = makeCall(address, {method: 'POST', body: Buffer.alloc(4e6)});
  assert.equal(await readBody(makeExchange(), call), 'too large');
});

test('an answer without a length to an upload that was read is complete', async () => {
  let sizeBytes = 0;
  const address = await listen((socket, text) => {
    sizeBytes += text.length;
    if (sizeBytes < 4e6) return;
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
  });
  const call = makeCall(address, {method: 'POST', body: Buffer.alloc(4e6)});
  assert.equal(await readBody(makeExchange(), call), 'all of it');
});

for (const status of ['101', '600', '999']) {
  test(`an answer with the status ${status} is not passed on`, async () => {
    // Guards against numbers that no caller can take for an outcome.
    const address = await listen(socket => {
      const length = 'Content-Length: 2\r\n\r\nok';
      socket.end(`HTTP/1.1 ${status} Odd\r\n${length}`);
    });
    assert.equal(await readBody(makeExchange(), makeCall(address)), 'broken');
  });
}

test('an answer shorter than its length is not complete', async () => {
  const address = await listen(socket => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf');
  });
  assert.equal(await readBody(makeExchange(), makeCall(address)), 'broken');
});

test('an answer of its length is complete, whatever follows it', async () => {
  // Guards against a body whose end is never reported: the bytes after it fail
  // the connection before anything reads the body.
  const address = await listen(socket => {
    const head = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n';
    socket.write(`${head}all of itand more`);
  });
  assert.equal(await readBody(makeExchange(), makeCall(address)), 'all of it');
});

test('a body that breaks off before it is read is reported as broken', async () => {
  // Guards against a reader that waits forever for an end that has passed.
  const address = await listen(socket => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf');
  });
  const head = await makeExchange().start(makeCall(address));
  assert.ok(head.kind === 'answered');
  await new Promise(resolve => setTimeout(resolve, 100));
  assert.equal(await readWhole(head.body, 1_000), undefined);
});

test('a second answer on a reused connection is not taken for that of the next call', async () => {
  // Guards against giving a caller the answer to another request: the upstream
  // sends an extra answer, which is read as that of the next call on the same
  // connection.
  let connections = 0;
  const address = await listen((socket, request) => {
    if (request.includes('/first')) {
      connections++;
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none');
      setTimeout(
        () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'),
        20,
      );
    } else {
      connections++;
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo');
    }
  });
  const exchange = makeExchange();
  const reuse = {mayReuseConnection: true};
  const first = makeCall(address, {...reuse, target: '/first'});
  assert.equal(await readBody(exchange, first), 'one');
  await new Promise(resolve => setTimeout(resolve, 60));
  const second = makeCall(address, {...reuse, target: '/second'});
  assert.equal(await readBody(exchange, second), 'two');
  assert.equal(connections, 2);
});

test('a call to an address without a listener is reported as not sent', async () => {
  const address = await listen(() => undefined);
  const server = servers.pop()!;
  await new Promise(resolve => server.close(resolve));
  assert.equal(
    (await makeExchange().start(makeCall(address))).kind,
    'unreachable',
  );
});

test('a request that was sent before a reset is reported as possibly run', async () => {
  const address = await listen(socket => socket.resetAndDestroy());
  assert.equal((await makeExchange().start(makeCall(address))).kind, 'broken');
});

test('a call without an answer ends at its timeout and closes its connection', async () => {
  let closed = false;
  const address = await listen(socket => {
    socket.on('close', () => {
      closed = true;
    });
  });
  const call = makeCall(address, {answerTimeoutMs: 50});
  assert.equal((await makeExchange().start(call)).kind, 'broken');
  await new Promise(resolve => setTimeout(resolve, 30));
  assert.equal(closed, true);
});

test('a body that never ends is broken off at the timeout of its call', async () => {
  // Guards against calls without an end, whether or not the body is read.
  let closedCount = 0;
  const address = await listen(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n');
    const timer = setInterval(() => socket.write('more'), 5);
    socket.on('close', () => {
      clearInterval(timer);
      closedCount++;
    });
  });
  const call = makeCall(address, {answerTimeoutMs: 200});
  const exchange = makeExchange();
  assert.equal(await readBody(exchange, call), 'broken');
  assert.equal((await exchange.start(call)).kind, 'answered');
  for (let i = 0; i < 500 && closedCount < 2; i++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  assert.equal(closedCount, 2);
});

test('an answer that arrived while this process was suspended counts', async () => {
  // Guards against calls that fail, and upstreams that are blamed, since the
  // timers of this host ran before it read what had arrived in time.
  const address = await listen(socket => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none');
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1_500);
  });
  const call = makeCall(address, {answerTimeoutMs: 1_000});
  assert.equal(await readBody(makeExchange(), call), 'one');
});

test('an answer without a length that ends in a reset is not complete on a reused connection', async () => {
  const address = await listen((socket, request) => {
    if (request.includes('/first')) {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none');
      return;
    }
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const exchange = makeExchange();
  const reuse = {mayReuseConnection: true};
  const first = makeCall(address, {...reuse, target: '/first'});
  assert.equal(await readBody(exchange, first), 'one');
  const second = makeCall(address, {...reuse, target: '/second'});
  assert.equal(await readBody(exchange, second), 'broken');
});

test('a reset that arrives together with the last bytes is detected', async () => {
  // Node then reports a normal end and no error.
  const address = await listen(socket => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
      socket.resetAndDestroy();
    });
    const until = Date.now() + 30;
    while (Date.now() < until);
  });
  for (let i = 0; i < 5; i++) {
    assert.equal(await readBody(makeExchange(), makeCall(address)), 'broken');
  }
});

test('a reused connection keeps no listeners of earlier calls', async () => {
  // Guards against memory use that grows with each call on a connection.
  const warnings: string[] = [];
  const note = ({name}: Error) => void warnings.push(name);
  process.on('warning', note);
  const address = await listen(socket => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const exchange = makeExchange();
  const call = makeCall(address, {mayReuseConnection: true});
  for (let i = 0; i < 30; i++) {
    assert.equal(await readBody(exchange, call), 'ok');
  }
  process.off('warning', note);
  assert.deepEqual(warnings, []);
});

test('a connection that is reset before the first byte was never used', async () => {
  // Guards against reporting that a call may have run although an upstream with
  // a full queue resets connections as soon as it accepts them.
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const changes = {method: 'POST', body: Buffer.from('once')};
  const exchange = makeExchange();
  const waits = makeCall(address, {...changes, firstByteDelayMs: 100});
  const outcome = await exchange.start(waits);
  assert.equal(outcome.kind, 'unreachable');
  assert.ok(outcome.kind === 'unreachable' && outcome.wasConnected);
  const sends = await exchange.start(makeCall(address, changes));
  assert.ok(sends.kind === 'broken' && sends.wasReset);
});

test('a call whose first byte waits is sent whole', async () => {
  const address = await listen((socket, request) => {
    const length = String(request.endsWith('once') ? 4 : 0);
    socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\ngood`);
  });
  const body = Buffer.from('once');
  const changes = {method: 'POST', body, firstByteDelayMs: 5};
  const call = makeCall(address, changes);
  assert.equal(await readBody(makeExchange(), call), 'good');
});
