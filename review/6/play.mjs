/** SIGTERM at a host whose `grace_s` is a fraction, while streams run. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  createHosts,
  makeConfiguration,
  runCase,
  sendRequest,
  sleep,
  startStore,
  startUpstream,
} from '../lib-2/site.mjs';

const GRACE_S = 7.5;
const STREAMS = 6;
/** Streams last 3 s: all could end long before the last sixth of the grace. */
const EVENTS = 30;
const EVENT_MS = 100;

await runCase(
  path.dirname(fileURLToPath(import.meta.url)),
  async ({record, withTrouble, closers}) => {
    const store = await startStore();
    closers.push(store.close);
    store.put('op', 'config', makeConfiguration(7));
    for (const [id, stage] of [
      ['i-p1', 'prefill'],
      ['i-d1', 'decode'],
      ['i-d2', 'decode'],
    ]) {
      const upstream = await startUpstream(store, record, {
        ...{id, service: 'models', stage},
        ...{events: EVENTS, eventMs: EVENT_MS},
      });
      closers.push(upstream.close);
    }
    const site = await createHosts(store, record, {
      count: 3,
      bounds: {grace_s: GRACE_S},
    });
    closers.push(site.end);
    if (!(await site.startAll())) throw new Error('the hosts are not ready');
    await sleep(4_000);
    const [host] = site.hosts;
    const answers = Array.from({length: STREAMS}, (_, i) =>
      sendRequest(record, host.front, {
        id: `stream-${i}`,
        target: `/stream/${i}`,
        headers: {
          'X-Model': 'm',
          'X-Token-Count': '100,40',
          'X-Prompt-Prefix': `5c1e07a2:50,91bd3f0${i}:50`,
        },
      }),
    );
    await sleep(1_000);
    if (withTrouble) {
      host.signal('SIGTERM');
      setTimeout(() => host.signal('SIGKILL'), GRACE_S * 1_000);
    }
    const outcomes = await Promise.all(answers);
    return outcomes
      .filter(({status, isComplete}) => status === 200 && !isComplete)
      .map(({id, durationMs}) => `LOST: ${id} was cut after ${durationMs} ms`);
  },
);
