/** Renders the template of the host file as the platform does. */

import {readFileSync} from 'node:fs';

const TEMPLATE = 'deploy/relay.yaml.template';
const SECTION = /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/;
const LIST = /\{\{#seeds\}\}.*\{\{\/seeds\}\}/g;

/** What the platform writes for each path; a path may be missing. */
export type TemplateValues = Readonly<Record<string, string>>;

const EVERYWHERE: TemplateValues = {
  node: 'host-1',
  zone: 'raadi-ruum',
  ip: '10.0.0.1',
  'listen.front': '10.0.0.1:7100',
  'listen.ready': '10.0.0.1:7101',
  'listen.directory': '10.0.0.1:7102',
  'port_range.0': '7103',
  'platform.address': '10.0.0.2:7104',
};

function renderSections(text: string, values: TemplateValues): string {
  const found = SECTION.exec(text);
  if (!found) return text;
  const [whole, path, inner] = found;
  const isThere = path in values && values[path] !== 'false';
  return (
    text.slice(0, found.index) +
    (isThere ? renderSections(inner, values) : '') +
    renderSections(text.slice(found.index + whole.length), values)
  );
}

export function renderHostFile(given: TemplateValues = {}): string {
  const values = {...EVERYWHERE, ...given};
  const text = readFileSync(TEMPLATE, 'utf8').replaceAll(LIST, '');
  return renderSections(text, values).replaceAll(
    /\{\{([\w.]+)\}\}/g,
    (_, path: string) => values[path] ?? '',
  );
}
