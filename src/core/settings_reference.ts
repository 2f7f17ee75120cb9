/** Generates the operators' settings reference from the schema. */

import {z} from 'zod';
import {hostSchema, settingsSchema} from './settings_schema.js';

type JsonSchema = z.core.JSONSchema.BaseSchema;

interface Section {
  readonly title: string;
  readonly schema: JsonSchema;
}

const INTRODUCTION = `# Settings reference

Generated from the schema; \`npm run baselines:accept\` updates it.

The settings are one base file and an overlay for each site, in YAML. An overlay
has the structure of the base and contains only what differs at its site:

- a mapping is merged with the base by key;
- a list of items with a \`name\` or an \`id\` is merged by that name, and
  \`remove: true\` in an item removes it;
- any other value or list replaces that of the base;
- \`null\` removes the key, so that its default applies.

\`corianderbend config check\` prints every error with file, line and column;
\`corianderbend config render --site SITE\` shows the merged result. Durations are
milliseconds (\`…Ms\`), sizes are bytes (\`…Bytes\`).
`;

const HOST_INTRODUCTION = `## The host file

Each process reads its own, with \`corianderbend serve --host-file FILE\`; flags of
the same names override it, and the two keys may come from the environment.
`;

/** Renders the whole page. */
export function renderSettingsReference(): string {
  const settings = toJsonSchema(settingsSchema);
  const host = toJsonSchema(hostSchema);
  const sections = [
    {title: 'Top level', schema: settings},
    ...collectSections(settings, '', ''),
  ];
  return [
    INTRODUCTION,
    ...sections.map(section => renderSection(section)),
    HOST_INTRODUCTION,
    renderTable(host),
  ].join('\n');
}

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, {io: 'input'});
}

/** Returns a section for each nested mapping, in the order of the keys. */
function collectSections(
  schema: JsonSchema,
  path: string,
  outerKind: string,
): readonly Section[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    if (typeof value === 'boolean') return [];
    const isList = value.type === 'array';
    const inner = isList ? getItem(value) : value;
    const name = `${path}${key}${isList ? '[]' : ''}`;
    return (inner.oneOf ?? [inner]).flatMap(variant => {
      if (typeof variant === 'boolean' || !variant.properties) return [];
      const kind = describeVariant(variant) || outerKind;
      const title = `\`${name}\`${kind}`;
      const below = collectSections(variant, `${name}.`, kind);
      return [{title, schema: variant}, ...below];
    });
  });
}

function getItem(list: JsonSchema): JsonSchema {
  const item = list.items;
  return typeof item === 'object' && !Array.isArray(item) ? item : {};
}

function describeVariant(schema: JsonSchema): string {
  const kind = schema.properties?.['kind'];
  if (typeof kind !== 'object' || kind.const === undefined) return '';
  return ` with \`kind: ${String(kind.const)}\``;
}

function renderSection({title, schema}: Section): string {
  return `## ${title}\n\n${renderTable(schema)}`;
}

function renderTable(schema: JsonSchema): string {
  const required = new Set(schema.required);
  const rows = Object.entries(schema.properties ?? {}).map(([key, value]) => {
    const inner = typeof value === 'boolean' ? {} : value;
    const fallback = required.has(key) ? 'required' : describeDefault(inner);
    const meaning = inner.description ?? '';
    return `| \`${key}\` | ${describeType(inner)} | ${fallback} | ${meaning} |`;
  });
  return [
    '| Key | Value | Default | Meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function describeDefault(schema: JsonSchema): string {
  const value: unknown = schema.default;
  if (value === undefined) return 'none';
  if (Array.isArray(value)) return 'empty';
  return typeof value === 'object' ? 'as below' : `\`${String(value)}\``;
}

type TypeDescriber = (schema: JsonSchema) => string;

const typeDescribers: Readonly<Record<string, TypeDescriber>> = {
  string: () => 'text',
  boolean: () => 'true or false',
  object: () => 'mapping',
  array: schema => `list of ${describeType(getItem(schema))}`,
  integer: schema => `whole number${describeRange(schema)}`,
  number: schema => `number${describeRange(schema)}`,
};

function describeType(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${String(schema.const)}\``;
  if (schema.enum) {
    return schema.enum.map(value => `\`${String(value)}\``).join(' or ');
  }
  if (schema.oneOf) return 'mapping';
  return typeDescribers[String(schema.type)]?.(schema) ?? 'any';
}

function describeRange(schema: JsonSchema): string {
  const {minimum, exclusiveMinimum, maximum} = schema;
  if (maximum === undefined) return '';
  if (exclusiveMinimum !== undefined) {
    return ` over ${exclusiveMinimum}, to ${maximum}`;
  }
  return `, ${minimum} to ${maximum}`;
}
