/** Parses the text of a scenario to statements and diagnostics. */

import {
  createDiagnostic,
  diagnosticMessages,
  sortDiagnostics,
  type Diagnostic,
} from '../core/diagnostics.js';
import {formatSuggestion} from '../core/did_you_mean.js';
import {errorAnswers} from '../core/error_kinds.js';
import type {SourceText} from '../core/settings_yaml.js';
import {
  lexScenario,
  toDurationMs,
  type ScenarioLine,
  type Word,
} from './scenario_lexer.js';
import {
  getLeadingWords,
  type ArgumentKind,
  type NodeKind,
  type ShapePart,
  type StatementShape,
} from './statement_shape.js';

/** The arguments of a statement, in the order of its pattern. */
export interface StatementArguments {
  /** The text of the argument at an index. */
  getText(index: number): string;
  getCount(index: number): number;
  getDurationMs(index: number): number;
  /** From 0 to 1. */
  getShare(index: number): number;
  hasOption(word: string): boolean;
  /** The first argument of an option that was given. */
  findOption(word: string): string | undefined;
  findDurationMs(word: string): number | undefined;
  findCount(word: string): number | undefined;
}

export interface Statement<T> {
  readonly definition: T;
  readonly args: StatementArguments;
  readonly line: number;
  /** The source text, with single spaces. */
  readonly text: string;
}

/** A statement of the language. */
export interface StatementDefinition {
  readonly shape: StatementShape;
}

export interface ParsedScenario<T> {
  readonly description: readonly string[];
  readonly statements: ReadonlyArray<Statement<T>>;
  readonly diagnostics: readonly Diagnostic[];
}

const MIN_DESCRIPTION_LINES = 2;
const MAX_DESCRIPTION_LINES = 5;
/** Nodes that exist in every scenario. */
const BUILT_IN: ReadonlyMap<string, NodeKind> = new Map([
  ['platform', 'node'],
  ['home', 'node'],
]);
const ERROR_KINDS: readonly string[] = Object.keys(errorAnswers);

export function parseScenario<T extends StatementDefinition>(
  source: SourceText,
  definitions: readonly T[],
  guardKeyword: string,
): ParsedScenario<T> {
  const lexed = lexScenario(source);
  const diagnostics: Diagnostic[] = [...lexed.diagnostics];
  const start = {file: source.file, line: 1, column: 1};
  if (
    lexed.description.length < MIN_DESCRIPTION_LINES ||
    lexed.description.length > MAX_DESCRIPTION_LINES
  ) {
    diagnostics.push(
      createDiagnostic(
        start,
        diagnosticMessages.scenarioStory,
        MIN_DESCRIPTION_LINES,
        MAX_DESCRIPTION_LINES,
      ),
    );
  }
  if (!lexed.lines.some(({words}) => words[0].image === guardKeyword)) {
    diagnostics.push(createDiagnostic(start, diagnosticMessages.scenarioGuard));
  }
  const names = new Map<string, NodeKind>(BUILT_IN);
  const statements = lexed.lines.flatMap(line => {
    const definition = findDefinition(line, definitions, diagnostics);
    if (!definition) return [];
    const reader = createLineReader(line, names, diagnostics);
    const args = reader.read(definition.shape);
    const text = line.words.map(word => word.image).join(' ');
    return [{definition, args, line: line.words[0].position.line, text}];
  });
  return {
    description: lexed.description,
    statements,
    diagnostics: sortDiagnostics(diagnostics),
  };
}

/** The definition with the most literal words that match the line. */
function findDefinition<T extends StatementDefinition>(
  line: ScenarioLine,
  definitions: readonly T[],
  diagnostics: Diagnostic[],
): T | undefined {
  const images = line.words.map(word => word.image);
  const matching = definitions
    .filter(({shape}) => matchesLine(shape, images))
    .sort(
      (a, b) => countMatches(b.shape, images) - countMatches(a.shape, images),
    );
  if (matching.length > 0) return matching[0];
  const firstWord = images[0];
  const candidates = definitions.filter(
    ({shape}) => getLeadingWords(shape)[0] === firstWord,
  );
  // Diagnostics refer to the most similar shape with the same first word.
  const best = candidates.sort(
    (a, b) => countMatches(b.shape, images) - countMatches(a.shape, images),
  )[0];
  if (best) return best;
  const known = definitions.map(({shape}) => getLeadingWords(shape)[0]);
  diagnostics.push(
    createDiagnostic(
      line.words[0].position,
      diagnosticMessages.scenarioStatement,
      firstWord,
      formatSuggestion(firstWord, known),
    ),
  );
  return undefined;
}

function matchesLine(
  shape: StatementShape,
  images: readonly string[],
): boolean {
  return shape.parts.every(
    (part, i) =>
      i < images.length &&
      (part.kind === 'argument' || part.word === images[i]),
  );
}

function countMatches(
  shape: StatementShape,
  images: readonly string[],
): number {
  return shape.parts.filter(
    (part, i) => part.kind === 'literal' && part.word === images[i],
  ).length;
}

/** Matches the words of a line with a shape; reports the first mistake. */
function createLineReader(
  line: ScenarioLine,
  names: Map<string, NodeKind>,
  diagnostics: Diagnostic[],
) {
  let nextIndex = 0;
  let hasFailed = false;

  function fail(diagnostic: Diagnostic): undefined {
    if (!hasFailed) diagnostics.push(diagnostic);
    hasFailed = true;
    return undefined;
  }

  function readPart(part: ShapePart): string | undefined {
    const word = line.words[nextIndex];
    if (!word) {
      return fail(
        createDiagnostic(
          line.end,
          diagnosticMessages.scenarioMissing,
          describePart(part),
        ),
      );
    }
    nextIndex++;
    if (part.kind === 'literal') return readLiteral(part.word, word);
    if (!isWordOfType(part.type, word)) {
      return fail(
        createDiagnostic(
          word.position,
          diagnosticMessages.scenarioExpected,
          describePart(part),
          word.image,
          suggestFor(part.type, word),
        ),
      );
    }
    checkName(part.type, part.isDefinition, word);
    return word.kind === 'text' ? word.image.slice(1, -1) : word.image;
  }

  function readLiteral(expected: string, word: Word): string | undefined {
    if (word.image === expected) return undefined;
    return fail(
      createDiagnostic(
        word.position,
        diagnosticMessages.scenarioExpected,
        `'${expected}'`,
        word.image,
        '',
      ),
    );
  }

  function checkName(
    type: ArgumentKind,
    isDefinition: boolean,
    word: Word,
  ): void {
    if (!isNodeKind(type)) return;
    const known = names.get(word.image);
    if (isDefinition) {
      if (known) {
        fail(
          createDiagnostic(
            word.position,
            diagnosticMessages.scenarioDuplicateName,
            word.image,
          ),
        );
      }
      names.set(word.image, type);
      return;
    }
    const isKindAllowed =
      type === 'node' ? known && known !== 'request' : known === type;
    if (isKindAllowed) return;
    const others = [...names].flatMap(([name, kind]) =>
      type === 'node' || kind === type ? [name] : [],
    );
    fail(
      createDiagnostic(
        word.position,
        diagnosticMessages.scenarioUnknownName,
        type,
        word.image,
        formatSuggestion(word.image, others),
      ),
    );
  }

  function readOptions(
    shape: StatementShape,
  ): ReadonlyMap<string, readonly string[]> {
    const given = new Map<string, readonly string[]>();
    while (nextIndex < line.words.length && !hasFailed) {
      const word = line.words[nextIndex];
      const option = shape.options.find(
        ([head]) => head.kind === 'literal' && head.word === word.image,
      );
      if (!option) {
        const known = shape.options.flatMap(([head]) =>
          head.kind === 'literal' ? [head.word] : [],
        );
        fail(
          createDiagnostic(
            word.position,
            diagnosticMessages.scenarioExtra,
            word.image,
            formatSuggestion(word.image, known),
          ),
        );
        break;
      }
      if (given.has(word.image)) {
        fail(
          createDiagnostic(
            word.position,
            diagnosticMessages.scenarioRepeated,
            word.image,
          ),
        );
      }
      given.set(word.image, readParts(option));
    }
    return given;
  }

  function readParts(parts: readonly ShapePart[]): readonly string[] {
    const values: string[] = [];
    for (const part of parts) {
      if (hasFailed) break;
      const value = readPart(part);
      if (value !== undefined) values.push(value);
    }
    return values;
  }

  return {
    read(shape: StatementShape): StatementArguments {
      const values = readParts(shape.parts);
      return createArguments(values, readOptions(shape));
    },
  };
}

function createArguments(
  values: readonly string[],
  options: ReadonlyMap<string, readonly string[]>,
): StatementArguments {
  const find = (word: string) => options.get(word)?.[0];
  return {
    getText: index => values[index] ?? '',
    getCount: index => Number(values[index]),
    getDurationMs: index => toDurationMs(values[index] ?? ''),
    getShare: index => Number.parseInt(values[index] ?? '0', 10) / 100,
    hasOption: word => options.has(word),
    findOption: find,
    findDurationMs(word) {
      const value = find(word);
      return value === undefined ? undefined : toDurationMs(value);
    },
    findCount(word) {
      const value = find(word);
      return value === undefined ? undefined : Number(value);
    },
  };
}

const NODE_KINDS: readonly string[] = [
  'entry',
  'engine',
  'ledger',
  'request',
  'node',
];

function isNodeKind(type: ArgumentKind): type is NodeKind {
  return NODE_KINDS.includes(type);
}

function isWordOfType(type: ArgumentKind, word: Word): boolean {
  if (type === 'error') return ERROR_KINDS.includes(word.image);
  if (isNodeKind(type)) return word.kind === 'name';
  return word.kind === type;
}

function suggestFor(type: ArgumentKind, word: Word): string {
  return type === 'error' ? formatSuggestion(word.image, ERROR_KINDS) : '';
}

const ARGUMENT_DESCRIPTIONS: Readonly<Record<ArgumentKind, string>> = {
  count: 'a whole number',
  duration: 'a duration like 500ms or 2s',
  percent: 'a share like 50%',
  text: 'a text in double quotes',
  name: 'a name',
  error: 'an error kind',
  entry: 'the name of an entry',
  engine: 'the name of an engine',
  ledger: 'the name of a ledger',
  request: 'the name of a request',
  node: 'the name of a process',
};

function describePart(part: ShapePart): string {
  return part.kind === 'literal'
    ? `'${part.word}'`
    : ARGUMENT_DESCRIPTIONS[part.type];
}
