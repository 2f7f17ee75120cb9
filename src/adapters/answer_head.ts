/** Reads and checks the heads of answers, whatever has parsed them. */

import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {RawHeaders} from '../ports/relay.js';

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Informational answers precede the answer; 101 needs a request for it. */
function isFinalStatus(status: number): boolean {
  return (
    Number.isInteger(status) && status >= MIN_STATUS && status <= MAX_STATUS
  );
}

function isField(name: string, value: string): boolean {
  try {
    validateHeaderName(name);
    validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}

/** The first value of a field, whose name is given in lower case. */
export function findField(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i].toLowerCase() === name) return headers[i + 1];
  }
  return undefined;
}

/** Whether a text of an answer can be sent on as the value of a field. */
export function isFieldValue(text: unknown): text is string {
  return typeof text === 'string' && isField('X', text);
}

/**
 * Returns why a head can't be that of an answer; undefined if it can. A head
 * without a fault can be written as it is.
 */
export function findHeadFault(
  status: number,
  headers: RawHeaders,
): string | undefined {
  if (!isFinalStatus(status)) {
    return `the status ${status} is not that of an answer`;
  }
  for (let i = 0; i < headers.length; i += 2) {
    if (!isField(headers[i], headers[i + 1])) {
      return `the field ${JSON.stringify(headers[i])} is not well formed`;
    }
  }
  return undefined;
}
