import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {createMetrics, type RequestLabels} from '../../src/adapters/metrics.js';

const known: RequestLabels = {
  service: 'aruande-koostaja',
  account: 'kirikukoorid',
  requestClass: 'patient',
};

test('names that are not in the settings share one label value', async () => {
  const metrics = createMetrics(new Registry());
  metrics.setKnownNames([known.service], [known.account]);
  metrics.recordRefusal(known, 'overloaded');
  for (let i = 0; i < 1000; i++) {
    const made = {...known, account: `made-up-${i}`, service: `svc-${i}`};
    metrics.recordRefusal(made, 'unauthenticated');
  }
  const text = await metrics.render();
  const series = text
    .split('\n')
    .filter(line => line.startsWith('corianderbend_refusals_total{'));
  assert.deepEqual(series, [
    'corianderbend_refusals_total{service="aruande-koostaja",account="kirikukoorid",class="patient",kind="overloaded",run_state="not-run"} 1',
    'corianderbend_refusals_total{service="other",account="other",class="patient",kind="unauthenticated",run_state="not-run"} 1000',
  ]);
});

test('histograms are in seconds, for each account and class', async () => {
  const metrics = createMetrics(new Registry());
  metrics.setKnownNames([known.service], [known.account]);
  metrics.recordFirstToken(known, 1500);
  metrics.recordTokenInterval(known, 52);
  metrics.recordTotalWait(known, 'whole', 9000);
  metrics.recordQueueing(known, 20);
  metrics.recordPrefillWasted(known, 12_000);
  const text = await metrics.render();
  const labels =
    'service="aruande-koostaja",account="kirikukoorid",class="patient"';
  assert.ok(text.includes(`first_token_seconds_sum{${labels}} 1.5`));
  assert.ok(text.includes(`token_interval_seconds_sum{${labels}} 0.052`));
  assert.ok(
    text.includes(`total_wait_seconds_sum{${labels},result="whole"} 9`),
  );
  assert.ok(text.includes(`queueing_seconds_sum{${labels}} 0.02`));
  assert.ok(text.includes(`prefill_wasted_tokens_total{${labels}} 12000`));
});
