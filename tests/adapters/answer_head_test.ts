import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findHeadFault} from '../../src/adapters/answer_head.js';
import {
  BYTES,
  NON_TOKEN_BYTES,
  NON_VALUE_BYTES,
} from '../support/broken_heads.js';

const NEWLINES = ['\r', '\n'];
const OK = 200;

/** The bytes that make a head faulty where `toField` puts them. */
function findFaulty(
  toField: (byte: string) => readonly [string, string],
): readonly string[] {
  return BYTES.filter(byte => {
    const headers = ['X-First', '1', ...toField(byte), 'X-Last', '1'];
    return findHeadFault(OK, headers) !== undefined;
  });
}

const PLACES: Readonly<Record<string, (byte: string) => string>> = {
  start: byte => `${byte}Odd`,
  middle: byte => `X${byte}Odd`,
  end: byte => `Odd${byte}`,
};

for (const [place, insert] of Object.entries(PLACES)) {
  test(`only the bytes of a token are taken at the ${place} of a field name`, () => {
    // Guards against a lenient parser, whose names can't be written again.
    const expected = [...NON_TOKEN_BYTES, ':'].sort();
    assert.deepEqual(
      findFaulty(byte => [insert(byte), '1']),
      expected,
    );
  });

  test(`no control bytes are taken at the ${place} of a field value`, () => {
    // Guards against values that can't be written again, or that end a field.
    const expected = [...NON_VALUE_BYTES, ...NEWLINES].sort();
    assert.deepEqual(
      findFaulty(byte => ['X-Odd', insert(byte)]),
      expected,
    );
  });
}

test('a field without a name is faulty', () => {
  assert.ok(findHeadFault(OK, ['', '1']));
});

test('only final statuses are taken', () => {
  // Guards against numbers that no caller can take for an outcome.
  const statuses = [-1, 0, 1, 99, 100, 101, 199, 600, 999, 2_000, 200.5, NaN];
  for (const status of statuses) assert.ok(findHeadFault(status, []));
  for (const status of [200, 204, 304, 404, 500, 599]) {
    assert.equal(findHeadFault(status, []), undefined);
  }
});
