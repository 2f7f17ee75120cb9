/** Parses YAML into a tree whose nodes have positions in the text. */

import {
  isAlias,
  isMap,
  isNode,
  isScalar,
  isSeq,
  LineCounter,
  parseAllDocuments,
  type Document,
  type YAMLMap,
} from 'yaml';
import {
  createDiagnostic,
  diagnosticMessages,
  type Diagnostic,
  type SourcePosition,
} from './diagnostics.js';
import {findExcessiveDepth, MAX_YAML_DEPTH} from './yaml_depth.js';

/** A text and its file name for diagnostics. */
export interface SourceText {
  readonly file: string;
  readonly text: string;
}

export type ScalarValue = string | number | boolean | null;

export interface LocatedScalar {
  readonly kind: 'scalar';
  readonly position: SourcePosition;
  readonly value: ScalarValue;
}

export interface LocatedEntry {
  readonly keyPosition: SourcePosition;
  readonly value: LocatedNode;
}

export interface LocatedMap {
  readonly kind: 'map';
  readonly position: SourcePosition;
  readonly entries: ReadonlyMap<string, LocatedEntry>;
}

export interface LocatedList {
  readonly kind: 'list';
  readonly position: SourcePosition;
  readonly items: readonly LocatedNode[];
}

export type LocatedNode = LocatedScalar | LocatedMap | LocatedList;

export interface LocatedResult {
  /** Absent if the text is not a valid mapping. */
  readonly root?: LocatedMap;
  readonly diagnostics: readonly Diagnostic[];
}

/** Bounds the memory used for one text. */
const MAX_TEXT_CHARS = 8 * 1024 * 1024;

export function readLocatedYaml(source: SourceText): LocatedResult {
  const start: SourcePosition = {file: source.file, line: 1, column: 1};
  if (source.text.length > MAX_TEXT_CHARS) {
    return failed(
      createDiagnostic(start, diagnosticMessages.yamlTooLarge, MAX_TEXT_CHARS),
    );
  }
  const excessiveDepth = findExcessiveDepth(source.text);
  if (excessiveDepth) {
    return failed(
      createDiagnostic(
        {file: source.file, ...excessiveDepth},
        diagnosticMessages.yamlTooDeep,
        MAX_YAML_DEPTH,
      ),
    );
  }
  const lines = new LineCounter();
  const documents = parseAllDocuments(source.text, {
    lineCounter: lines,
    prettyErrors: false,
    uniqueKeys: false,
    logLevel: 'silent',
  });
  const locate = (offset: number): SourcePosition => {
    const {line, col} = lines.linePos(offset);
    return {
      file: source.file,
      line: Math.max(1, line),
      column: Math.max(1, col),
    };
  };
  if (!Array.isArray(documents) || documents.length === 0) {
    return failed(createDiagnostic(start, diagnosticMessages.yamlEmpty));
  }
  if (documents.length > 1) {
    const second = locate(documents[1].range[0]);
    return failed(
      createDiagnostic(second, diagnosticMessages.yamlSeveralDocuments),
    );
  }
  return convertDocument(documents[0], locate, start);
}

function failed(diagnostic: Diagnostic): LocatedResult {
  return {diagnostics: [diagnostic]};
}

function convertDocument(
  document: Document.Parsed,
  locate: (offset: number) => SourcePosition,
  start: SourcePosition,
): LocatedResult {
  const diagnostics: Diagnostic[] = [];
  for (const problem of [...document.errors, ...document.warnings]) {
    diagnostics.push(
      createDiagnostic(
        locate(problem.pos[0]),
        diagnosticMessages.yamlSyntax,
        firstLine(problem.message),
      ),
    );
  }
  if (diagnostics.length > 0) return {diagnostics};
  const contents: unknown = document.contents;
  if (contents === null || (isScalar(contents) && contents.value === null)) {
    return failed(createDiagnostic(start, diagnosticMessages.yamlEmpty));
  }
  const root = convertNode(contents, start, {locate, diagnostics});
  if (root.kind !== 'map') {
    diagnostics.push(
      createDiagnostic(
        root.position,
        diagnosticMessages.wrongType,
        'a mapping',
        describeNode(root),
      ),
    );
    return {diagnostics};
  }
  return {root, diagnostics};
}

interface ConvertContext {
  readonly locate: (offset: number) => SourcePosition;
  readonly diagnostics: Diagnostic[];
}

function convertNode(
  node: unknown,
  fallback: SourcePosition,
  context: ConvertContext,
): LocatedNode {
  const position = findPosition(node, fallback, context);
  if (isAlias(node) || (isNode(node) && node.anchor !== undefined)) {
    context.diagnostics.push(
      createDiagnostic(position, diagnosticMessages.yamlAlias),
    );
  }
  if (isMap(node)) return convertMap(node, position, context);
  if (isSeq(node)) {
    const items = node.items.map(item => convertNode(item, position, context));
    return {kind: 'list', position, items};
  }
  return {kind: 'scalar', position, value: getScalarValue(node)};
}

function convertMap(
  map: YAMLMap,
  position: SourcePosition,
  context: ConvertContext,
): LocatedMap {
  const entries = new Map<string, LocatedEntry>();
  for (const pair of map.items) {
    const keyPosition = findPosition(pair.key, position, context);
    if (!isScalar(pair.key)) {
      context.diagnostics.push(
        createDiagnostic(keyPosition, diagnosticMessages.yamlKeyNotScalar),
      );
      continue;
    }
    const key = String(pair.key.value);
    if (entries.has(key)) {
      context.diagnostics.push(
        createDiagnostic(keyPosition, diagnosticMessages.yamlDuplicateKey, key),
      );
      continue;
    }
    const value = convertNode(pair.value, keyPosition, context);
    entries.set(key, {keyPosition, value});
  }
  return {kind: 'map', position, entries};
}

function findPosition(
  node: unknown,
  fallback: SourcePosition,
  context: ConvertContext,
): SourcePosition {
  if (typeof node !== 'object' || node === null) return fallback;
  const range = 'range' in node ? node.range : undefined;
  return Array.isArray(range) ? context.locate(Number(range[0])) : fallback;
}

function getScalarValue(node: unknown): ScalarValue {
  if (!isScalar(node)) return null;
  const value = node.value;
  switch (typeof value) {
    case 'string':
    case 'number':
    case 'boolean':
      return value;
    default:
      return value === null || value === undefined ? null : String(value);
  }
}

function firstLine(text: string): string {
  return text.split('\n', 1)[0];
}

/** Converts a node to plain data. */
export function toPlainData(node: LocatedNode): unknown {
  switch (node.kind) {
    case 'scalar':
      return node.value;
    case 'list':
      return node.items.map(toPlainData);
    case 'map':
      return Object.fromEntries(
        [...node.entries].map(([key, entry]) => [
          key,
          toPlainData(entry.value),
        ]),
      );
  }
}

const MAX_SHOWN_CHARS = 40;

/** Describes a node for a diagnostic. */
export function describeNode(node: LocatedNode): string {
  switch (node.kind) {
    case 'map':
      return 'a mapping';
    case 'list':
      return 'a list';
    case 'scalar':
      return describeScalar(node.value);
  }
}

function describeScalar(value: ScalarValue): string {
  if (value === null) return 'nothing';
  if (typeof value !== 'string') return String(value);
  const text = JSON.stringify(value);
  return text.length <= MAX_SHOWN_CHARS
    ? text
    : `${text.slice(0, MAX_SHOWN_CHARS)}…`;
}

/** A key or an index of a child node. */
export type PathPart = string | number;

/** Returns the node at a path, or undefined. */
export function findNode(
  root: LocatedNode,
  path: readonly PathPart[],
): LocatedNode | undefined {
  let node: LocatedNode | undefined = root;
  for (const part of path) {
    if (node?.kind === 'map') node = node.entries.get(String(part))?.value;
    else if (node?.kind === 'list') node = node.items[Number(part)];
    else return undefined;
  }
  return node;
}

/** Returns the position of the value at a path or its nearest ancestor. */
export function locateValue(
  root: LocatedNode,
  path: readonly PathPart[],
): SourcePosition {
  for (let length = path.length; length > 0; length--) {
    const node = findNode(root, path.slice(0, length));
    if (node) return node.position;
  }
  return root.position;
}

/** Returns the position of the key at the end of a path, or of its value. */
export function locateKey(
  root: LocatedNode,
  path: readonly PathPart[],
): SourcePosition {
  const parent = findNode(root, path.slice(0, -1));
  const entry =
    parent?.kind === 'map'
      ? parent.entries.get(String(path[path.length - 1]))
      : undefined;
  return entry?.keyPosition ?? locateValue(root, path);
}
