/**
 * `npm run matrix -- --processes`: runs selected faults with real processes on
 * loopback. All counts come from the stand-ins' own records.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import type {EngineSession} from '../src/ports/engine.js';
import type {PlatformStats} from '../stand_ins/platform_core.js';
import {
  CALLER_KEY,
  getJson,
  MODEL_SERVICE,
  putJson,
  startFleet,
  type Fleet,
} from './support/fleet.js';
import {auditPostings, type PostingAudit} from './support/posting_audit.js';
import {post, type PostingResult} from './support/posting_client.js';
import {streamAnswer, type StreamCall} from './support/sse_client.js';

const HOSTS = 6;
const POSTS_PER_SECOND = 200;
const LOST_ANSWER_SHARE = 0.1;
const LEASE_MS = 3_000;
const PAUSE_MS = 2 * LEASE_MS + 1_000;
const MAX_MEMORY_RELEASE_MS = 5_000;
const DRAIN_STREAMS = 100;
const KILLED_ENTRY_STREAMS = 60;
const POLL_MS = 100;
const MS_PER_SECOND = 1_000;
const DRAIN_TIMEOUT_MS = 60_000;

interface TrialResult {
  readonly name: string;
  readonly isGood: boolean;
  readonly lines: readonly string[];
}

function chat(entry: string, prompt: string, maxTokens: number): StreamCall {
  return streamAnswer(
    `http://${entry}/v1/chat/completions`,
    {authorization: `Bearer ${CALLER_KEY}`},
    {
      model: MODEL_SERVICE,
      stream: true,
      max_tokens: maxTokens,
      messages: [{role: 'user', content: prompt}],
    },
  );
}

/** Posts to all entries at a steady rate; `midway` runs after a third. */
async function postAtSteadyRate(
  fleet: Fleet,
  name: string,
  seconds: number,
  midway: () => Promise<void>,
): Promise<readonly PostingResult[]> {
  const entries = fleet.hosts.map(host => host.callerAddress);
  const count = seconds * POSTS_PER_SECOND;
  const startMs = performance.now();
  const pending: Promise<PostingResult>[] = [];
  let fault: Promise<void> | undefined;
  while (pending.length < count) {
    const elapsedMs = performance.now() - startMs;
    const dueCount = (elapsedMs / MS_PER_SECOND) * POSTS_PER_SECOND;
    while (pending.length < Math.min(count, dueCount)) {
      const index = pending.length;
      pending.push(post(entries, index, `${name}-${index}`));
    }
    if (pending.length > count / 3) fault ??= midway();
    await sleep(5);
  }
  const results = await Promise.all(pending);
  await fault;
  return results;
}

function describeAudit(audit: PostingAudit): readonly string[] {
  const codes = Object.entries(audit.codes).map(([code, n]) => `${code}:${n}`);
  return [
    `${audit.posts} posts: ${audit.answered} answered, ` +
      `${audit.unknown} outcome unknown, ${audit.refused} refused at last; ` +
      `${audit.triesWithoutAnswer} tries without an answer`,
    `doubles ${audit.doubles.length}, ` +
      `falsely not-run ${audit.falselyNotRun.length}, ` +
      `answered but not run ${audit.answeredNotRun.length}, ` +
      `no clear answer but run ${audit.unknownButRan}`,
    `whole time p50 ${audit.p50Ms.toFixed(0)} ms, ` +
      `p99 ${audit.p99Ms.toFixed(0)} ms, max ${audit.maxMs.toFixed(0)} ms`,
    `refusals by code: ${codes.join(' ') || 'none'}`,
    ...audit.doubles.slice(0, 5).map(key => `double: ${key}`),
    ...audit.falselyNotRun.slice(0, 5).map(key => `falsely not-run: ${key}`),
  ];
}

function isClean(audit: PostingAudit): boolean {
  return (
    audit.doubles.length === 0 &&
    audit.falselyNotRun.length === 0 &&
    audit.answeredNotRun.length === 0
  );
}

async function killDuringPosts(
  fleet: Fleet,
  seconds: number,
): Promise<TrialResult> {
  const [victim] = fleet.hosts;
  const results = await postAtSteadyRate(fleet, 'kill', seconds, async () => {
    victim.child.kill('SIGKILL');
    await victim.child.ended;
  });
  const audit = await auditPostings(results, fleet.serviceAddresses);
  return {
    name: 'kill -9 of an entry during posts, one answer in ten lost',
    isGood: isClean(audit),
    lines: describeAudit(audit),
  };
}

/** Posts without killing a process, to see the effect of lost answers alone. */
async function postOnly(fleet: Fleet, seconds: number): Promise<TrialResult> {
  const results = await postAtSteadyRate(
    fleet,
    'calm',
    seconds,
    async () => {},
  );
  const audit = await auditPostings(results, fleet.serviceAddresses);
  return {
    name: 'posts with no process dying',
    isGood: isClean(audit),
    lines: describeAudit(audit),
  };
}

async function pauseDuringPosts(
  fleet: Fleet,
  seconds: number,
): Promise<TrialResult> {
  const victim = fleet.hosts[1];
  const results = await postAtSteadyRate(fleet, 'pause', seconds, async () => {
    victim.child.kill('SIGSTOP');
    await sleep(PAUSE_MS);
    victim.child.kill('SIGCONT');
  });
  await sleep(LEASE_MS);
  const audit = await auditPostings(results, fleet.serviceAddresses);
  return {
    name: `partition owner stopped for ${PAUSE_MS} ms and continued`,
    isGood: isClean(audit),
    lines: describeAudit(audit),
  };
}

async function countSessions(
  fleet: Fleet,
  isWanted: (session: EngineSession) => boolean,
): Promise<number> {
  const addresses = [...fleet.prefillAddresses, ...fleet.decodeAddresses];
  const lists = await Promise.all(
    addresses.map(address =>
      getJson<readonly EngineSession[]>(`http://${address}/sessions`),
    ),
  );
  return lists.flat().filter(isWanted).length;
}

async function waitForTokens(calls: readonly StreamCall[]): Promise<number> {
  const endMs = performance.now() + DRAIN_TIMEOUT_MS / 4;
  const streaming = () => calls.filter(call => call.tokensSoFar() > 0).length;
  while (streaming() < calls.length && performance.now() < endMs) {
    await sleep(POLL_MS);
  }
  return streaming();
}

/** Starts streams at short intervals, so that no burst limit refuses them. */
async function startStreams(
  entry: string,
  count: number,
  maxTokens: number,
): Promise<readonly StreamCall[]> {
  const calls: StreamCall[] = [];
  for (let index = 0; index < count; index++) {
    calls.push(chat(entry, `Report ${entry} number ${index}`, maxTokens));
    await sleep(20);
  }
  return calls;
}

async function killUnderStreams(fleet: Fleet): Promise<TrialResult> {
  const victim = fleet.hosts[2];
  const calls = await startStreams(
    victim.callerAddress,
    KILLED_ENTRY_STREAMS,
    4_000,
  );
  const streaming = await waitForTokens(calls);
  const isOfVictim = (session: EngineSession) =>
    session.owner.entry.startsWith(`${victim.hostId}#`);
  const held = await countSessions(fleet, isOfVictim);
  victim.child.kill('SIGKILL');
  const killedAtMs = performance.now();
  await victim.child.ended;
  let remaining = held;
  while (
    remaining > 0 &&
    performance.now() - killedAtMs < 6 * MAX_MEMORY_RELEASE_MS
  ) {
    await sleep(POLL_MS);
    remaining = await countSessions(fleet, isOfVictim);
  }
  const freedMs = performance.now() - killedAtMs;
  return {
    name: 'engine memory of a dead entry',
    isGood: held > 0 && remaining === 0 && freedMs <= MAX_MEMORY_RELEASE_MS,
    lines: [
      `${streaming} streams ran, ${held} sessions held at its death, ` +
        `${remaining} left after ${freedMs.toFixed(0)} ms ` +
        `(bound ${MAX_MEMORY_RELEASE_MS} ms)`,
    ],
  };
}

async function terminateUnderStreams(fleet: Fleet): Promise<TrialResult> {
  const victim = fleet.hosts[3];
  const calls = await startStreams(victim.callerAddress, DRAIN_STREAMS, 300);
  const streaming = await waitForTokens(calls);
  victim.child.kill('SIGTERM');
  const startMs = performance.now();
  const answers = await Promise.all(calls.map(call => call.result));
  const code = await Promise.race([
    victim.child.ended,
    sleep(DRAIN_TIMEOUT_MS).then(() => -1),
  ]);
  const endMs = performance.now() - startMs;
  const refused = answers.filter(answer => answer.status !== 200).length;
  const cut = answers.filter(
    answer => answer.status === 200 && !answer.isComplete,
  ).length;
  return {
    name: `SIGTERM under ${DRAIN_STREAMS} streams`,
    isGood: cut === 0 && refused === 0 && code === 0,
    lines: [
      `${streaming} streams ran at the signal; ${cut} cut, ${refused} ` +
        `refused before it; the process ended with ${code} after ` +
        `${endMs.toFixed(0)} ms`,
    ],
  };
}

function startSite(logLevel?: string): Promise<Fleet> {
  return startFleet({
    logLevel,
    hostCount: HOSTS,
    prefillCount: 2,
    decodeCount: 8,
    serviceCount: 2,
    engineFlags: [
      ...['--step-ms', '50', '--answer-tokens', '300', '--kv-gib', '64'],
      ...['--prefill-base-ms', '5', '--prefill-ms-per-token', '0.1'],
    ],
    coordination: {leaseMs: LEASE_MS},
  });
}

type Trial = (fleet: Fleet, seconds: number) => Promise<TrialResult>;

const trials: Readonly<Record<string, Trial>> = {
  calm: postOnly,
  kill: killDuringPosts,
  pause: pauseDuringPosts,
  memory: killUnderStreams,
  drain: terminateUnderStreams,
};

/** Runs the trials named by `--only`, or all; exits with 1 if one fails. */
export async function runProcessFaults(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      processes: {type: 'boolean'},
      only: {type: 'string'},
      seconds: {type: 'string', default: '15'},
      lost: {type: 'string', default: String(LOST_ANSWER_SHARE)},
      log: {type: 'string'},
    },
  });
  const names = values.only?.split(',') ?? Object.keys(trials);
  const answerLostShare = Number(values.lost);
  let badCount = 0;
  for (const name of names) {
    const fleet = await startSite(values.log);
    await putJson(`${fleet.platformUrl}/faults`, {answerLostShare});
    const verdict = await trials[name](fleet, Number(values.seconds));
    if (!verdict.isGood) badCount++;
    console.log(`${verdict.isGood ? 'good' : 'BAD '} ${verdict.name}`);
    for (const line of verdict.lines) console.log(`     ${line}`);
    const platformCounts = await getJson<PlatformStats>(
      `${fleet.platformUrl}/books`,
    );
    console.log(
      `     platform: ${platformCounts.writes} writes (${platformCounts.writesRefused} refused, ` +
        `${platformCounts.answersLost} answers lost), ${platformCounts.reads} reads ` +
        `(${platformCounts.readsRefused} refused)`,
    );
    if (values.log) {
      for (const host of fleet.hosts) console.log(host.child.output());
    }
    await fleet.stop();
  }
  process.exit(badCount > 0 ? 1 : 0);
}
