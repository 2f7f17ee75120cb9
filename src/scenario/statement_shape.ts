/**
 * Shapes of statements, parsed from patterns such as
 * `model <+request> at <entry> prompt <count> [key <name>] [patient]`: literal
 * words, arguments in angle brackets, and options in square brackets, which
 * may come in any order. `<+kind>` defines a name, `<kind>` refers to one.
 */

export type ArgumentKind =
  'count' | 'duration' | 'percent' | 'text' | 'name' | 'error' | NodeKind;

/** Kinds of named objects in a scenario. */
export type NodeKind = 'entry' | 'engine' | 'ledger' | 'request' | 'node';

export type ShapePart =
  | {readonly kind: 'literal'; readonly word: string}
  | {
      readonly kind: 'argument';
      readonly type: ArgumentKind;
      readonly isDefinition: boolean;
    };

export interface StatementShape {
  readonly parts: readonly ShapePart[];
  /** Each begins with a literal. */
  readonly options: ReadonlyArray<readonly ShapePart[]>;
}

const PIECE = /\[([^\]]+)\]|<(\+?)([a-z]+)>|([a-z-]+)/g;

export function parseShape(pattern: string): StatementShape {
  const parts: ShapePart[] = [];
  const options: Array<readonly ShapePart[]> = [];
  for (const match of pattern.matchAll(PIECE)) {
    const [, option, plus, type, word] = match;
    if (option !== undefined) options.push(parseShape(option).parts);
    else if (type !== undefined) {
      const isDefinition = plus === '+';
      parts.push({kind: 'argument', type: type as ArgumentKind, isDefinition});
    } else parts.push({kind: 'literal', word});
  }
  return {parts, options};
}

/** The literal words at the start of a shape. */
export function getLeadingWords(shape: StatementShape): readonly string[] {
  const words: string[] = [];
  for (const part of shape.parts) {
    if (part.kind !== 'literal') break;
    words.push(part.word);
  }
  return words;
}
