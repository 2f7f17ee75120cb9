import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  findTimeline,
  formatTimeline,
  parseLogLine,
} from '../../src/cli/request_timeline.js';

function line(
  time: string,
  host: string,
  steadyMs: number,
  part: string,
  message: string,
  fields: object,
): string {
  const base = {time: `2026-12-02T10:00:${time}Z`, steadyMs, host};
  return JSON.stringify({...base, level: 'info', part, message, ...fields});
}

test('the timeline of a request has its lines and those of its engine from all hosts', () => {
  // The engine fails, which the other host notices first. The clocks of the two
  // hosts differ, and one log line is truncated.
  const texts = [
    line('05.000', 'b', 900, 'upstreams', 'Upstream unreachable.', {
      upstream: 'e1',
    }),
    line('05.300', 'a', 120, 'stream', 'Stream broke.', {
      request: 'r1',
      upstream: 'e1',
    }),
    line('05.100', 'a', 100, 'scheduler', 'Placed.', {
      request: 'r1',
      upstream: 'e1',
    }),
    line('05.200', 'a', 110, 'scheduler', 'Placed.', {
      request: 'r2',
      upstream: 'e1',
    }),
    '{"time":"2026-12-02T10:00:05.4',
    `  12.5 host-a ${line(
      '05.400',
      'a',
      130,
      'request',
      'Request not answered.',
      {
        request: 'r1',
        end: 'cut',
      },
    )}`,
  ];
  const lines = texts.flatMap(text => parseLogLine(text) ?? []);
  const timeline = findTimeline(lines, 'r1');
  assert.deepEqual(
    timeline.map(({message}) => message),
    [
      'Upstream unreachable.',
      'Placed.',
      'Stream broke.',
      'Request not answered.',
    ],
  );
  assert.match(
    formatTimeline(timeline),
    / {3}400 ms {2}a {2}\[request\].*end=cut/,
  );
  assert.deepEqual(findTimeline(lines, 'unknown'), []);
});
