import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createLoggerFactory,
  parseLogLevels,
  type LogFormat,
} from '../../src/adapters/consola_logger.js';

const levels = parseLogLevels('info,journal=debug,entry=error');

function writeLines(format: LogFormat): readonly string[] {
  if (typeof levels === 'string') throw new Error(levels);
  const lines: string[] = [];
  const create = createLoggerFactory(levels, {
    format,
    write: line => void lines.push(line),
    wallMs: () => 0,
  });
  create('journal').debug('Intent is durable.', {requestId: 'r1', intents: 3});
  create('entry').warn('Not written.');
  create('home').debug('Not written.');
  create('home').info('Broken\nin two.', {
    peerKey: 'secret',
    detail: 'two words',
    absent: undefined,
  });
  return lines;
}

test('text lines have the part as prefix and no secrets', () => {
  assert.deepEqual(writeLines('text'), [
    '1970-01-01T00:00:00.000Z debug [journal] Intent is durable. requestId=r1 intents=3\n',
    '1970-01-01T00:00:00.000Z info  [home] Broken in two. peerKey="[hidden]" detail="two words"\n',
  ]);
});

test('JSON lines have the same contents', () => {
  const parsed: unknown[] = writeLines('json').map(line => JSON.parse(line));
  assert.deepEqual(parsed, [
    {
      time: '1970-01-01T00:00:00.000Z',
      level: 'debug',
      part: 'journal',
      message: 'Intent is durable.',
      requestId: 'r1',
      intents: 3,
    },
    {
      time: '1970-01-01T00:00:00.000Z',
      level: 'info',
      part: 'home',
      message: 'Broken\nin two.',
      peerKey: '[hidden]',
      detail: 'two words',
    },
  ]);
});

test('an unknown level is reported', () => {
  assert.match(String(parseLogLevels('journal=loud')), /'loud'/);
});
