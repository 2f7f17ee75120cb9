/**
 * The operator takes the last client account away. From then on, hosts run the
 * requests of anybody: with the withdrawn key, with a key that no configuration
 * ever held, and without a key.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createHost, sleep} from '../standins/hosts.mjs';
import {startPlainService} from '../standins/plain_service.mjs';
import {startStore} from '../standins/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const REVOKE_MS = 5_000;
const DEADLINE_MS = 3_026;
const ZONES = ['sofia-a', 'sofia-b', 'sofia-c'];
const FOLDER = import.meta.dirname;
const HELD_KEY = 'key-of-the-only-bureau';
const OTHER_KEY = 'key-that-nobody-ever-held';
const PAUSE_MS = 50;
/** How long calls are sent, before the change and after it. */
const CALM_MS = 3_000;
const AFTER_MS = 12_000;

const lines = [];
const calls = [];
const zeroMs = Date.now();
const at = ms => ((ms - zeroMs) / 1_000).toFixed(3);

const route = (name, prefix, kind, attempts) => ({
  name,
  host: 'desk.example',
  prefix,
  kind,
  service: 'wire-desk',
  attempts,
  timeout_ms: 3_000,
  goal_ms: 389,
  priority: 2,
});

const configuration = (version, tenants) => ({
  version,
  routes: [
    route('release-dispatch', '/release/', 'non_idempotent', 1),
    route('status-lookup', '/status/', 'idempotent', 2),
  ],
  services: [{name: 'wire-desk', health_path: '/healthz', max_conns: 470}],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants,
});

const BUREAU = {name: 'bureau-1', api_keys: [HELD_KEY], priority: 1};

/** Callers that differ in their key. */
const CALLERS = [
  {who: 'the withdrawn key', key: HELD_KEY},
  {who: 'a key never held', key: OTHER_KEY},
  {who: 'no key', key: undefined},
];

function send(host, {who, key}) {
  return new Promise(resolve => {
    const id = `${calls.length}-${Math.random().toString(16).slice(2, 10)}`;
    const call = {id, who, host: host.name, sentAtMs: Date.now(), end: 'open'};
    calls.push(call);
    const finish = end => {
      clearTimeout(timer);
      if (call.end === 'open') call.end = end;
      resolve();
    };
    const request = http.request({
      host: '127.0.0.1',
      port: Number(host.settings.callerAddress.split(':')[1]),
      method: 'POST',
      path: '/release/7',
      agent: false,
      headers: {
        Host: 'desk.example',
        'X-Request-Id': id,
        'X-Deadline-Ms': String(DEADLINE_MS),
        ...(key && {Authorization: `Bearer ${key}`}),
      },
    });
    const timer = setTimeout(() => request.destroy(), DEADLINE_MS);
    request.on('error', error => finish(`no answer: ${error.code}`));
    request.on('response', response => {
      response.resume();
      response.on('end', () => finish(String(response.statusCode)));
    });
    request.end(Buffer.alloc(600, 'w'));
  });
}

async function waitUntilReady(host) {
  for (let i = 0; i < 150; i++) {
    const url = `http://${host.settings.readyAddress}/corianderbend/readyz`;
    const isReady = await fetch(url).then(
      answer => answer.status === 200,
      () => false,
    );
    if (isReady) return true;
    await sleep(100);
  }
  return false;
}

async function sendFor(durationMs, hosts) {
  const endMs = Date.now() + durationMs;
  const pending = [];
  for (let i = 0; Date.now() < endMs; i++) {
    for (const caller of CALLERS) {
      pending.push(send(hosts[i % hosts.length], caller));
    }
    await sleep(PAUSE_MS);
  }
  await Promise.all(pending);
}

function describe(title, some, runs) {
  lines.push(title);
  for (const {who} of CALLERS) {
    const own = some.filter(call => call.who === who);
    const ends = new Map();
    for (const {end} of own) ends.set(end, (ends.get(end) ?? 0) + 1);
    const ended = [...ends].map(([end, count]) => `${end}: ${count}`);
    const ran = own.filter(({id}) => runs.has(id)).length;
    lines.push(
      `  with ${who}: ${own.length} sent, ${ran} ran; ` +
        `ended ${ended.join(', ')}`,
    );
  }
}

async function main() {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
  const store = await startStore();
  const services = [];
  const hosts = [];
  try {
    store.put('op', 'config', configuration(3, [BUREAU]));
    const more = {keyWithdrawalMs: REVOKE_MS};
    for (const zone of ZONES) {
      const id = `i-desk-${zone}`;
      const service = 'wire-desk';
      const workMs = () => 40;
      services.push(
        await startPlainService({store, id, service, zone, workMs}),
      );
      const name = `front-${zone}-1`;
      hosts.push(await createHost({folder, name, zone, store, more}));
    }
    for (const host of hosts) host.start();
    const areReady = await Promise.all(hosts.map(waitUntilReady));
    if (areReady.includes(false)) {
      lines.push('The hosts did not become ready.');
      return 2;
    }
    await sleep(2_500);
    await sendFor(CALM_MS, hosts);
    const changedAtMs = Date.now();
    // Without trouble, the new version changes nothing but its number.
    store.put('op', 'config', configuration(8, HAS_TROUBLE ? [] : [BUREAU]));
    await sendFor(AFTER_MS, hosts);
    return report(changedAtMs, services);
  } finally {
    for (const host of hosts) {
      host.signal('SIGKILL');
      await host.ended();
    }
    for (const service of services) service.close();
    store.close();
    rmSync(folder, {recursive: true, force: true});
  }
}

function report(changedAtMs, services) {
  const runs = new Map(
    services.flatMap(each => each.runs.map(run => [run.id, run])),
  );
  const before = calls.filter(({sentAtMs}) => sentAtMs < changedAtMs);
  const late = calls.filter(({sentAtMs}) => sentAtMs > changedAtMs + REVOKE_MS);
  lines.push(
    `The new version was acknowledged at ${at(changedAtMs)} s; ` +
      `tenants: ${HAS_TROUBLE ? '[]' : 'as before'}.`,
  );
  describe('Sent before it:', before, runs);
  describe(`Sent later than ${REVOKE_MS} ms after it:`, late, runs);
  const isServed = before.some(({who, end}) => {
    return who === CALLERS[0].who && end === '200';
  });
  if (!isServed) {
    lines.push('The key did not work before the change.');
    return 2;
  }
  // Runs with a key that the newest configuration doesn't hold.
  const isWrong = ({who}) => HAS_TROUBLE || who !== CALLERS[0].who;
  const broken = late.filter(call => isWrong(call) && runs.has(call.id));
  for (const {id, who, host, sentAtMs, end} of broken.slice(0, 20)) {
    const {account, startedAtMs} = runs.get(id);
    lines.push(
      `  POST ${id} with ${who}, sent to ${host} at ${at(sentAtMs)} s, ` +
        `${sentAtMs - changedAtMs} ms after the change, ran at ` +
        `${at(startedAtMs)} s for X-Tenant ${account ?? '(none)'}; ${end}`,
    );
  }
  listCalls(runs);
  return broken.length > 0 ? 1 : 0;
}

/** What was sent, run and answered, a line each. */
function listCalls(runs) {
  lines.push('All calls: id, key, host, sent; run; end:');
  for (const {id, who, host, sentAtMs, end} of calls) {
    const run = runs.get(id);
    const ran = run ? `run at ${at(run.startedAtMs)} s` : 'not run';
    lines.push(`  ${id} ${who}, ${host} ${at(sentAtMs)} s; ${ran}; ${end}`);
  }
}

let status = 2;
try {
  status = await main();
} catch (error) {
  lines.push(`The case could not run: ${error.stack}`);
}
const verdict = ['held', 'broken', 'not run'][status];
const trouble = HAS_TROUBLE ? 'with trouble' : 'without trouble';
lines.unshift(`CONFIG, ${trouble}: ${verdict}`);
writeFileSync(path.join(FOLDER, 'record.txt'), `${lines.join('\n')}\n`);
console.log(lines[0]);
process.exit(status);
