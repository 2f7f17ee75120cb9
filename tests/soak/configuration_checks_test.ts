import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  describeConfigurations,
  findOldConfigurations,
  type ConfigurationEvidence,
} from './configuration_checks.js';
import type {DisruptedSpan} from './fault_kinds.js';
import type {CallRecord} from './soak_callers.js';
import type {SoakUpstream, WrittenConfiguration} from './soak_site.js';

/** Adds `b` and drops `a` at 10 s. */
const CONFIGURATIONS: readonly WrittenConfiguration[] = [
  {version: 3, routes: ['a'], sentAtMs: 900, acknowledgedAtMs: 1_000},
  {version: 6, routes: ['b'], sentAtMs: 9_900, acknowledgedAtMs: 10_000},
];
const FREEZE: DisruptedSpan = {
  hostId: 'host-0',
  fromMs: 8_000,
  toMs: 9_500,
  isOfProcess: true,
};

function ask(
  route: string,
  status: number,
  sentAtMs: number,
  changes: Partial<CallRecord> = {},
): CallRecord {
  return {
    id: `${route}-${status}-${sentAtMs}`,
    kind: 'extra',
    hostId: 'host-0',
    processId: 7,
    sentAtMs,
    deadlineMs: 4_000,
    endedAtMs: sentAtMs + 20,
    status,
    body: '',
    isCut: false,
    hasDisconnected: false,
    route,
    ...changes,
  };
}

function check(
  records: readonly CallRecord[],
  disruptions: readonly DisruptedSpan[] = [],
  configurations = CONFIGURATIONS,
): readonly string[] {
  const runs = records
    .filter(({status}) => status === 200)
    .map(({id, sentAtMs}) => ({requestId: id, startedAtMs: sentAtMs + 10}));
  const standIn = {runs};
  const upstreams = [{standIn}] as unknown as readonly SoakUpstream[];
  const evidence: ConfigurationEvidence = {
    records,
    upstreams,
    disruptions,
    configurations,
  };
  return findOldConfigurations(evidence);
}

const count = (...args: Parameters<typeof check>) => check(...args).length;

test('an added route must be known after the bound', () => {
  // Guards against a 404 for a route that was acknowledged over 2 s before.
  assert.equal(count([ask('b', 404, 12_000)]), 0);
  assert.equal(count([ask('b', 404, 12_001)]), 1);
  assert.equal(count([ask('b', 503, 20_000)]), 0);
  assert.equal(count([ask('b', 200, 20_000)]), 0);
  assert.deepEqual(check([ask('b', 404, 12_001)]), [
    'b-404-12001: host-0, route b got 404 2001 ms after the change',
  ]);
});

test('a dropped route must not be run after the bound', () => {
  // Guards against runs by a version that was replaced over 2 s before.
  assert.equal(count([ask('a', 200, 12_000)]), 0);
  assert.equal(count([ask('a', 200, 12_001)]), 1);
  assert.equal(count([ask('a', 404, 12_001)]), 0);
});

test('a run without an answer counts as a run', () => {
  // Guards against missing a run whose answer did not reach its caller.
  const lost = ask('a', 0, 12_001, {status: undefined, isCut: true});
  const standIn = {runs: [{requestId: lost.id, startedAtMs: 12_010}]};
  const upstreams = [{standIn}] as unknown as readonly SoakUpstream[];
  const evidence = {upstreams, disruptions: [], configurations: CONFIGURATIONS};
  assert.equal(findOldConfigurations({...evidence, records: [lost]}).length, 1);
  const none = {...evidence, records: [{...lost, id: 'other'}]};
  assert.equal(findOldConfigurations(none).length, 0);
});

test('versions sent before the answer may be in force', () => {
  // Guards against blaming a host for a version that is newer than the request.
  const third = {version: 9, routes: ['a'], sentAtMs: 0, acknowledgedAtMs: 0};
  const sentAt = (sentAtMs: number) => [
    ...CONFIGURATIONS,
    {...third, sentAtMs, acknowledgedAtMs: sentAtMs + 100},
  ];
  const records = [ask('a', 200, 15_000), ask('b', 404, 15_000)];
  assert.equal(count(records, [], sentAt(15_020)), 0);
  assert.equal(count(records, [], sentAt(15_021)), 2);
});

test('the bound holds for hosts in touch', () => {
  // Guards against blaming a host that was disrupted within 3 s, or excusing it
  // later.
  const late = [ask('b', 404, 12_500)];
  assert.equal(count(late, [FREEZE]), 0);
  assert.equal(count(late, [{...FREEZE, toMs: 9_499}]), 1);
  assert.equal(count(late, [{...FREEZE, hostId: 'host-1'}]), 1);
  assert.equal(count(late, [{...FREEZE, fromMs: 12_501, toMs: 13_000}]), 1);
  const planned = {...FREEZE, isOfProcess: false, isPlanned: true};
  assert.equal(count(late, [planned]), 0);
});

test('a process that has served a version must not go by an older one', () => {
  // Guards against a host that takes an older version back.
  const seen = ask('b', 200, 10_100);
  assert.equal(count([seen, ask('b', 404, 10_360)]), 0);
  assert.equal(count([seen, ask('b', 404, 10_361)]), 1);
  assert.equal(count([seen, ask('a', 200, 10_361)]), 1);
  assert.equal(count([seen, ask('b', 503, 10_361)]), 0);
  const regressed = ask('b', 404, 10_361);
  assert.equal(count([seen, {...regressed, processId: 8}]), 0);
  assert.deepEqual(check([seen, regressed]), [
    'b-404-10361: host-0, route b got 404 251 ms after version 6 was',
  ]);
});

test('a suspended process has eight times the slack', () => {
  // Guards against blaming a request that waited at a suspended host.
  const seen = ask('b', 200, 10_100);
  const freeze = {...FREEZE, fromMs: 9_000, toMs: 10_050};
  assert.equal(count([seen, ask('b', 404, 12_110)], [freeze]), 0);
  assert.equal(count([seen, ask('b', 404, 12_111)], [freeze]), 1);
  // A fault of a link is no suspension, nor is an old one.
  const records = [seen, ask('b', 404, 10_361)];
  assert.equal(count(records, [{...freeze, isOfProcess: false}]), 1);
  assert.equal(count(records, [{...freeze, isPlanned: true}]), 1);
  assert.equal(count(records, [{...freeze, toMs: 7_360, fromMs: 1}]), 1);
});

test('the slowest host in touch is described', () => {
  // Guards against a run in which no request could violate the bound.
  const records = [ask('b', 404, 10_700), ask('a', 200, 10_400)];
  const evidence = {records, upstreams: [], configurations: CONFIGURATIONS};
  assert.deepEqual(describeConfigurations({...evidence, disruptions: []}), [
    'configurations: 2 versions, 2 requests, 2 at hosts in touch, slowest after 700 ms',
  ]);
  assert.deepEqual(
    describeConfigurations({...evidence, records: [], disruptions: []}),
    [],
  );
});
