import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {createMetrics} from '../../src/adapters/metrics.js';
import {createVirtualClock} from '../../src/core/virtual_clock.js';
import type {Grant, GrantPort, GrantRequest} from '../../src/ports/grants.js';
import {meterGrants} from '../../src/serve/metered_requests.js';

const request: GrantRequest = {
  owner: {entry: 'e#1', requestId: 'r', attemptId: 'a'},
  service: 'aruande-koostaja',
  account: 'raamatupidajad',
  requestClass: 'patient',
  promptTokenCount: 1200,
  maxTokens: 10,
  prefixHashes: [],
  ttftLeftMs: 1000,
  waitLeftMs: 1000,
  resumeOffset: 0,
};

const grant: Grant = {
  kind: 'granted',
  grantId: 'g',
  homeEpoch: 1,
  prefillEngineId: 'p',
  prefillAddress: '',
  decodeEngineId: 'd',
  decodeAddress: '',
  lifeMs: 1000,
  startInMs: 0,
};

test('queueing time and a wasted prefill are recorded by account and class', async () => {
  const clock = createVirtualClock();
  const metrics = createMetrics(new Registry());
  metrics.setKnownNames([request.service], [request.account]);
  const home: GrantPort = {
    request: () =>
      new Promise(resolve => clock.setTimer(40, () => resolve(grant))),
    report: () => {},
  };
  const grants = meterGrants({clock, metrics}, home);
  const outcomePromise = grants.request(request, new AbortController().signal);
  await clock.advance(50);
  const outcome = await outcomePromise;
  assert.equal(outcome.kind, 'granted');
  grants.report(grant, {
    kind: 'prefill-done',
    kvSizeBytes: 1,
    cachedTokens: 0,
  });
  const ended = {
    kind: 'ended',
    result: 'cancelled',
    tokensDelivered: 0,
    prefillWasted: true,
  } as const;
  grants.report(grant, ended);
  grants.report(grant, ended);
  const text = await metrics.render();
  const labels =
    'service="aruande-koostaja",account="raamatupidajad",class="patient"';
  assert.match(text, new RegExp(`prefill_wasted_total\\{${labels}\\} 1\n`));
  assert.match(
    text,
    new RegExp(`prefill_wasted_tokens_total\\{${labels}\\} 1200\n`),
  );
  assert.match(text, new RegExp(`queueing_seconds_sum\\{${labels}\\} 0.04\n`));
});
