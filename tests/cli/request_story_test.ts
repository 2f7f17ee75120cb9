import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  findStory,
  formatStory,
  parseLogLine,
} from '../../src/cli/request_story.js';

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

test('a request is told from the lines of many hosts, and its engine with it', () => {
  // An engineer has an id and the logs of two hosts, whose clocks differ, with
  // a torn line among them: the engine died, as the other host saw first.
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
  const story = findStory(lines, 'r1');
  assert.deepEqual(
    story.map(({message}) => message),
    [
      'Upstream unreachable.',
      'Placed.',
      'Stream broke.',
      'Request not answered.',
    ],
  );
  assert.match(formatStory(story), / {3}400 ms {2}a {2}\[request\].*end=cut/);
  assert.deepEqual(findStory(lines, 'unknown'), []);
});
