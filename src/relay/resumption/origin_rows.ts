/**
 * Packs the origins of streams into rows of the store, nine bytes each: a
 * digest of what identifies the stream, and an index into a list of services
 * and versions.
 */

import {createHash} from 'node:crypto';
import type {JsonRecord} from '../../ports/table.js';
import type {StreamOrigin} from './stream_origins.js';

/** What identifies a stream to its caller's next attempt. */
export type StreamIdentity = Pick<
  StreamOrigin,
  'requestId' | 'route' | 'account'
>;

/** Where a stream began, as recorded in a row. */
export type PackedOrigin = Pick<StreamOrigin, 'service' | 'version'>;

const DIGEST_BYTES = 8;
const ENTRY_BYTES = DIGEST_BYTES + 1;
/** As many services and versions as an index of one byte can name. */
const MAX_LABELS = 256;

function digestOf({requestId, route, account = ''}: StreamIdentity): Buffer {
  return createHash('sha256')
    .update(JSON.stringify([requestId, route, account]))
    .digest()
    .subarray(0, DIGEST_BYTES);
}

/** The key under which `unpackOrigins` returns the origin of the stream. */
export const identityKeyOf = (identity: StreamIdentity): string =>
  digestOf(identity).toString('latin1');

/** Packs the origins; those beyond the first 256 versions are left out. */
export function packOrigins(origins: readonly StreamOrigin[]): JsonRecord {
  const labels = new Map<string, number>();
  const entries: Buffer[] = [];
  let keptMs = 0;
  for (const origin of origins) {
    const label = JSON.stringify([origin.service, origin.version]);
    const index = labels.get(label) ?? labels.size;
    if (index >= MAX_LABELS) continue;
    labels.set(label, index);
    entries.push(digestOf(origin), Buffer.from([index]));
    keptMs = Math.max(keptMs, Math.round(origin.leftMs));
  }
  return {
    keptMs,
    labels: [...labels.keys()],
    origins: Buffer.concat(entries).toString('base64'),
  };
}

function parseLabel(label: unknown): PackedOrigin | undefined {
  try {
    const parsed: unknown = JSON.parse(String(label));
    if (!Array.isArray(parsed)) return undefined;
    const [service, version] = parsed as unknown[];
    const areTexts = typeof service === 'string' && typeof version === 'string';
    return areTexts ? {service, version} : undefined;
  } catch {
    return undefined;
  }
}

/** Adds the origins of a row to `known`; ignores what it can't read. */
export function unpackOrigins(
  row: JsonRecord,
  known: Map<string, PackedOrigin>,
): void {
  const {labels, origins} = row;
  if (!Array.isArray(labels) || typeof origins !== 'string') return;
  const parsed = labels.map(parseLabel);
  const bytes = Buffer.from(origins, 'base64');
  for (let at = 0; at + ENTRY_BYTES <= bytes.length; at += ENTRY_BYTES) {
    const origin = parsed[bytes[at + DIGEST_BYTES]];
    if (!origin) continue;
    known.set(bytes.toString('latin1', at, at + DIGEST_BYTES), origin);
  }
}

/** How long callers may come back for the streams of a row. */
export function keptMsOf({keptMs}: JsonRecord): number {
  return typeof keptMs === 'number' && keptMs > 0 ? keptMs : 0;
}
