/**
 * Tells whether an answer without a length to an upload ended as a whole.
 *
 * An upstream that fails may answer before it has read the upload, end its side
 * of the connection and reset it later. That end looks like the end of a whole
 * answer. Once both sides have ended, the reset can't be seen any more.
 */

import type http from 'node:http';
import type {Clock} from '../ports/clock.js';
import {isReset} from './connection_reset.js';

export interface UploadAnswer {
  /** Called when the upstream has ended its side, before Node acts on it. */
  hold(): void;
  /**
   * Called at the end of the answer. Resolves to the reason for which it can't
   * be whole, if there is one.
   */
  findFault(): Promise<string | undefined>;
  /** Lets the connection close. */
  release(): void;
}

/** An upstream that closes with unread bytes resets within this time. */
export const RESET_WAIT_MS = 150;
/** Why an early answer can't be whole. */
export const EARLY_FAULTS = {
  unwritten: 'the answer ended while its upload was written',
  reset: 'the connection was reset after its end',
} as const;
const FIRST_REDIRECT = 300;
/** How Node's client closes a connection; it expects that it can't write then. */
const KEPT_OPEN: PropertyDescriptorMap = {
  destroy: {configurable: true, value: () => undefined},
  writable: {configurable: true, value: false},
};

/**
 * Whether an answer to an upload may look whole although it broke off. The end
 * of a failure is passed on: its status is what matters.
 */
export function mayEndEarly(
  uploadBytes: number,
  status: number,
  bodyIsUnframed: boolean,
): boolean {
  return uploadBytes > 0 && status < FIRST_REDIRECT && bodyIsUnframed;
}

export function createUploadAnswer(
  clock: Clock,
  request: http.ClientRequest,
  hasFailed: () => boolean,
): UploadAnswer {
  const {socket} = request;
  let isHeld = false;
  let wasWritten = false;

  return {
    hold() {
      wasWritten = request.writableFinished;
      if (!wasWritten || !socket) return;
      isHeld = true;
      Object.defineProperties(socket, KEPT_OPEN);
    },
    async findFault() {
      if (!wasWritten) {
        return EARLY_FAULTS.unwritten;
      }
      await new Promise<void>(resolve => {
        clock.setTimer(RESET_WAIT_MS, resolve);
      });
      const isBroken = hasFailed() || !socket || isReset(socket);
      return isBroken ? EARLY_FAULTS.reset : undefined;
    },
    release() {
      if (!isHeld || !socket) return;
      isHeld = false;
      for (const name of Object.keys(KEPT_OPEN)) {
        Reflect.deleteProperty(socket, name);
      }
      socket.destroy();
    },
  };
}
