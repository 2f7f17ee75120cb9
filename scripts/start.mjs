/**
 * `npm start`: installs and compiles what is missing, starts the stand-ins and
 * three hosts on loopback, shows a streamed model answer and a ledger posting
 * sent twice with one idempotency key, and then waits for Ctrl-C. With
 * `npm start -- --once` it exits with code 0 after the demonstration.
 *
 * This script starts all processes; no process of the system starts another.
 */

import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ensureCompiled,
  root,
  startProcess,
  stopProcesses,
} from './toolchain.mjs';

const HOSTS = ['ylikool-saal', 'annelinn-saal', 'raadi-ruum'];
const ENTRY_ADDRESSES = ['127.0.0.1:8081', '127.0.0.1:8082', '127.0.0.1:8083'];
const PEER_ADDRESS = '127.0.0.1:7901';
const PLATFORM_URL = 'http://127.0.0.1:7000';
const LEDGER_STATE_URL = 'http://127.0.0.1:7201/stand-in/books';
const CALLER_KEY = 'loopback-caller-key';
const KEYS = {
  CORIANDERBEND_PEER_KEY: 'loopback-peer-key',
  CORIANDERBEND_OPERATOR_KEY: 'loopback-operator-key',
};
const ENGINES = [
  {id: 'engine-1', port: 7101, role: 'prefill', domain: 'ylikool-saal'},
  {id: 'engine-2', port: 7102, role: 'prefill', domain: 'annelinn-saal'},
  {id: 'engine-3', port: 7103, role: 'decode', domain: 'raadi-ruum'},
  {id: 'engine-4', port: 7104, role: 'decode', domain: 'ylikool-saal'},
  {id: 'engine-5', port: 7105, role: 'decode', domain: 'annelinn-saal'},
];
const EXAMPLE_FOLDER = path.join(root, 'examples', 'loopback');
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

const print = text => console.log(text);

function startStandIn(kind, ...args) {
  const name = `stand-in ${kind}`;
  startProcess(name, ['stand-in', kind, ...args], {quiet: true});
}

/** Starts the platform first, because the other stand-ins register with it. */
async function startStandIns() {
  const start = startStandIn;
  start('platform', '--address', '127.0.0.1:7000');
  await waitUntilUp([`${PLATFORM_URL}/hosts`]);
  for (const {id, port, role, domain} of ENGINES) {
    start(
      'engine',
      ...['--id', id, '--address', `127.0.0.1:${port}`, '--role', role],
      ...['--domain', domain, '--service', 'aruande-koostaja'],
      ...['--models', 'aruande-koostaja', '--platform', PLATFORM_URL],
      ...['--answer-tokens', '40'],
    );
  }
  start(
    'service',
    ...['--id', 'ledger-1', '--address', '127.0.0.1:7201'],
    ...['--domain', 'ylikool-saal', '--service', 'uus-pearaamat'],
    ...['--platform', PLATFORM_URL],
  );
  const engineUrls = ENGINES.map(({port}) => `http://127.0.0.1:${port}/load`);
  await waitUntilUp([...engineUrls, LEDGER_STATE_URL]);
}

function startHosts() {
  for (const host of HOSTS) {
    const file = path.join(EXAMPLE_FOLDER, 'hosts', `${host}.yaml`);
    startProcess(
      host,
      [
        'serve',
        '--host-file',
        file,
        '--log-level',
        process.env.DEMO_LOG ?? 'warn',
      ],
      {
        env: KEYS,
      },
    );
  }
}

async function isUp(url) {
  try {
    const response = await fetch(url);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
}

async function waitUntilUp(urls) {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  for (const url of urls) {
    while (!(await isUp(url))) {
      if (Date.now() > deadlineMs) throw new Error(`${url} did not come up.`);
      await sleep(POLL_MS);
    }
  }
}

/** Runs a command of the program and returns its output; throws if it fails. */
async function runCommand(args) {
  const child = startProcess('command', args, {env: KEYS, quiet: true});
  const code = await child.ended;
  if (code !== 0) throw new Error(`${args.join(' ')}: ${child.output()}`);
  return child.output().trim();
}

/** Registers the entry hosts with the platform, as a data center would. */
async function registerHosts() {
  for (const [index, domain] of HOSTS.entries()) {
    const hostId = `${domain}-1`;
    await fetch(`${PLATFORM_URL}/hosts/${hostId}`, {
      method: 'PUT',
      body: JSON.stringify({
        hostId,
        failureDomain: domain,
        address: `127.0.0.1:${7901 + index}`,
        role: 'router',
        state: 'live',
      }),
    });
  }
}

async function applyConfiguration() {
  const args = ['config', 'apply', '--peer', PEER_ADDRESS];
  args.push('--base', path.join(EXAMPLE_FOLDER, 'base.yaml'));
  args.push(
    '--overlay',
    `loopback=${path.join(EXAMPLE_FOLDER, 'sites', 'loopback.yaml')}`,
  );
  print(await runCommand(args));
}

/** Retries 429 and 503 responses, as a caller would, until a deadline. */
async function callUntilServed(url, init) {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const response = await fetch(url, init);
    const isRefusal = response.status === 429 || response.status === 503;
    if (!isRefusal || Date.now() > deadlineMs) return response;
    await response.arrayBuffer();
    await sleep(POLL_MS);
  }
}

async function showModelAnswer() {
  const response = await callUntilServed(
    `http://${ENTRY_ADDRESSES[0]}/v1/chat/completions`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: 'aruande-koostaja',
        stream: true,
        max_tokens: 40,
        messages: [
          {
            role: 'user',
            content: 'Draft the notes to the annual report of the choir fund.',
          },
        ],
      }),
    },
  );
  if (!response.ok) throw new Error(`model answer: ${await response.text()}`);
  print('\nA model answer, streamed by the first entry:');
  const decoder = new TextDecoder();
  let incompleteLine = '';
  for await (const chunk of response.body) {
    incompleteLine += decoder.decode(chunk, {stream: true});
    const lines = incompleteLine.split('\n');
    incompleteLine = lines.pop();
    for (const line of lines) {
      if (!line.startsWith('data: {')) continue;
      const text = JSON.parse(line.slice('data: '.length)).choices?.[0]?.delta
        ?.content;
      if (text) process.stdout.write(text);
    }
  }
  print('');
}

async function sendPosting(entry, key) {
  const response = await callUntilServed(
    `http://${entry}/services/uus-pearaamat/postings`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'content-type': 'application/json',
        'idempotency-key': key,
      },
      body: JSON.stringify({account: 'choir-fund', amountCents: 12_500}),
    },
  );
  return {status: response.status, text: await response.text()};
}

async function showPosting() {
  const key = randomUUID();
  const first = await sendPosting(ENTRY_ADDRESSES[1], key);
  const second = await sendPosting(ENTRY_ADDRESSES[2], key);
  const ledgerState = await (await fetch(LEDGER_STATE_URL)).json();
  const runCount = ledgerState.runsByKey?.[key];
  print('\nA ledger posting, sent twice with one key, to two entries:');
  print(`  ${ENTRY_ADDRESSES[1]}: ${first.status} ${first.text}`);
  print(`  ${ENTRY_ADDRESSES[2]}: ${second.status} ${second.text}`);
  print(`  The ledger's own books: run ${runCount} time(s).`);
  if (
    runCount !== 1 ||
    first.text !== second.text ||
    first.status !== second.status
  ) {
    throw new Error('The posting was not run once and answered the same.');
  }
}

function showNextSteps() {
  print('\nEverything runs. Try, from another terminal:');
  print(`  curl http://${ENTRY_ADDRESSES[0]}/v1/entries`);
  print(
    `  curl -N http://${ENTRY_ADDRESSES[0]}/v1/chat/completions -H 'authorization: Bearer ${CALLER_KEY}' \\`,
  );
  print(
    '    -H \'content-type: application/json\' -d \'{"model":"aruande-koostaja","stream":true,"messages":[{"role":"user","content":"hello"}]}\'',
  );
  print('  export CORIANDERBEND_OPERATOR_KEY=loopback-operator-key');
  print(`  node build/src/cli/main.js status --peer ${PEER_ADDRESS}`);
  print('Read on in README.md and docs/operators. Ctrl-C stops it all.');
}

async function main() {
  ensureCompiled();
  await startStandIns();
  await registerHosts();
  startHosts();
  await waitUntilUp(ENTRY_ADDRESSES.map(entry => `http://${entry}/healthz`));
  await applyConfiguration();
  await waitUntilUp(ENTRY_ADDRESSES.map(entry => `http://${entry}/readyz`));
  await showModelAnswer();
  await showPosting();
  if (process.argv.includes('--once')) return;
  showNextSteps();
  await stopSignal;
}

// The handlers are installed before any process starts: a signal during startup
// would otherwise end this script and leave its processes running.
const stopSignal = new Promise(resolve => {
  process.once('SIGINT', resolve);
  process.once('SIGTERM', resolve);
}).then(() => print('\nStopping.'));

try {
  await Promise.race([main(), stopSignal]);
} catch (error) {
  const cause = error.cause ? ` (${error.cause.message})` : '';
  console.error(`npm start: ${error.message}${cause}`);
  process.exitCode = 1;
} finally {
  await stopProcesses();
}
