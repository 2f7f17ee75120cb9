/**
 * The baseline processes of the `overhead` bench: `source` sends server-sent
 * events at an engine's pace, and `pipe` only relays each answer between
 * `undici` and `http`.
 */

import {createServer, type ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
import {Agent} from 'undici';

interface PacedStream {
  readonly response: ServerResponse;
  sent: number;
}

const FRAME = `data: ${JSON.stringify({
  id: 'chatcmpl-00000000000000000000000000000000',
  object: 'chat.completion.chunk',
  created: 1_790_000_000,
  model: 'aruande-koostaja',
  choices: [{index: 0, delta: {content: ' word'}, finish_reason: null}],
})}\n\n`;

function startSource(port: number, stepMs: number): void {
  const streams = new Set<PacedStream>();
  setInterval(() => {
    for (const stream of streams) {
      stream.sent++;
      stream.response.write(FRAME);
    }
  }, stepMs);
  createServer((request, response) => {
    request.resume();
    response.writeHead(200, {'content-type': 'text/event-stream'});
    const stream = {response, sent: 0};
    streams.add(stream);
    response.on('close', () => streams.delete(stream));
  }).listen(port, '127.0.0.1', () => console.log(`listens on ${port}`));
}

function startPipe(port: number, upstream: string): void {
  const agent = new Agent({connections: null, bodyTimeout: 0});
  createServer((request, response) => {
    const controller = new AbortController();
    response.on('close', () => controller.abort());
    agent
      .request({
        origin: upstream,
        path: '/',
        method: 'POST',
        body: request,
        signal: controller.signal,
      })
      .then(answer => {
        response.writeHead(answer.statusCode, {
          'content-type': 'text/event-stream',
        });
        pipeline(answer.body, response, () => undefined);
      })
      .catch(() => response.destroy());
  }).listen(port, '127.0.0.1', () => console.log(`listens on ${port}`));
}

const [role, port, rest] = process.argv.slice(2);
if (role === 'source') startSource(Number(port), Number(rest));
if (role === 'pipe') startPipe(Number(port), rest);
