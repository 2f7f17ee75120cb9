/** The host interface for commands, backed by the Node.js process. */

import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {createSystemRandom} from '../adapters/system_random.js';
import {RefusedError, type CliHost} from './command.js';

const READ_ERRORS: Readonly<Record<string, string>> = {
  ENOENT: 'there is no such file',
  EACCES: 'it may not be read',
  EISDIR: 'it is a folder',
};

export function createProcessHost(): CliHost {
  const random = createSystemRandom();
  return {
    readFile(path) {
      try {
        return readFileSync(path, 'utf8');
      } catch (error) {
        throw new RefusedError(`${path}: ${describeReadError(error)}.`);
      }
    },
    getEnvironment: name => process.env[name],
    writeOut: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
    nextId: () => random.nextId(),
    getUserName: () => userInfo().username,
  };
}

function describeReadError(error: unknown): string {
  const code =
    error instanceof Error && 'code' in error ? String(error.code) : '';
  return READ_ERRORS[code] ?? `it cannot be read (${code})`;
}
