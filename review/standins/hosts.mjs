/** Relay hosts: the project's program, started as the deploy file says. */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');

/** Processes that are running; none may outlive the script. */
const running = new Set();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(name, () => process.exit(2));
}

/** Below the range from which outgoing connections get their ports. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
const givenPorts = new Set();

function isFree(port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (givenPorts.has(port) || !(await isFree(port))) continue;
    givenPorts.add(port);
    return port;
  }
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
      running.add(started);
      ended = new Promise(resolve => {
        started.on('exit', (code, signal) => {
          running.delete(started);
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
