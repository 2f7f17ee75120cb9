import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {RawHeaders} from '../../../src/ports/relay.js';
import type {Caller} from '../../../src/relay/front/caller.js';
import {createRawFront, post, until} from './raw_front.js';

/** Heads that Node doesn't write. */
const HEADS: Readonly<Record<string, readonly [number, RawHeaders]>> = {
  'a control byte in a value': [200, ['X-Odd', 'a\x01b']],
  'a blank in a name': [200, ['X Odd', 'a']],
  'the status 0': [0, []],
};
const SOUND = 'HTTP/1.1 200 OK';
const FAILED = 'HTTP/1.1 502 ';

type Begin = (caller: Caller) => void;

/** Requests to `/odd` begin by `begin`; the test answers the others. */
async function startFront(t: TestContext, begin: Begin) {
  const callers: Caller[] = [];
  const disconnected: string[] = [];
  const front = await createRawFront(t, {
    async handle(request, caller) {
      const {target} = request;
      callers.push(caller);
      caller.onDisconnect(() => disconnected.push(target));
      if (target !== '/odd') return caller.noteShape('whole');
      caller.noteShape('in-parts');
      try {
        begin(caller);
      } catch {
        // The next event of a stream comes all the same.
      }
      caller.write(Buffer.from('data: 1\n\n'));
      caller.end();
    },
  });
  return {front, callers, disconnected};
}

const get = (target: string) => post([]).replace('POST / ', `GET ${target} `);

for (const [name, [status, headers]] of Object.entries(HEADS)) {
  test(`a caller gets an error if the head of its answer has ${name}`, async t => {
    // Guards against an empty body under a status 200 that Node writes of itself.
    const {front, callers, disconnected} = await startFront(t, caller =>
      caller.begin(status, headers),
    );
    const connection = await front.connect(get('/odd'));
    await connection.receives('\r\n\r\n');
    assert.ok(connection.received().startsWith(FAILED), connection.received());
    await connection.receives('CB3003');
    assert.doesNotMatch(connection.received(), /data: 1/);
    assert.deepEqual(disconnected, ['/odd']);
    assert.equal(callers.length, 1);
  });

  test(`a caller gets an error behind another answer if its head has ${name}`, async t => {
    // Guards against an answer that waits for its turn and then never comes.
    const {front, callers} = await startFront(t, caller =>
      caller.begin(status, headers, 9),
    );
    const connection = await front.connect(get('/first') + get('/odd'));
    await until(() => callers.length === 2);
    callers[0].begin(200, [], 2);
    callers[0].write(Buffer.from('ok'));
    callers[0].end();
    await connection.receives('CB3003');
    const answers = connection.received();
    assert.ok(answers.startsWith(SOUND));
    assert.ok(answers.includes(FAILED));
    assert.doesNotMatch(answers, /data: 1/);
  });
}
