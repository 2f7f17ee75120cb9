/** Relay hosts: the project's program, started as the deploy file says. */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');

export async function freePort() {
  const server = net.createServer();
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** The words of `run` in deploy/system.toml. */
function readRunWords() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Settings as deploy/relay.yaml.template makes them. */
export async function createHost({folder, name, zone, store, more = {}}) {
  const address = async () => `127.0.0.1:${await freePort()}`;
  const settings = {
    hostId: name,
    failureDomain: zone,
    callerAddress: await address(),
    readyAddress: await address(),
    directoryAddress: await address(),
    metricsAddress: await address(),
    peerAddress: await address(),
    seedAddresses: [],
    storeAddress: store.address,
    retryRatio: 0.2,
    retrySlack: 58,
    leaveGraceMs: 8000,
    linkMbps: 1000,
    cpuShare: 0.675,
    coreCount: 1,
    memoryMb: 200,
    leaseMs: 3000,
    ...more,
  };
  const file = path.join(folder, `${name}.conf`);
  writeFileSync(file, JSON.stringify(settings));
  const log = createWriteStream(path.join(folder, `${name}.log`));
  const [program, ...words] = readRunWords();
  let child;
  let ended = Promise.resolve();
  return {
    name,
    settings,
    start() {
      const started = spawn(program, words, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          CORIANDERBEND_NODE_FILE: file,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      started.stdout.pipe(log, {end: false});
      started.stderr.pipe(log, {end: false});
      child = started;
      ended = new Promise(resolve => {
        started.on('exit', (code, signal) => {
          if (child === started) child = undefined;
          resolve({code, signal});
        });
      });
    },
    /** Signals only the process that `start` made. */
    signal(name) {
      return child?.kill(name) ?? false;
    },
    processId: () => child?.pid,
    isRunning: () => child !== undefined,
    ended: () => ended,
  };
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
