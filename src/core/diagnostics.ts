/**
 * All diagnostics about texts written by users, in one numbered table. Codes are
 * stable: never reuse one.
 */

export type DiagnosticCategory = 'error' | 'warning';

/** An entry of the table; `{0}`, `{1}`, ... are replaced by arguments. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly text: string;
}

/** A position in a text. Lines and columns are counted from 1. */
export interface SourcePosition {
  readonly file: string;
  readonly line: number;
  readonly column: number;
}

export interface Diagnostic extends SourcePosition {
  readonly code: number;
  readonly category: DiagnosticCategory;
  readonly message: string;
}

const error = (code: number, text: string): DiagnosticMessage => ({
  code,
  category: 'error',
  text,
});

/** 1xxx: YAML; 2xxx: schema; 3xxx: cross checks; 4xxx: scenarios. */
export const diagnosticMessages = {
  yamlSyntax: error(1001, 'The YAML is not well formed: {0}'),
  yamlDuplicateKey: error(1002, "The key '{0}' is written twice."),
  yamlSeveralDocuments: error(1003, 'Only one YAML document is allowed.'),
  yamlEmpty: error(1004, 'The file is empty; a mapping was expected.'),
  yamlAlias: error(1005, 'Anchors and aliases are not supported.'),
  yamlTooLarge: error(1006, 'The text has more than {0} bytes.'),
  yamlTooDeep: error(1007, 'The text is nested deeper than {0} levels.'),
  yamlKeyNotScalar: error(1008, 'A key must be a plain string.'),
  unknownKey: error(2001, "Unknown key '{0}'.{1}"),
  missingKey: error(2002, "The key '{0}' is missing; expected {1}."),
  wrongType: error(2003, 'Expected {0}, found {1}.'),
  outOfRange: error(2004, 'Expected {0}, found {1}.'),
  notOneOf: error(2005, 'Expected one of {0}, found {1}.{2}'),
  wrongFormat: error(2006, 'Expected {0}, found {1}.'),
  invalid: error(2007, 'The value is not valid: {0}'),
  nothingToRemove: error(2008, "Nothing named '{0}' is there to remove."),
  removeOutsideOverlay: error(2009, "'remove' is only for items of overlays."),
  tooFewItems: error(2010, 'Too few items: expected at least {0}, found {1}.'),
  unknownSite: error(3001, "No site is named '{0}'.{1}"),
  duplicateName: error(3002, "The {0} '{1}' is defined twice."),
  unknownFailureDomain: error(
    3003,
    "The site '{0}' has no failure domain '{1}'.{2}",
  ),
  unknownService: error(3004, "No service is named '{0}'.{1}"),
  noUpstreams: error(
    3005,
    "The service '{0}' has no upstreams; list them or set upstreamsFromHostList.",
  ),
  missingRole: error(
    3006,
    "The model service '{0}' has no upstream with the role '{1}'.",
  ),
  targetOrder: error(3007, '{0} ({1}) must not be more than {2} ({3}).'),
  sharedKey: error(
    3008,
    "The caller key is listed for the account '{0}' and for '{1}'.",
  ),
  sharedModel: error(
    3009,
    "The model '{0}' is served by the service '{1}' and by '{2}'.",
  ),
  sharedAddress: error(
    3010,
    "The address '{0}' is used by the upstream '{1}' and by '{2}'.",
  ),
  documentFormat: error(
    3011,
    'The stored configuration has the format {0}; this program reads {1}.',
  ),
  overlayOfUnknownSite: error(
    3012,
    "The overlay is for the site '{0}', which the base file does not have.{1}",
  ),
  suspicionOrder: error(
    3013,
    'suspicionMs ({0}) must be more than probeIntervalMs ({1}).',
  ),
  scenarioCharacter: error(4001, "Unexpected character '{0}'."),
  scenarioStatement: error(4002, "Unknown statement '{0}'.{1}"),
  scenarioExpected: error(4003, "Expected {0}, found '{1}'.{2}"),
  scenarioMissing: error(4004, 'Expected {0}, found the end of the line.'),
  scenarioExtra: error(4005, "Unexpected '{0}'.{1}"),
  scenarioUnknownName: error(4006, "No {0} is named '{1}'.{2}"),
  scenarioDuplicateName: error(4007, "The name '{0}' is taken."),
  scenarioStory: error(
    4008,
    'The file must begin with a story of {0} to {1} comment lines.',
  ),
  scenarioGuard: error(4009, 'The file names no guard.'),
  scenarioRepeated: error(4010, "The option '{0}' is given twice."),
} as const satisfies Readonly<Record<string, DiagnosticMessage>>;

const PLACEHOLDER = /\{(\d+)\}/g;
const CODE_DIGITS = 4;

export function createDiagnostic(
  position: SourcePosition,
  message: DiagnosticMessage,
  ...args: ReadonlyArray<string | number>
): Diagnostic {
  return {
    file: position.file,
    line: position.line,
    column: position.column,
    code: message.code,
    category: message.category,
    message: message.text.replace(PLACEHOLDER, (_, index: string) =>
      String(args[Number(index)] ?? ''),
    ),
  };
}

/** Formats a code as shown to users, such as `CB2004`. */
export function formatCode(code: number): string {
  return `CB${String(code).padStart(CODE_DIGITS, '0')}`;
}

/** Formats one line, `file(line,column): error CBnnnn: message`. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
  const {file, line, column, category, code, message} = diagnostic;
  return `${file}(${line},${column}): ${category} ${formatCode(code)}: ${message}`;
}

/** Formats one diagnostic per line, sorted by file, line and column. */
export function formatDiagnostics(diagnostics: readonly Diagnostic[]): string {
  return sortDiagnostics(diagnostics)
    .map(diagnostic => `${formatDiagnostic(diagnostic)}\n`)
    .join('');
}

/** Sorts diagnostics by position and removes duplicates. */
export function sortDiagnostics(
  diagnostics: readonly Diagnostic[],
): readonly Diagnostic[] {
  const seen = new Set<string>();
  return diagnostics
    .filter(diagnostic => {
      const line = formatDiagnostic(diagnostic);
      if (seen.has(line)) return false;
      seen.add(line);
      return true;
    })
    .sort(
      (a, b) =>
        compareText(a.file, b.file) ||
        a.line - b.line ||
        a.column - b.column ||
        a.code - b.code,
    );
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
