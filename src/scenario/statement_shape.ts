/**
 * Shapes of statements, written as patterns such as
 * `model <+request> at <entry> prompt <count> [key <name>] [patient]`: literal
 * words, arguments in angle brackets, options in square ones in any order.
 * `<+kind>` defines a name, `<kind>` uses one that was defined.
 */

export type ArgumentKind =
  'count' | 'duration' | 'percent' | 'text' | 'name' | 'error' | NodeKind;

/** Things of a scenario that have names. */
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

/** The leading literal words, by which a statement is found. */
export function getLeadingWords(shape: StatementShape): readonly string[] {
  const words: string[] = [];
  for (const part of shape.parts) {
    if (part.kind !== 'literal') break;
    words.push(part.word);
  }
  return words;
}
