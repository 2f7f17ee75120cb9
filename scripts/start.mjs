/**
 * `npm start`: installs and compiles what is missing, starts the stand-ins and
 * three processes of the system on loopback, shows a streamed model answer and
 * a ledger posting sent twice with one key, and then waits for Ctrl-C.
 * `npm start -- --once` stops by itself with exit code 0.
 *
 * The processes are started here, by a script: no process of the system starts
 * another.
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
const ENTRIES = ['127.0.0.1:8081', '127.0.0.1:8082', '127.0.0.1:8083'];
const PEER = '127.0.0.1:7901';
const PLATFORM = 'http://127.0.0.1:7000';
const LEDGER_BOOKS = 'http://127.0.0.1:7201/stand-in/books';
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
const EXAMPLE = path.join(root, 'examples', 'loopback');
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

const say = text => console.log(text);

function startStandIn(kind, ...args) {
  const name = `stand-in ${kind}`;
  startProcess(name, ['stand-in', kind, ...args], {quiet: true});
}

/** The others put themselves on the platform's list, so it comes first. */
async function startStandIns() {
  const start = startStandIn;
  start('platform', '--address', '127.0.0.1:7000');
  await waitUntilUp([`${PLATFORM}/hosts`]);
  for (const {id, port, role, domain} of ENGINES) {
    start(
      'engine',
      ...['--id', id, '--address', `127.0.0.1:${port}`, '--role', role],
      ...['--domain', domain, '--service', 'aruande-koostaja'],
      ...['--models', 'aruande-koostaja', '--platform', PLATFORM],
      ...['--answer-tokens', '40'],
    );
  }
  start(
    'service',
    ...['--id', 'ledger-1', '--address', '127.0.0.1:7201'],
    ...['--domain', 'ylikool-saal', '--service', 'uus-pearaamat'],
    ...['--platform', PLATFORM],
  );
  const engineUrls = ENGINES.map(({port}) => `http://127.0.0.1:${port}/load`);
  await waitUntilUp([...engineUrls, LEDGER_BOOKS]);
}

function startHosts() {
  for (const host of HOSTS) {
    const file = path.join(EXAMPLE, 'hosts', `${host}.yaml`);
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
  const endMs = Date.now() + READY_TIMEOUT_MS;
  for (const url of urls) {
    while (!(await isUp(url))) {
      if (Date.now() > endMs) throw new Error(`${url} did not come up.`);
      await sleep(POLL_MS);
    }
  }
}

/** Runs a command of the program to its end. */
async function runCommand(args) {
  const child = startProcess('command', args, {env: KEYS, quiet: true});
  const code = await child.ended;
  if (code !== 0) throw new Error(`${args.join(' ')}: ${child.output()}`);
  return child.output().trim();
}

/** Puts the entry hosts on the platform's list, as a machine room would. */
async function enlistHosts() {
  for (const [index, domain] of HOSTS.entries()) {
    const hostId = `${domain}-1`;
    await fetch(`${PLATFORM}/hosts/${hostId}`, {
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
  const args = ['config', 'apply', '--peer', PEER];
  args.push('--base', path.join(EXAMPLE, 'base.yaml'));
  args.push(
    '--overlay',
    `loopback=${path.join(EXAMPLE, 'sites', 'loopback.yaml')}`,
  );
  say(await runCommand(args));
}

/** Retries refusals that say when to come back, as a caller would. */
async function callUntilServed(url, init) {
  const endMs = Date.now() + READY_TIMEOUT_MS;
  for (;;) {
    const response = await fetch(url, init);
    const isRefusal = response.status === 429 || response.status === 503;
    if (!isRefusal || Date.now() > endMs) return response;
    await response.arrayBuffer();
    await sleep(POLL_MS);
  }
}

async function showModelAnswer() {
  const response = await callUntilServed(
    `http://${ENTRIES[0]}/v1/chat/completions`,
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
  say('\nA model answer, streamed by the first entry:');
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of response.body) {
    rest += decoder.decode(chunk, {stream: true});
    const lines = rest.split('\n');
    rest = lines.pop();
    for (const line of lines) {
      if (!line.startsWith('data: {')) continue;
      const text = JSON.parse(line.slice('data: '.length)).choices?.[0]?.delta
        ?.content;
      if (text) process.stdout.write(text);
    }
  }
  say('');
}

async function post(entry, key) {
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
  const first = await post(ENTRIES[1], key);
  const second = await post(ENTRIES[2], key);
  const books = await (await fetch(LEDGER_BOOKS)).json();
  const runs = books.runsByKey?.[key];
  say('\nA ledger posting, sent twice with one key, to two entries:');
  say(`  ${ENTRIES[1]}: ${first.status} ${first.text}`);
  say(`  ${ENTRIES[2]}: ${second.status} ${second.text}`);
  say(`  The ledger's own books: run ${runs} time(s).`);
  if (
    runs !== 1 ||
    first.text !== second.text ||
    first.status !== second.status
  ) {
    throw new Error('The posting was not run once and answered the same.');
  }
}

function showNextSteps() {
  say('\nEverything runs. Try, from another terminal:');
  say(`  curl http://${ENTRIES[0]}/v1/entries`);
  say(
    `  curl -N http://${ENTRIES[0]}/v1/chat/completions -H 'authorization: Bearer ${CALLER_KEY}' \\`,
  );
  say(
    '    -H \'content-type: application/json\' -d \'{"model":"aruande-koostaja","stream":true,"messages":[{"role":"user","content":"hello"}]}\'',
  );
  say('  export CORIANDERBEND_OPERATOR_KEY=loopback-operator-key');
  say(`  node build/src/cli/main.js status --peer ${PEER}`);
  say('Read on in README.md and docs/operators. Ctrl-C stops it all.');
}

async function main() {
  ensureCompiled();
  await startStandIns();
  await enlistHosts();
  startHosts();
  await waitUntilUp(ENTRIES.map(entry => `http://${entry}/healthz`));
  await applyConfiguration();
  await waitUntilUp(ENTRIES.map(entry => `http://${entry}/readyz`));
  await showModelAnswer();
  await showPosting();
  if (process.argv.includes('--once')) return;
  showNextSteps();
  await stopSignal;
}

// Listened to from the start: a signal that came while the processes start
// would otherwise end this script and leave them behind.
const stopSignal = new Promise(resolve => {
  process.once('SIGINT', resolve);
  process.once('SIGTERM', resolve);
}).then(() => say('\nStopping.'));

try {
  await Promise.race([main(), stopSignal]);
} catch (error) {
  const cause = error.cause ? ` (${error.cause.message})` : '';
  console.error(`npm start: ${error.message}${cause}`);
  process.exitCode = 1;
} finally {
  await stopProcesses();
}
