import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {Registry} from 'prom-client';
import {createMetrics} from '../../src/adapters/metrics.js';
import {sourceRoot} from '../support/baseline.js';

const PREFIX = /^corianderbend_/;

test("the operators' page lists each metric", async () => {
  const registry = new Registry();
  createMetrics(registry);
  const file = path.join(sourceRoot, 'docs/operators/logs_and_metrics.md');
  const page = readFileSync(file, 'utf8');
  const metrics = await registry.getMetricsAsJSON();
  const missing = metrics
    .map(({name}) => name.replace(PREFIX, ''))
    .filter(name => !page.includes(`\`${name}\``));
  assert.deepEqual(missing, []);
});
