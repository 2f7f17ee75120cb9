/**
 * `npm run bench -- stream_cost`: compares the cost per token of a `most` stream
 * with that of a direct call, for as many streams as a process relays. Its
 * result is the reason why the token path calls sinks directly.
 */

import {createAdapter} from '@most/adapter';
import {map, runEffects, tap} from '@most/core';
import {newDefaultScheduler} from '@most/scheduler';

const STREAMS = 400;
const TOKENS = 1000;
const ROUNDS = 5;
const NS_PER_US = 1000;

type Push = (text: string) => void;

function createDirect(sink: Push): Push {
  return text => sink(`data: ${text}\n\n`);
}

function createStreamed(sink: Push): Push {
  const [push, tokens] = createAdapter<string>();
  const events = map((text: string) => `data: ${text}\n\n`, tokens);
  void runEffects(tap(sink, events), newDefaultScheduler());
  return push;
}

/** Returns microseconds per token. */
function measure(create: (sink: Push) => Push): number {
  let sizeBytes = 0;
  const sinks = Array.from({length: STREAMS}, () =>
    create(text => {
      sizeBytes += text.length;
    }),
  );
  const startNs = process.hrtime.bigint();
  for (let token = 0; token < TOKENS; token++) {
    for (const push of sinks) push('token');
  }
  const tookNs = Number(process.hrtime.bigint() - startNs);
  if (sizeBytes === 0) throw new Error('No token arrived.');
  return tookNs / (STREAMS * TOKENS) / NS_PER_US;
}

export async function run(): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    const directUs = measure(createDirect);
    const streamedUs = measure(createStreamed);
    const ratio = (streamedUs / directUs).toFixed(1);
    process.stdout.write(
      `direct ${directUs.toFixed(3)} us, most ${streamedUs.toFixed(3)} us a token, ratio ${ratio}\n`,
    );
  }
}
