/** Heads of answers that break the grammar of HTTP, for property tests. */

import fc from 'fast-check';

/** The bytes of a field name (RFC 9110, 5.6.2). */
const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]$/;
const BYTE_COUNT = 256;
const COLON = ':';

/** All bytes, each as one character. */
export const BYTES: readonly string[] = Array.from(
  {length: BYTE_COUNT},
  (_, byte) => String.fromCharCode(byte),
);

/** Bytes that no field name may have; a colon would end the name. */
export const NON_TOKEN_BYTES = BYTES.filter(
  byte => byte !== COLON && !TOKEN.test(byte),
);

/** Control bytes that no field value may have; CR and LF would end it. */
export const NON_VALUE_BYTES = BYTES.filter(byte =>
  // eslint-disable-next-line no-control-regex
  /[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]/.test(byte),
);

export const BODY = 'all of it';

/** Fields that frame the body of an answer, and the body as it is sent. */
function toFramings(body: string) {
  const half = Math.floor(body.length / 2);
  const toChunk = (part: string) =>
    `${part.length.toString(16)}\r\n${part}\r\n`;
  const chunks = [body.slice(0, half), body.slice(half), ''].map(toChunk);
  return [
    {field: `Content-Length: ${body.length}`, sent: body, closes: false},
    {
      field: 'Transfer-Encoding: chunked',
      sent: chunks.join(''),
      closes: false,
    },
    {field: 'Connection: close', sent: body, closes: true},
  ] as const;
}

/** An answer as bytes, each as one character. */
export interface AnswerBytes {
  readonly text: string;
  /** The connection ends with the answer. */
  readonly closes: boolean;
}

export interface FieldLines {
  /** A line that breaks the grammar of HTTP. */
  readonly broken: fc.Arbitrary<string>;
  /** A line that differs from a broken one in few bytes. */
  readonly sound: fc.Arbitrary<string>;
}

const names = fc.constantFrom('X-Odd', 'X-Engine-Stamp', 'Content-Length', 'A');

function insert(text: string, inserted: string, share: number): string {
  const at = Math.round(text.length * share);
  return text.slice(0, at) + inserted + text.slice(at);
}

export const nameLines: FieldLines = {
  broken: fc
    .tuple(
      names,
      fc.constantFrom(...NON_TOKEN_BYTES),
      fc.constantFrom(0, 0.5, 1),
    )
    .map(([name, byte, share]) => `${insert(name, byte, share)}: 9`),
  sound: fc.constantFrom('X-Odd: a', "!#$%&'*+.^_`|~: a", 'X-Odd:', 'x: \xe9'),
};

export const valueLines: FieldLines = {
  broken: fc
    .tuple(fc.constantFrom(...NON_VALUE_BYTES), fc.constantFrom(0, 0.5, 1))
    .map(([byte, share]) => `X-Odd: ${insert('ab', byte, share)}`),
  sound: fc.constantFrom('X-Odd: a\tb', 'X-Odd: a b', 'X-Odd: \xe9'),
};

export interface AnswerOptions {
  /** Sound lines that the head has as well. */
  readonly fields?: readonly string[];
  readonly body?: string;
}

/** Answers with the line at the start, in the middle and at the end of a head. */
export function answersWith(
  line: fc.Arbitrary<string>,
  {fields = [], body = BODY}: AnswerOptions = {},
): fc.Arbitrary<AnswerBytes> {
  return fc
    .record({
      line,
      place: fc.constantFrom(0, 0.5, 1),
      framing: fc.constantFrom(...toFramings(body)),
      status: fc.constantFrom(200, 200, 404, 500),
      version: fc.constantFrom('HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0'),
      first: fc.constantFrom('', '', 'HTTP/1.1 103 Early\r\n\r\n'),
    })
    .filter(({version, framing}) => version === 'HTTP/1.1' || framing.closes)
    .map(({line, place, framing, status, version, first}) => {
      const sound = [...fields, framing.field, 'X-Last: z'];
      const lines = [...sound];
      lines.splice(Math.round(sound.length * place), 0, line);
      const head = `${version} ${status} Text\r\n${lines.join('\r\n')}\r\n\r\n`;
      return {text: `${first}${head}${framing.sent}`, closes: framing.closes};
    });
}
