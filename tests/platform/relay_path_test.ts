import assert from 'node:assert/strict';
import type http from 'node:http';
import {afterEach, beforeEach, test} from 'node:test';
import {onSecondLoopback} from '../support/free_address.js';
import {
  createSite,
  makeConfiguration,
  PROMPT_HEADERS,
  until,
  untilReady,
  type Entry,
  type Site,
} from './relay_site.js';

let site: Site;

beforeEach(async () => {
  site = await createSite();
});

afterEach(() => site.close());

async function startEntry(): Promise<Entry> {
  site.configure(makeConfiguration());
  const entry = await site.addEntry();
  await untilReady(site, entry);
  return entry;
}

function eventIds(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)\ndata: token-\1\n\n/gm)].map(match =>
    Number(match[1]),
  );
}

const post = {method: 'POST', body: 'rida=1'};
const draft = {...post, headers: PROMPT_HEADERS};

test('an answer is forwarded byte for byte, with its signature and id', async () => {
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  const answer = await site.call(entry, '/makse/a%20b?c=d', {
    ...post,
    headers: {'X-Request-Id': 'q1', 'X-Own': 'kept', 'X-Kv-Hold': 'forged'},
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.body, 'answer of i-1');
  assert.equal(answer.headers['x-engine-stamp'], 'signed-by-i-1');
  assert.equal(answer.headers['x-request-id'], 'q1');
  const [run] = upstream.runs;
  assert.equal(run.method, 'POST');
  assert.equal(run.target, '/makse/a%20b?c=d');
  assert.equal(run.body, 'rida=1');
  assert.equal(run.headers['x-own'], 'kept');
  assert.equal(run.headers['x-kv-hold'], undefined);
  assert.equal(run.headers['x-expect-instance'], 'i-1');
  assert.ok(Number(run.headers['x-deadline-ms']) <= 5_000);
});

test('a body in chunks arrives whole and cannot carry a second request', async () => {
  // Guards against request smuggling: a body that looks like a request, where
  // the two sides disagree about the end of the message before it.
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  const inner = 'POST /makse/y HTTP/1.1\r\nHost: x\r\nX-Request-Id: z\r\n\r\n';
  await site.call(entry, '/makse/x', {
    method: 'POST',
    body: inner,
    headers: {'Transfer-Encoding': 'chunked'},
  });
  assert.equal(upstream.runs.length, 1);
  assert.equal(upstream.runs[0].body, inner);
});

test('an idempotent call is retried at another upstream after a failure', async () => {
  const first = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const second = await site.addUpstream({id: 'i-2', service: 'ledger'});
  const entry = await startEntry();
  for (const upstream of [first, second]) {
    first.setBehaviour('answer');
    second.setBehaviour('answer');
    upstream.setBehaviour('fail');
    const answer = await site.call(entry, '/saldo/1');
    assert.equal(answer.status, 200);
  }
});

test('the failure of the last attempt is forwarded unchanged', async () => {
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  upstream.setBehaviour('fail');
  const answer = await site.call(entry, '/saldo/1');
  assert.equal(answer.status, 500);
  assert.equal(answer.body, 'own failure');
  assert.equal(answer.headers['x-engine-stamp'], 'signed-by-i-1');
});

test('a posting whose answer is lost runs once and is not called not-run', async () => {
  // Guards against a payment that is posted twice: the upstream ran it, the
  // answer was lost, and the relay repeated it or reported it as not run.
  const first = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const second = await site.addUpstream({id: 'i-2', service: 'ledger'});
  const entry = await startEntry();
  first.setBehaviour('lose-answer');
  second.setBehaviour('lose-answer');
  const answer = await site.call(entry, '/makse/1', post);
  assert.equal(answer.status, 502);
  assert.equal(first.runs.length + second.runs.length, 1);
});

test('a posting that an upstream refused runs at another', async () => {
  const first = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const second = await site.addUpstream({id: 'i-2', service: 'ledger'});
  const entry = await startEntry();
  first.setBehaviour('full');
  for (let i = 0; i < 4; i++) {
    assert.equal((await site.call(entry, '/makse/1', post)).status, 200);
  }
  assert.equal(first.runs.length, 0);
  assert.equal(second.runs.length, 4);
});

test('when all upstreams refuse, the refusal has a `Retry-After`', async () => {
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  upstream.setBehaviour('full');
  const answer = await site.call(entry, '/makse/1', post);
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(upstream.runs.length, 0);
});

test('an answer to another request never reaches the caller', async () => {
  // Guards against disclosing another client's data: a late or repeated answer
  // is taken for the answer to the next request.
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  upstream.setBehaviour('wrong-id');
  const answer = await site.call(entry, '/makse/1', post);
  assert.equal(answer.status, 502);
  assert.ok(!answer.body.includes('answer of'));
});

test('a successful answer without a signature is not forwarded', async () => {
  const upstream = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  upstream.setBehaviour('unsigned');
  assert.equal((await site.call(entry, '/makse/1', post)).status, 502);
});

test('a request is not run by another upstream at the same address', async () => {
  // Guards against a request that runs at another service: its upstream has
  // stopped, and another one has started at the address.
  const upstream = await site.addUpstream({id: 'i-new', service: 'other'});
  site.store.put('servers', 'i-old', {...upstream.row(), service: 'ledger'});
  const entry = await startEntry();
  const answer = await site.call(entry, '/makse/1', post);
  assert.equal(answer.status, 503);
  assert.equal(upstream.runs.length, 0);
});

test('a body over the limit is refused', async () => {
  await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  const body = 'x'.repeat(5_000);
  const answer = await site.call(entry, '/makse/1', {method: 'POST', body});
  assert.equal(answer.status, 413);
});

test('a stream is prefilled on one engine, decoded on another, and complete', async () => {
  const prefill = await site.addUpstream({
    id: 'p-1',
    service: 'drafts',
    role: 'prefill',
  });
  const decode = await site.addUpstream({
    id: 'd-1',
    service: 'drafts',
    role: 'decode',
  });
  const entry = await startEntry();
  const answer = await site.call(entry, '/mustand/1', draft);
  assert.deepEqual(eventIds(answer.body), [1, 2, 3, 4, 5]);
  assert.equal(answer.isCut, false);
  assert.equal(prefill.runs[0].stage, 'prefill');
  assert.equal(decode.runs[0].stage, 'decode');
  assert.equal(decode.runs[0].headers['x-kv-source'], `${prefill.address}/h1`);
});

test('a resumable stream resumes on another engine, with each event once', async () => {
  // The engine crashes within an event. The rest comes from another engine,
  // and the caller doesn't get the incomplete event.
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  const engines = await Promise.all(
    ['d-1', 'd-2'].map(id =>
      site.addUpstream({id, service: 'drafts', role: 'decode', eventCount: 8}),
    ),
  );
  const entry = await startEntry();
  for (const engine of engines) engine.crashAfterEvents(3);
  const running = site.call(entry, '/lisa/1', draft);
  await until('the first run', () =>
    engines.some(each => each.runs.length > 0),
  );
  for (const engine of engines) {
    if (engine.runs.length === 0) engine.crashAfterEvents(100);
  }
  const answer = await running;
  assert.deepEqual(eventIds(answer.body), [1, 2, 3, 4, 5, 6, 7, 8]);
  assert.equal(answer.isCut, false);
  assert.ok(!/data: to\n|data: toid/.test(answer.body));
});

test('a stream that may not be resumed runs once and ends as interrupted', async () => {
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  const engines = await Promise.all(
    ['d-1', 'd-2'].map(id =>
      site.addUpstream({id, service: 'drafts', role: 'decode'}),
    ),
  );
  const entry = await startEntry();
  for (const engine of engines) engine.crashAfterEvents(2);
  const answer = await site.call(entry, '/mustand/1', draft);
  assert.equal(answer.isCut, true);
  assert.equal(engines[0].runs.length + engines[1].runs.length, 1);
});

test('an engine stops when the caller disconnects', async () => {
  // Guards against engines that work for callers that have gone, with memory
  // that waiting requests need.
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  const decode = await site.addUpstream({
    id: 'd-1',
    service: 'drafts',
    role: 'decode',
    eventCount: 1_000,
  });
  const entry = await startEntry();
  let caller: http.ClientRequest | undefined;
  const running = site.call(entry, '/mustand/1', {
    ...draft,
    onStart(request) {
      caller = request;
    },
  });
  await until('the run', () => decode.runs.length === 1);
  caller?.destroy();
  // The disconnect may come before or after the response head.
  await running.catch(() => undefined);
  await until('the end of the run', () => decode.runs[0].wasDisconnected);
});

test('unknown hosts and paths are 404; without a configuration all is 503', async () => {
  const entry = await site.addEntry();
  assert.equal((await site.call(entry, '/saldo/1')).status, 503);
  site.configure(makeConfiguration());
  await until('the configuration', async () => {
    const answer = await site.call(entry, '/none/1');
    return answer.status === 404;
  });
});

test('a new configuration version is applied soon, and an older one is not applied after it', async () => {
  await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  assert.equal((await site.call(entry, '/saldo/1')).status, 200);
  const version = site.configure(makeConfiguration({routes: []}));
  await until('the new version', async () => {
    return (await site.call(entry, '/saldo/1')).status === 404;
  });
  const older = {version: version - 1, ...makeConfiguration()};
  site.store.put('op', 'config', older);
  await new Promise(resolve => setTimeout(resolve, 300));
  assert.equal((await site.call(entry, '/saldo/1')).status, 404);
});

test('the table is read again when the feed has lost its history', async () => {
  await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  site.store.setMode('busy');
  await new Promise(resolve => setTimeout(resolve, 1_200));
  site.configure(makeConfiguration({routes: []}));
  site.store.dropHistory();
  site.store.setMode('serving');
  await until('the new version', async () => {
    return (await site.call(entry, '/saldo/1')).status === 404;
  });
});

test('an upstream that drains or leaves gets no more requests', async () => {
  const first = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const second = await site.addUpstream({id: 'i-2', service: 'ledger'});
  const entry = await startEntry();
  site.list(first, 'draining');
  await new Promise(resolve => setTimeout(resolve, 1_500));
  const before = first.runs.length;
  for (let i = 0; i < 6; i++) await site.call(entry, '/saldo/1');
  assert.equal(first.runs.length, before);
  assert.equal(second.runs.length, 6);
});

test('callers are served while the store is unavailable', async () => {
  await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  site.store.setMode('silent');
  await new Promise(resolve => setTimeout(resolve, 2_500));
  assert.equal((await site.call(entry, '/saldo/1')).status, 200);
  site.store.setMode('serving');
});

test('a host that cannot read the store gets the configuration from a peer', async () => {
  // Guards against a new host that the store refuses and that therefore
  // refuses every caller, although its peers have the configuration.
  await site.addUpstream({id: 'i-1', service: 'ledger'});
  const entry = await startEntry();
  const peer = await site.addEntry({
    storeAddress: '127.0.0.1:9',
    seedAddresses: [entry.settings.peerAddress],
    peerAddress: onSecondLoopback(entry.settings.peerAddress),
  });
  await untilReady(site, peer);
  assert.equal((await site.call(peer, '/saldo/1')).status, 200);
});

test('a leaving entry is removed from the directory and ends its requests', async () => {
  await site.addUpstream({id: 'p-1', service: 'drafts', role: 'prefill'});
  await site.addUpstream({
    id: 'd-1',
    service: 'drafts',
    role: 'decode',
    eventCount: 30,
    eventEveryMs: 30,
  });
  const entry = await startEntry();
  const peer = await site.addEntry({
    seedAddresses: [entry.settings.peerAddress],
    peerAddress: onSecondLoopback(entry.settings.peerAddress),
  });
  await untilReady(site, peer);
  const resolve = async () => {
    const path = '/corianderbend/resolve?name=x&region=r&zone=z';
    const answer = await site.ask(peer.settings.directoryAddress, path);
    return (JSON.parse(answer.body) as {addresses: string[]}).addresses;
  };
  await until('both', async () => (await resolve()).length === 2);
  const running = site.call(entry, '/mustand/1', draft);
  await new Promise(done => setTimeout(done, 150));
  entry.process.leave();
  const ready = await site.ask(
    entry.settings.readyAddress,
    '/corianderbend/readyz',
  );
  assert.equal(ready.status, 503);
  await until('one', async () => (await resolve()).length === 1);
  assert.deepEqual(await resolve(), [peer.settings.callerAddress]);
  assert.equal(eventIds((await running).body).length, 30);
  assert.equal(await entry.process.ended, 0);
});

test('engines change their role by the fenced orders of one host', async () => {
  const engines = await Promise.all(
    [1, 2, 3, 4, 5].map(i =>
      site.addUpstream({id: `e-${i}`, service: 'drafts', role: 'prefill'}),
    ),
  );
  await startEntry();
  await until('an order', () => engines.some(each => each.orders.length > 0));
  const orders = engines.flatMap(each => each.orders);
  assert.equal(orders[0].stage, 'decode');
  assert.ok(orders[0].fence >= 1);
});

test('a call that ran is never called not-run, although the retry was refused', async () => {
  // Guards against telling a caller that its call didn't run: the first
  // upstream ran it and lost the answer, and the second one was full.
  const first = await site.addUpstream({id: 'i-1', service: 'ledger'});
  const second = await site.addUpstream({id: 'i-2', service: 'ledger'});
  const entry = await startEntry();
  for (const [loses, refuses] of [
    [first, second],
    [second, first],
  ]) {
    loses.setBehaviour('lose-answer');
    refuses.setBehaviour('full');
    const before = loses.runs.length;
    const answer = await site.call(entry, '/saldo/1');
    const hasRun = loses.runs.length > before;
    assert.equal(answer.status, hasRun ? 502 : 503);
  }
  assert.ok(first.runs.length + second.runs.length > 0);
});

test('a prefill result that no decode engine accepts is released', async () => {
  // Guards against a prefill result that occupies memory after every decode
  // engine has refused the request.
  const prefillEngine = await site.addUpstream({
    id: 'p-1',
    service: 'drafts',
    role: 'prefill',
  });
  const decode = await site.addUpstream({
    id: 'd-1',
    service: 'drafts',
    role: 'decode',
  });
  decode.setBehaviour('full');
  const entry = await startEntry();
  const answer = await site.call(entry, '/mustand/1', draft);
  assert.equal(answer.status, 503);
  assert.ok(prefillEngine.runs.length > 0);
  await until('freed', () => prefillEngine.keptResultCount() === 0);
});
