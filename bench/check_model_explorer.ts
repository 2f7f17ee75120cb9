/**
 * An explicit-state model checker. It searches all interleavings up to a given
 * depth, breadth first, so that the trace of a violation is a shortest one.
 *
 * Visited states are stored as 53-bit hashes of their keys. A hash collision
 * would hide a part of the search; its probability is about 1 in 10,000 for a
 * million states.
 */

import {FNV_OFFSET, FNV_PRIME} from '../src/core/hash_text.js';

export interface Transition<State> {
  readonly label: string;
  readonly next: State;
}

export interface Model<State> {
  readonly initial: State;
  /** Returns the same key for states with the same future behavior. */
  getKey(state: State): string;
  transitions(state: State): readonly Transition<State>[];
  /** Describes the violated invariant, if any. */
  findViolation(state: State): string | undefined;
}

export interface Exploration {
  readonly states: number;
  readonly transitions: number;
  readonly depth: number;
  /** Whether all states within the model's bounds were explored. */
  readonly isComplete: boolean;
  readonly violation?: {
    readonly text: string;
    readonly trace: readonly string[];
  };
}

interface Node<State> {
  readonly state: State;
  readonly label: string;
  readonly parent: Node<State> | undefined;
}

const LOW_BITS = 21;

function hashKey(text: string): number {
  let a = FNV_OFFSET;
  let b = 0x9747b28c;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    a = Math.imul(a ^ code, FNV_PRIME);
    b = Math.imul(b ^ code, 0x5bd1e995) ^ (b >>> 15);
  }
  return (a >>> 0) * 2 ** LOW_BITS + (b >>> (32 - LOW_BITS));
}

function getTrace<State>(node: Node<State> | undefined): readonly string[] {
  const labels: string[] = [];
  for (let at = node; at?.parent; at = at.parent) labels.unshift(at.label);
  return labels;
}

export function explore<State>(
  model: Model<State>,
  maxDepth: number,
): Exploration {
  const seen = new Set([hashKey(model.getKey(model.initial))]);
  let frontier: Node<State>[] = [
    {state: model.initial, label: '', parent: undefined},
  ];
  let transitions = 0;
  let depth = 0;
  for (; depth < maxDepth && frontier.length > 0; depth++) {
    const reached: Node<State>[] = [];
    for (const node of frontier) {
      for (const {label, next} of model.transitions(node.state)) {
        transitions++;
        const hash = hashKey(model.getKey(next));
        if (seen.has(hash)) continue;
        seen.add(hash);
        const child = {state: next, label, parent: node};
        const text = model.findViolation(next);
        if (text !== undefined) {
          const violation = {text, trace: getTrace(child)};
          const states = seen.size;
          return {states, transitions, depth, isComplete: false, violation};
        }
        reached.push(child);
      }
    }
    frontier = reached;
  }
  const isComplete = frontier.length === 0;
  return {states: seen.size, transitions, depth, isComplete};
}
