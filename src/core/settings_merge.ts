/**
 * Merges a site's overlay into the base. Mappings are merged by key and lists of
 * named items by name; other values are replaced. `null` removes a key and
 * `remove: true` removes an item of a named list.
 */

import {
  createDiagnostic,
  diagnosticMessages,
  type Diagnostic,
} from './diagnostics.js';
import type {
  LocatedEntry,
  LocatedList,
  LocatedMap,
  LocatedNode,
} from './settings_yaml.js';

/** Keys that identify an item of a list. */
const NAME_KEYS: readonly string[] = ['name', 'id'];
const REMOVE_KEY = 'remove';

export interface MergeResult {
  readonly root: LocatedMap;
  readonly diagnostics: readonly Diagnostic[];
}

export function mergeOverlay(
  base: LocatedMap,
  overlay: LocatedMap,
): MergeResult {
  const diagnostics: Diagnostic[] = [];
  return {root: mergeMaps(base, overlay, diagnostics), diagnostics};
}

function mergeNodes(
  base: LocatedNode,
  overlay: LocatedNode,
  diagnostics: Diagnostic[],
): LocatedNode {
  if (base.kind === 'map' && overlay.kind === 'map') {
    return mergeMaps(base, overlay, diagnostics);
  }
  if (isNamedList(base) && isNamedList(overlay)) {
    return mergeNamedLists(base, overlay, diagnostics);
  }
  return overlay;
}

function mergeMaps(
  base: LocatedMap,
  overlay: LocatedMap,
  diagnostics: Diagnostic[],
): LocatedMap {
  const entries = new Map<string, LocatedEntry>(base.entries);
  for (const [key, entry] of overlay.entries) {
    const below = base.entries.get(key);
    if (isNull(entry.value)) {
      if (!entries.delete(key)) {
        diagnostics.push(
          createDiagnostic(
            entry.keyPosition,
            diagnosticMessages.nothingToRemove,
            key,
          ),
        );
      }
    } else if (below) {
      const value = mergeNodes(below.value, entry.value, diagnostics);
      entries.set(key, {keyPosition: entry.keyPosition, value});
    } else {
      entries.set(key, entry);
    }
  }
  return {kind: 'map', position: base.position, entries};
}

function mergeNamedLists(
  base: LocatedList,
  overlay: LocatedList,
  diagnostics: Diagnostic[],
): LocatedList {
  const items = [...base.items];
  for (const item of overlay.items) {
    const name = getName(item);
    const index = items.findIndex(below => getName(below) === name);
    if (isRemoval(item)) {
      if (index >= 0) {
        items.splice(index, 1);
      } else {
        diagnostics.push(
          createDiagnostic(
            item.position,
            diagnosticMessages.nothingToRemove,
            name ?? '',
          ),
        );
      }
    } else if (index >= 0) {
      items[index] = mergeNodes(items[index], item, diagnostics);
    } else {
      items.push(item);
    }
  }
  return {kind: 'list', position: base.position, items};
}

function isNull(node: LocatedNode): boolean {
  return node.kind === 'scalar' && node.value === null;
}

function isNamedList(node: LocatedNode): node is LocatedList {
  return (
    node.kind === 'list' &&
    node.items.every(item => getName(item) !== undefined)
  );
}

function getName(node: LocatedNode): string | undefined {
  if (node.kind !== 'map') return undefined;
  for (const key of NAME_KEYS) {
    const value = node.entries.get(key)?.value;
    if (value?.kind === 'scalar' && typeof value.value === 'string') {
      return value.value;
    }
  }
  return undefined;
}

function isRemoval(node: LocatedNode): boolean {
  if (node.kind !== 'map') return false;
  const value = node.entries.get(REMOVE_KEY)?.value;
  return value?.kind === 'scalar' && value.value === true;
}
