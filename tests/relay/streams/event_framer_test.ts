import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEventFramer} from '../../../src/relay/streams/event_framer.js';

const TEXT =
  ': c\n\nid: 1\ndata: a\n\n\r\nid:2\r\ndata: id: 9\r\n\r\n: d\n\ndata: c\n\nid: 4\ndata: d';
const WHOLE_BYTES = TEXT.indexOf('id: 4');

/** Pushes the text in parts, and takes what is ready after each of them. */
function frame(partBytes: number, take: 'takeWhole' | 'takeAll') {
  const framer = createEventFramer();
  const taken: string[] = [];
  const ids: string[] = [];
  let count = 0;
  for (let i = 0; i < TEXT.length; i += partBytes) {
    const events = framer.push(Buffer.from(TEXT.slice(i, i + partBytes)));
    count += events.count;
    if (events.lastId !== undefined) ids.push(events.lastId);
    const bytes = framer[take]();
    if (bytes) taken.push(bytes.toString());
  }
  return {framer, count, ids, text: taken.join('')};
}

test('events are counted and cut at their ends, however they arrive', () => {
  for (let partBytes = 1; partBytes <= TEXT.length; partBytes++) {
    const whole = frame(partBytes, 'takeWhole');
    assert.equal(whole.count, 3, `parts of ${partBytes}`);
    assert.equal(whole.ids.at(-1), '2');
    assert.equal(whole.text, TEXT.slice(0, WHOLE_BYTES));
    assert.equal(whole.framer.restBytes(), TEXT.length - WHOLE_BYTES);
    assert.equal(whole.framer.bytesSinceEvent(), TEXT.length - WHOLE_BYTES);
    assert.equal(String(whole.framer.takeAll()), TEXT.slice(WHOLE_BYTES));
    const all = frame(partBytes, 'takeAll');
    assert.deepEqual([all.count, all.text], [3, TEXT]);
    assert.deepEqual(all.ids, whole.ids);
  }
});
