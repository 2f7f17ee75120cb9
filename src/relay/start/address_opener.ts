/**
 * Opens the addresses of a process, and tries again while something is in the
 * way that may pass: a predecessor that is still leaving, or a connection whose
 * local port the kernel chose among ours.
 */

import type {Clock, TimerHandle} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import {StartError} from './start_error.js';

export interface AddressOpenerHost {
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the process was told to end. */
  isEnding(): boolean;
}

export interface AddressOpenerOptions {
  /** From the creation of the opener. */
  readonly giveUpAfterMs: number;
}

/** An address and what it is for. */
export interface OwnAddress<Opened> {
  readonly what: string;
  readonly address: string;
  /** Rejects with an error of the system; may be called again after it. */
  open(): Promise<Opened>;
}

export interface AddressOpener {
  /** Rejects with a `StartError`. */
  open<Opened>(own: OwnAddress<Opened>): Promise<Opened>;
  /** For an address that is not needed to serve; tries until `stop`. */
  openInBackground(own: OwnAddress<void>): void;
  stop(): void;
}

interface OpenFailure {
  readonly words: string;
  readonly mayPass: boolean;
}

const FAILURES: Readonly<Record<string, OpenFailure>> = {
  EADDRINUSE: {words: 'is in use by another socket', mayPass: true},
  // An interface may get its address after the process has started.
  EADDRNOTAVAIL: {words: 'is no address of this machine', mayPass: true},
  ENFILE: {words: 'found no free descriptor', mayPass: true},
  ENOBUFS: {words: 'found no memory in the system', mayPass: true},
  ENOMEM: {words: 'found no memory in the system', mayPass: true},
  EACCES: {words: 'may not be used by this user', mayPass: false},
};
const MIN_DELAY_MS = 20;
const MAX_DELAY_MS = 250;
const MAX_BACKGROUND_DELAY_MS = 2_000;
const MS_PER_SECOND = 1_000;

function toFailure(error: unknown): OpenFailure {
  const {code = ''} = error as NodeJS.ErrnoException;
  const known = FAILURES[code];
  if (!known) return {words: `cannot be used: ${error}`, mayPass: false};
  return {...known, words: `${known.words} (${code})`};
}

export function createAddressOpener(
  host: AddressOpenerHost,
  options: AddressOpenerOptions,
): AddressOpener {
  const {clock, log} = host;
  const startedAtMs = clock.nowMs();
  const giveUpAtMs = startedAtMs + options.giveUpAfterMs;
  const timers = new Set<TimerHandle>();

  const wait = (delayMs: number) =>
    new Promise<void>(resolve => {
      const timer = clock.setTimer(delayMs, () => {
        timers.delete(timer);
        resolve();
      });
      timers.add(timer);
    });

  /** Calls `open` until it succeeds or `decide` throws. */
  async function retry<Opened>(
    own: OwnAddress<Opened>,
    maxDelayMs: number,
    decide: (failure: OpenFailure) => void,
  ): Promise<Opened> {
    const {what, address} = own;
    const beganAtMs = clock.nowMs();
    let delayMs = MIN_DELAY_MS;
    for (let isFirst = true; ; isFirst = false) {
      try {
        const opened = await own.open();
        if (!isFirst) {
          const waitedMs = Math.round(clock.nowMs() - beganAtMs);
          log.info('The address is open now.', {what, address, waitedMs});
        }
        return opened;
      } catch (error) {
        const failure = toFailure(error);
        decide(failure);
        if (isFirst) {
          const reason = failure.words;
          log.warn('An address cannot be opened yet.', {what, address, reason});
        }
      }
      await wait(delayMs);
      delayMs = Math.min(delayMs * 2, maxDelayMs);
    }
  }

  return {
    open: own =>
      retry(own, MAX_DELAY_MS, ({words, mayPass}) => {
        if (host.isEnding()) {
          throw new StartError('ended', 'Told to end before it served.');
        }
        const triedMs = clock.nowMs() - startedAtMs;
        if (mayPass && clock.nowMs() < giveUpAtMs) return;
        const seconds = Math.round(triedMs / MS_PER_SECOND);
        const end = mayPass ? `; gave up after ${seconds} s` : '';
        throw new StartError(
          'failed',
          `The address for ${own.what}, ${own.address}, ${words}${end}.`,
        );
      }),
    openInBackground(own) {
      void retry(own, MAX_BACKGROUND_DELAY_MS, () => undefined);
    },
    stop() {
      for (const timer of timers) clock.clearTimer(timer);
    },
  };
}
