import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createLineLoggers,
  type LineSink,
} from '../../src/adapters/line_logger.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';

function makeSink() {
  const lines: string[] = [];
  let isStalled = false;
  let onWritable = () => undefined as void;
  const sink: LineSink = {
    write(line) {
      lines.push(line);
      return !isStalled;
    },
    onWritable(listener) {
      onWritable = listener;
    },
  };
  return {
    lines,
    sink,
    stall() {
      isStalled = true;
    },
    drain() {
      isStalled = false;
      onWritable();
    },
  };
}

function makeLoggers(sink: LineSink) {
  const clock = createVirtualClock(1_000);
  let dropped = 0;
  const createLogger = createLineLoggers(
    {clock, sink, onDropped: () => dropped++},
    {hostId: 'h1', level: 'info'},
  );
  return {clock, createLogger, dropped: () => dropped};
}

test('a line has the host, the part, the monotonic time and the fields', () => {
  const {lines, sink} = makeSink();
  const {createLogger} = makeLoggers(sink);
  createLogger('request').info('Request answered.', {
    request: 'r1',
    waitedMs: 3,
  });
  const line = JSON.parse(lines[0]) as Record<string, unknown>;
  assert.equal(line.host, 'h1');
  assert.equal(line.part, 'request');
  assert.equal(line.steadyMs, 1_000);
  assert.equal(line.request, 'r1');
  assert.equal(line.waitedMs, 3);
});

test('a stalled reader makes the logger drop lines and does not block it', async () => {
  // Guards against requests that wait for a log whose reader has stopped:
  // lines are kept in a bounded buffer.
  const {lines, sink, stall, drain} = makeSink();
  const {clock, createLogger, dropped} = makeLoggers(sink);
  const log = createLogger('request');
  stall();
  for (let second = 0; second < 10; second++) {
    for (let i = 0; i < 100; i++) log.warn('Not answered.', {request: `r${i}`});
    await clock.advance(1_000);
  }
  assert.equal(lines.length, 1, 'nothing is written while the reader stalls');
  assert.ok(dropped() > 0);
  drain();
  log.info('Going on.');
  const droppedCounts = lines.map(
    text => (JSON.parse(text) as {linesLeftOut?: number}).linesLeftOut ?? 0,
  );
  assert.match(lines.at(-1) ?? '', /Going on/);
  assert.equal(
    droppedCounts.reduce((sum, count) => sum + count, 0),
    dropped(),
    'every dropped line is counted in a written one',
  );
  assert.ok(lines.length <= 402);
});

test('a burst of ordinary lines does not displace warnings', () => {
  const {lines, sink} = makeSink();
  const {createLogger} = makeLoggers(sink);
  const log = createLogger('request');
  for (let i = 0; i < 1_000; i++) log.info('Request answered.');
  log.warn('Request not answered.', {request: 'lost'});
  assert.ok(lines.length < 300);
  assert.match(lines.at(-1) ?? '', /"request":"lost"/);
});
