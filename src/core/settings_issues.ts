/** Converts issues of the schema library to diagnostics with positions. */

import {z} from 'zod';
import {
  createDiagnostic,
  diagnosticMessages,
  type Diagnostic,
} from './diagnostics.js';
import {findNearest, formatSuggestion} from './did_you_mean.js';
import {
  describeNode,
  findNode,
  locateKey,
  locateValue,
  type LocatedMap,
  type LocatedNode,
  type PathPart,
} from './settings_yaml.js';

type Issue = z.core.$ZodIssue;

interface IssueContext {
  readonly root: LocatedMap;
  readonly schema: z.ZodType;
  readonly path: readonly PathPart[];
}

/** Checks data against a schema and reports all problems. */
export function checkShape<T>(
  root: LocatedMap,
  data: unknown,
  schema: z.ZodType<T>,
): {readonly value?: T; readonly diagnostics: readonly Diagnostic[]} {
  const result = schema.safeParse(data);
  if (result.success) return {value: result.data, diagnostics: []};
  const diagnostics = result.error.issues.flatMap(issue => {
    const path = issue.path.map(part =>
      typeof part === 'number' ? part : String(part),
    );
    return describeIssue(issue, {root, schema, path});
  });
  return {diagnostics};
}

function describeIssue(
  issue: Issue,
  context: IssueContext,
): readonly Diagnostic[] {
  const found = findNode(context.root, context.path);
  if (issue.code === 'unrecognized_keys') {
    return describeUnknownKeys(issue.keys, context);
  }
  if (found === undefined) return [describeMissing(issue, context)];
  return [describeFound(issue, found, context)];
}

function describeUnknownKeys(
  keys: readonly string[],
  context: IssueContext,
): readonly Diagnostic[] {
  const known = getKnownKeys(context);
  return keys.map(key => {
    const position = locateKey(context.root, [...context.path, key]);
    if (key === 'remove') {
      return createDiagnostic(
        position,
        diagnosticMessages.removeOutsideOverlay,
      );
    }
    return createDiagnostic(
      position,
      diagnosticMessages.unknownKey,
      key,
      formatSuggestion(key, known),
    );
  });
}

function describeMissing(issue: Issue, context: IssueContext): Diagnostic {
  const {root, path} = context;
  const parent = path.slice(0, -1);
  return createDiagnostic(
    locateKey(root, parent),
    diagnosticMessages.missingKey,
    String(path[path.length - 1] ?? ''),
    describeExpected(issue),
  );
}

function describeFound(
  issue: Issue,
  found: LocatedNode,
  context: IssueContext,
): Diagnostic {
  const position = locateValue(context.root, context.path);
  const shown = describeFoundValue(found, context.path);
  switch (issue.code) {
    case 'invalid_type':
      return createDiagnostic(
        position,
        diagnosticMessages.wrongType,
        describeExpected(issue),
        shown,
      );
    case 'too_big':
    case 'too_small':
      return describeBound(issue, found, context);
    case 'invalid_value':
    case 'invalid_union':
      return createDiagnostic(
        position,
        diagnosticMessages.notOneOf,
        getChoices(issue).join(', '),
        shown,
        suggestChoice(found, getChoices(issue)),
      );
    case 'invalid_format':
    case 'custom':
      return createDiagnostic(
        position,
        diagnosticMessages.wrongFormat,
        issue.message,
        shown,
      );
    default:
      return createDiagnostic(
        position,
        diagnosticMessages.invalid,
        issue.message,
      );
  }
}

/** Describes a found value; invalid secrets must not be printed or logged. */
function describeFoundValue(
  found: LocatedNode,
  path: readonly PathPart[],
): string {
  const isSecret = SECRET_NAME.test(String(path[path.length - 1]));
  return isSecret ? 'another value' : describeNode(found);
}

const SECRET_NAME = /Key$/;

type BoundIssue = Extract<Issue, {code: 'too_big' | 'too_small'}>;

function describeBound(
  issue: BoundIssue,
  found: LocatedNode,
  context: IssueContext,
): Diagnostic {
  const position = locateValue(context.root, context.path);
  const expected = describeExpected(issue);
  if (issue.origin === 'array' && issue.code === 'too_small') {
    const length = found.kind === 'list' ? found.items.length : 0;
    return createDiagnostic(
      locateKey(context.root, context.path),
      diagnosticMessages.tooFewItems,
      Number(issue.minimum),
      length,
    );
  }
  // Texts with a minimum length are secrets, so their value is not shown.
  const shown =
    issue.origin === 'string' ? 'a shorter text' : describeNode(found);
  return createDiagnostic(
    position,
    diagnosticMessages.outOfRange,
    expected,
    shown,
  );
}

const TYPE_DESCRIPTIONS: Readonly<Record<string, string>> = {
  array: 'a list',
  object: 'a mapping',
  string: 'a text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
};

function describeExpected(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return TYPE_DESCRIPTIONS[issue.expected] ?? issue.expected;
    case 'too_small':
      return describeMinimum(issue);
    case 'too_big':
      return `${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}`;
    case 'invalid_value':
    case 'invalid_union':
      return `one of ${getChoices(issue).join(', ')}`;
    default:
      return issue.message;
  }
}

function describeMinimum(issue: Extract<Issue, {code: 'too_small'}>): string {
  const minimum = `${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}`;
  return issue.origin === 'string'
    ? `a text of ${minimum} characters`
    : minimum;
}

function getChoices(issue: Issue): readonly string[] {
  if (issue.code === 'invalid_value') return issue.values.map(String);
  if (issue.code !== 'invalid_union' || !('options' in issue)) return [];
  return Array.isArray(issue.options) ? issue.options.map(String) : [];
}

function suggestChoice(found: LocatedNode, choices: readonly string[]): string {
  if (found.kind !== 'scalar') return '';
  const nearest = findNearest(String(found.value), choices);
  return nearest === undefined ? '' : ` Did you mean '${nearest}'?`;
}

/** Returns the keys that the schema allows at a path. */
function getKnownKeys(context: IssueContext): readonly string[] {
  let schema: unknown = context.schema;
  let node: LocatedNode | undefined = context.root;
  for (const part of context.path) {
    schema = getObjectSchema(schema, node);
    node = node && findNode(node, [part]);
    if (schema instanceof z.ZodObject) schema = schema.shape[String(part)];
    else if (schema instanceof z.ZodArray) schema = schema.element;
    else return [];
  }
  const last = getObjectSchema(schema, node);
  return last instanceof z.ZodObject ? Object.keys(last.shape) : [];
}

/** Unwraps defaults and optionals, and selects the member of a union. */
function getObjectSchema(
  schema: unknown,
  node: LocatedNode | undefined,
): unknown {
  let inner = schema;
  while (inner instanceof z.ZodDefault || inner instanceof z.ZodOptional) {
    inner = inner.unwrap();
  }
  if (!(inner instanceof z.ZodDiscriminatedUnion)) return inner;
  const kind = node && findNode(node, [inner.def.discriminator]);
  return inner.options.find(
    option =>
      option instanceof z.ZodObject &&
      kind?.kind === 'scalar' &&
      option.shape[inner.def.discriminator].safeParse(kind.value).success,
  );
}
