/** Lexer of the scenario language, by chevrotain. */

import {createToken, Lexer, type IToken} from 'chevrotain';
import {
  createDiagnostic,
  diagnosticMessages,
  type Diagnostic,
  type SourcePosition,
} from '../core/diagnostics.js';
import type {SourceText} from '../core/settings_yaml.js';

/** The kind of a word. */
export type WordKind = 'name' | 'count' | 'duration' | 'percent' | 'text';

export interface Word {
  readonly kind: WordKind;
  readonly image: string;
  readonly position: SourcePosition;
}

/** A line that is neither empty nor a comment. */
export interface ScenarioLine {
  readonly words: readonly Word[];
  /** The position after the last word. */
  readonly end: SourcePosition;
}

export interface LexedScenario {
  /** The comment lines before the first statement. */
  readonly description: readonly string[];
  readonly lines: readonly ScenarioLine[];
  readonly diagnostics: readonly Diagnostic[];
}

/** Limits the work that a malicious file can cause. */
const MAX_CHARS = 256 * 1024;

const newline = createToken({
  name: 'newline',
  pattern: /\r?\n/,
  line_breaks: true,
});
const space = createToken({
  name: 'space',
  pattern: /[ \t]+/,
  group: Lexer.SKIPPED,
});
const comment = createToken({name: 'comment', pattern: /#[^\n]*/});
const duration = createToken({
  name: 'duration',
  pattern: /\d{1,9}(?:\.\d{1,3})?(?:ms|s|m)(?![\w-])/,
});
const percent = createToken({name: 'percent', pattern: /\d{1,3}%/});
const count = createToken({name: 'count', pattern: /\d{1,9}(?![\w.-])/});
const text = createToken({name: 'text', pattern: /"[^"\r\n]*"/});
const name = createToken({name: 'name', pattern: /[A-Za-z][\w./-]*/});

const lexer = new Lexer(
  [newline, space, comment, duration, percent, count, text, name],
  {positionTracking: 'full', ensureOptimizations: false},
);

const wordKinds: ReadonlyMap<string, WordKind> = new Map(
  [duration, percent, count, text, name].map(type => [
    type.name,
    type.name as WordKind,
  ]),
);

export function lexScenario(source: SourceText): LexedScenario {
  const {file} = source;
  if (source.text.length > MAX_CHARS) {
    const start = {file, line: 1, column: 1};
    return {
      description: [],
      lines: [],
      diagnostics: [
        createDiagnostic(start, diagnosticMessages.yamlTooLarge, MAX_CHARS),
      ],
    };
  }
  const {tokens, errors} = lexer.tokenize(source.text);
  const diagnostics = errors.map(error =>
    createDiagnostic(
      {file, line: error.line ?? 1, column: error.column ?? 1},
      diagnosticMessages.scenarioCharacter,
      source.text.slice(error.offset, error.offset + error.length),
    ),
  );
  return {...splitLines(tokens, file), diagnostics};
}

function splitLines(
  tokens: readonly IToken[],
  file: string,
): Pick<LexedScenario, 'description' | 'lines'> {
  const description: string[] = [];
  const lines: ScenarioLine[] = [];
  let words: Word[] = [];
  let end: SourcePosition = {file, line: 1, column: 1};
  const finishLine = () => {
    if (words.length > 0) lines.push({words, end});
    words = [];
  };
  for (const token of tokens) {
    const kind = wordKinds.get(token.tokenType.name);
    if (token.tokenType === newline) finishLine();
    if (token.tokenType === comment && lines.length === 0 && !words.length) {
      description.push(token.image.slice(1).trim());
    }
    if (!kind) continue;
    const line = token.startLine ?? 1;
    const column = token.startColumn ?? 1;
    words.push({kind, image: token.image, position: {file, line, column}});
    end = {file, line, column: column + token.image.length};
  }
  finishLine();
  return {description, lines};
}

const UNIT_MS: Readonly<Record<string, number>> = {ms: 1, s: 1000, m: 60_000};

/** Milliseconds of a duration word such as `1.5s`. */
export function toDurationMs(image: string): number {
  const match = /^([\d.]+)(ms|s|m)$/.exec(image);
  return match ? Number(match[1]) * UNIT_MS[match[2]] : 0;
}
