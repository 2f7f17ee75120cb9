/**
 * Rejects YAML that is nested too deeply before it reaches the recursive parser:
 * a short text of brackets or dashes can exhaust the stack and end the process.
 * The lexer is not recursive, so counting its tokens is safe.
 */

import {CST, Lexer} from 'yaml';

/** Maximum depth of nested collections, on one line or in brackets. */
export const MAX_YAML_DEPTH = 64;
/** Maximum indent, since each level may be indented by several spaces. */
const MAX_INDENT = 4 * MAX_YAML_DEPTH;

export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Returns the first position that exceeds the maximum depth, if any. */
export function findExcessiveDepth(text: string): TextPosition | undefined {
  let line = 1;
  let column = 1;
  let flowDepth = 0;
  let lineDepth = 0;
  let isLineStart = true;
  for (const token of new Lexer().lex(text)) {
    const type = CST.tokenType(token);
    if (type === 'flow-seq-start' || type === 'flow-map-start') flowDepth++;
    if (type === 'flow-seq-end' || type === 'flow-map-end') flowDepth--;
    if (type === 'seq-item-ind' || type === 'explicit-key-ind') lineDepth++;
    if (type === 'map-value-ind') lineDepth++;
    const indent = type === 'space' && isLineStart ? token.length : 0;
    if (
      flowDepth > MAX_YAML_DEPTH ||
      (flowDepth === 0 && lineDepth > MAX_YAML_DEPTH) ||
      indent > MAX_INDENT
    ) {
      return {line, column};
    }
    const lastBreak = token.lastIndexOf('\n');
    isLineStart = lastBreak >= 0;
    if (lastBreak < 0) {
      column += token.length;
      continue;
    }
    line += countBreaks(token);
    column = token.length - lastBreak;
    lineDepth = 0;
  }
  return undefined;
}

function countBreaks(token: string): number {
  return token.split('\n').length - 1;
}
