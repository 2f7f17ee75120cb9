/** A logger that writes nothing. */

import type {Logger} from '../../src/ports/log.js';

const ignore = () => undefined;

export const silentLog: Logger = {
  error: ignore,
  warn: ignore,
  info: ignore,
  debug: ignore,
};
