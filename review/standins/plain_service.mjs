/**
 * An engine of a plain service. It records what it runs, and whether the
 * connection was still open when it had an answer.
 */
import http from 'node:http';

const HEARTBEAT_MS = 1_200;

export async function startPlainService({store, id, service, zone, workMs}) {
  const slots = 6;
  const queueLength = 24;
  const runs = [];
  const queue = [];
  let running = 0;
  let seq = 0;

  function startNext() {
    while (running < slots && queue.length > 0) {
      const {message, response} = queue.shift();
      if (!response.destroyed) run(message, response);
    }
  }

  function run(message, response) {
    const record = {
      id: message.headers['x-request-id'],
      account: message.headers['x-tenant'],
      startedAtMs: Date.now(),
    };
    runs.push(record);
    running++;
    setTimeout(() => {
      running--;
      record.endedAtMs = Date.now();
      record.couldAnswer = !response.destroyed;
      if (!response.destroyed) {
        const body = JSON.stringify({engine: id, request: record.id});
        response.writeHead(200, {
          'X-Request-Id': record.id,
          'X-Engine-Stamp': `${id}.${runs.length}`,
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(body),
        });
        response.end(body);
      }
      startNext();
    }, workMs());
  }

  function refuse(message, response, status) {
    response.writeHead(status, {
      'X-Request-Id': message.headers['x-request-id'] ?? '',
      'X-Not-Run': '1',
      'X-Instance-Id': id,
      'Content-Length': 0,
    });
    response.end();
  }

  function handle(message, response) {
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      return refuse(message, response, 421);
    }
    if (message.url === '/corianderbend/report' || message.url === '/healthz') {
      response.writeHead(200, {'X-Instance-Id': id, 'Content-Length': 0});
      return response.end();
    }
    if (message.headers['x-request-id'] === undefined) {
      return refuse(message, response, 400);
    }
    if (queue.length >= queueLength) return refuse(message, response, 503);
    queue.push({message, response});
    startNext();
  }

  const server = http.createServer((message, response) => {
    message.resume();
    message.on('end', () => handle(message, response));
  });
  server.keepAliveTimeout = 15_000;
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;

  const beat = () =>
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: ++seq,
    });
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);

  return {
    id,
    runs,
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
