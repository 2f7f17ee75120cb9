import assert from 'node:assert/strict';
import {afterEach, test, type TestContext} from 'node:test';
import http from 'node:http';
import net from 'node:net';
import {encodeFrame} from '../../../src/relay/forwarding/forward_frames.js';
import {createCancellation} from '../../../src/relay/front/cancellation.js';
import {
  createForwardingSite,
  makeOptions,
  makeRequest,
  readAnswer,
  REFUSED,
  UPSTREAMS,
  type ForwardingHostStandIn,
  type ForwardingSite,
} from './forwarding_site.js';

let site: ForwardingSite;

afterEach(() => site.close());

async function createHosts(
  count: number,
): Promise<readonly ForwardingHostStandIn[]> {
  site = await createForwardingSite(count);
  return site.hosts;
}

let nextId = 1;

async function send(
  {forwarding}: ForwardingHostStandIn,
  {upstream = UPSTREAMS[0], onData = () => {}} = {},
  cancellation = createCancellation(),
) {
  const request = makeRequest(`r-${nextId++}`);
  const options = makeOptions(upstream);
  const outcome = await forwarding.port.send(request, options, cancellation);
  return readAnswer(outcome, cancellation, onData);
}

async function untilTrue(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 500 && !condition(); i++) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

const WHOLE = {text: 'first last', end: 'whole'};

test('a call that this host cannot connect is made once, by a peer', async () => {
  // Guards against callers that are refused by a host whose links are cut.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  assert.deepEqual(await send(cut), WHOLE);
  assert.deepEqual(await send(cut), WHOLE);
  assert.equal(peer.sent.length, 2);
  assert.equal(cut.forwarding.links.pathTo('u-1'), 'peer');
  await untilTrue(() => peer.forwarding.server.activeCount() === 0);
  assert.equal(peer.forwarding.server.activeCount(), 0);
});

test('a call that was sent is not made again by a peer', async () => {
  // Guards against a posting that runs twice.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'lose';
  const outcome = await send(cut);
  assert.deepEqual(outcome, {kind: 'broken', detail: 'no answer'});
  assert.deepEqual(peer.sent, []);
});

test('a call that a peer has sent is not made by another peer', async () => {
  // Guards against a posting that runs twice, once for each peer.
  const [cut, ...peers] = await createHosts(3);
  cut.behaviour = 'refuse';
  for (const peer of peers) peer.behaviour = 'lose';
  const outcome = await send(cut);
  assert.deepEqual(outcome, {kind: 'broken', detail: 'no answer'});
  assert.equal(peers.flatMap(({sent}) => sent).length, 1);
});

test('a peer that dies half-way is told from an upstream that breaks off', async () => {
  // Guards against an answer that looks complete, or that counts against the
  // upstream, since the peer that passed it on has died.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'begin';
  assert.deepEqual(await send(cut, {onData: peer.die}), {
    text: 'first ',
    end: 'broken',
    cause: {isOfPeer: true},
  });
});

test('a peer that dies before its answer is read ends the answer', async () => {
  // Guards against a caller that waits until its deadline for an answer that
  // has broken off unnoticed.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'begin';
  const cancellation = createCancellation();
  const {port} = cut.forwarding;
  const request = makeRequest('r-unread');
  const outcome = await port.send(request, makeOptions(), cancellation);
  peer.die();
  await untilTrue(() => peer.closedCalls.length > 0);
  await new Promise(resolve => setTimeout(resolve, 50));
  const result = await Promise.race([
    readAnswer(outcome, cancellation),
    new Promise(resolve => setTimeout(resolve, 1_000, 'no end')),
  ]);
  const end = {text: 'first ', end: 'broken', cause: {isOfPeer: true}};
  assert.deepEqual(result, end);
});

test('an answer without end that a peer passes on ends at the timeout', async () => {
  // Guards against calls without an end at this host and at its peer.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'begin';
  let hasBegun = false;
  const result = send(cut, {onData: () => (hasBegun = true)});
  await untilTrue(() => hasBegun);
  await site.clock.advance(3_000);
  assert.deepEqual(await result, {
    text: 'first ',
    end: 'broken',
    cause: {isOfPeer: true},
  });
  await untilTrue(() => peer.closedCalls.length > 0);
  assert.deepEqual(peer.closedCalls, peer.sent);
});

test('an upstream that breaks off behind a peer is reported as such', async () => {
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'break-off';
  const end = {text: 'first ', end: 'broken', cause: undefined};
  assert.deepEqual(await send(cut), end);
});

test('an answer without a body behind a peer is whole', async () => {
  // Guards against requests that ran at a peer and count as broken off.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'no-body';
  assert.deepEqual(await send(cut), {text: '', end: 'whole'});
});

test('a dead peer is passed over', async () => {
  const [cut, dead, peer] = await createHosts(3);
  cut.behaviour = 'refuse';
  dead.die();
  for (let i = 0; i < 4; i++) assert.deepEqual(await send(cut), WHOLE);
  assert.equal(peer.sent.length, 4);
});

test('hosts that are all cut off do not pass calls on to each other', async () => {
  // Guards against a call that goes round between hosts.
  const hosts = await createHosts(3);
  for (const host of hosts) host.behaviour = 'refuse';
  for (const host of hosts) assert.deepEqual(await send(host), REFUSED);
  for (const {forwarding, sent} of hosts) {
    assert.deepEqual(sent, []);
    assert.equal(forwarding.links.cutCount(), 0);
  }
});

test('a peer makes no call to an upstream that takes no new work', async () => {
  // Guards against requests to an upstream that leaves, past the word of the
  // host that knows.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.closed.add('u-1');
  assert.deepEqual(await send(cut), REFUSED);
  assert.deepEqual(await send(cut, {upstream: UPSTREAMS[1]}), WHOLE);
});

test('a caller that leaves ends the call at the peer', async () => {
  // Guards against an upstream that works for a caller that has gone.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'begin';
  const cancellation = createCancellation();
  const onData = () => cancellation.cancel();
  const result = await send(cut, {onData}, cancellation);
  assert.deepEqual(result, {text: 'first ', end: 'cancelled'});
  await untilTrue(() => peer.closedCalls.length > 0);
  assert.deepEqual(peer.closedCalls, peer.sent);
});

test('a caller that leaves before the answer is not held against the peer', async () => {
  // Guards against a peer that is passed over whenever a caller leaves early.
  const [cut, peer] = await createHosts(2);
  cut.behaviour = 'refuse';
  peer.behaviour = 'hang';
  const cancellation = createCancellation();
  const waiting = send(cut, {}, cancellation);
  await untilTrue(() => peer.sent.length > 0);
  cancellation.cancel();
  assert.deepEqual(await waiting, {kind: 'cancelled'});
  peer.behaviour = 'answer';
  assert.deepEqual(await send(cut), WHOLE);
});

test('a host that reaches no upstream asks peers first, until one answers it', async () => {
  // Guards against a wait at each further upstream of a host that is cut off.
  const [cut, peer] = await createHosts(2);
  const {links} = cut.forwarding;
  cut.behaviour = 'refuse';
  await send(cut);
  assert.ok(!links.isIsolated(), 'one upstream may have its own fault');
  await send(cut, {upstream: UPSTREAMS[1]});
  assert.ok(links.isIsolated());
  assert.equal(links.pathTo('u-3'), 'peer-first');
  cut.behaviour = 'answer';
  await site.clock.advance(600);
  assert.ok(!links.isIsolated());
  assert.deepEqual(await send(cut), WHOLE);
  assert.equal(cut.sent.length, 1);
  assert.equal(peer.sent.length, 2);
});

test('a probe through a peer shows that the upstream is alive', async () => {
  // Guards against a request that is blamed for an upstream that has not ended.
  const [cut] = await createHosts(2);
  cut.behaviour = 'refuse';
  assert.equal(await cut.forwarding.port.probe(UPSTREAMS[0]), 'answered');
  assert.equal(cut.forwarding.links.pathTo('u-1'), 'peer');
});

test('upstreams that are silent for a second are not taken for cut links', async () => {
  // Guards against hosts that all pass calls on to each other, and decline
  // them, since each gave its own probe up before the upstreams went on.
  const [asking, peer] = await createHosts(2);
  const {port, links} = asking.forwarding;
  const {activeCount} = peer.forwarding.server;
  site.silenceUpstreams(1_000);
  const probes = Promise.all(UPSTREAMS.map(port.probe));
  await site.clock.advance(400);
  await untilTrue(() => activeCount() === UPSTREAMS.length);
  await site.clock.advance(600);
  assert.deepEqual(await probes, ['answered', 'answered', 'answered']);
  await site.clock.advance(0);
  assert.equal(links.cutCount(), 0);
  assert.ok(!links.isIsolated());
});

test('calls are made only for live hosts', async () => {
  // Guards against strangers who reach upstreams by way of the peer port.
  const [{member, sent}] = await createHosts(1);
  const status = await new Promise(resolve => {
    http
      .request(
        `http://${member.peerAddress}/peer/forward`,
        {method: 'POST', agent: false, headers: {'X-Peer-Host': 'h-9'}},
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      )
      .end('x');
  });
  assert.equal(status, 403);
  assert.deepEqual(sent, []);
});

/** Has another server take the calls to the peer, which is asked first. */
async function replacePeer(
  [, replaced, other]: readonly ForwardingHostStandIn[],
  server: net.Server,
  t: TestContext,
): Promise<void> {
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  Object.assign(replaced.member, {peerAddress: `127.0.0.1:${port}`});
  Object.assign(other.member, {failureDomain: 'annelinn-saal'});
}

test('a call that a suspended peer has not read is made by the next peer', async t => {
  // Guards against a posting that fails, or runs later beside its repeat,
  // because a peer stood still as it was asked.
  const hosts = await createHosts(3);
  const [cut, , next] = hosts;
  cut.behaviour = 'refuse';
  let received = '';
  const server = net.createServer(socket => {
    t.after(() => socket.destroy());
    socket.on('data', bytes => (received += bytes.toString()));
  });
  await replacePeer(hosts, server, t);
  const answer = send(cut);
  await untilTrue(() => received.includes('\r\n\r\n'));
  await site.clock.advance(500);
  await untilTrue(() => next.sent.length > 0);
  assert.deepEqual(next.sentLeftMs, [1_500]);
  assert.deepEqual(await answer, WHOLE);
  assert.ok(!received.includes('rida=1'), received);
});

test('a call that a peer has read lasts while the peer is suspended', async t => {
  // Guards against a posting that fails although the peer goes on in time.
  const hosts = await createHosts(3);
  const [cut, , next] = hosts;
  cut.behaviour = 'refuse';
  const held: http.ServerResponse[] = [];
  const server = http.createServer((message, response) => {
    message.resume().on('end', () => held.push(response));
  });
  await replacePeer(hosts, server, t);
  const answer = send(cut);
  await untilTrue(() => held.length > 0);
  await site.clock.advance(1_500);
  const outcome = {kind: 'broken', detail: 'no answer'} as const;
  held[0].end(encodeFrame({kind: 'outcome', outcome}));
  assert.deepEqual(await answer, outcome);
  assert.deepEqual(next.sent, []);
});

// Guards against a peer of another build that passes on what no answer may have.
for (const [name, head] of Object.entries({
  'the status 0': {status: 0},
  'the status 600': {status: 600},
  'a blank in a name': {headers: ['X Odd', '1']},
  'a control byte in a name': {headers: ['X\x01', '1']},
  'a control byte in a value': {headers: ['X-Odd', '\x01']},
  'a name without a value': {headers: ['X-Odd']},
})) {
  test(`an answer that a peer passes on with ${name} is broken`, async t => {
    const hosts = await createHosts(3);
    const [cut, , next] = hosts;
    cut.behaviour = 'refuse';
    const outcome = {
      kind: 'answered',
      status: 200,
      headers: [],
      hasSignature: true,
      ...head,
    } as const;
    let isClosed = false;
    const server = http.createServer((message, response) => {
      response.once('close', () => (isClosed = true));
      message.resume().on('end', () => {
        response.write(encodeFrame({kind: 'outcome', outcome}));
        response.write(encodeFrame({kind: 'data', bytes: Buffer.from('ok')}));
        response.write(encodeFrame({kind: 'end'}));
      });
    });
    await replacePeer(hosts, server, t);
    const answer = await send(cut);
    assert.ok('kind' in answer && answer.kind === 'broken');
    assert.deepEqual(next.sent, []);
    await untilTrue(() => isClosed);
    assert.ok(isClosed);
  });
}
