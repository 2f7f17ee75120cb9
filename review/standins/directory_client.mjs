/**
 * Looks entries up as clients do: up to three directories, one second each. An
 * answer is kept for its `ttl_s`, by some clients three times as long, and
 * longer while no new one is to be had.
 */
import http from 'node:http';

const TRIES = 3;
const TRY_MS = 1_000;
const MAX_TTL_S = 5;

function ask(address) {
  return new Promise(resolve => {
    const target =
      '/corianderbend/resolve?name=desk.example&region=sofia&zone=sofia-a';
    const request = http.get(`http://${address}${target}`, {agent: false});
    const timer = setTimeout(() => request.destroy(), TRY_MS);
    request.on('error', () => resolve(undefined));
    request.on('close', () => clearTimeout(timer));
    request.on('response', response => {
      const chunks = [];
      response.on('data', bytes => chunks.push(bytes));
      response.on('error', () => resolve(undefined));
      response.on('end', () => {
        if (response.statusCode !== 200) return resolve(undefined);
        const {addresses, ttl_s} = JSON.parse(Buffer.concat(chunks));
        const isUsable = Array.isArray(addresses) && addresses.length > 0;
        resolve(isUsable && ttl_s > 0 ? {addresses, ttl_s} : undefined);
      });
    });
  });
}

export function createDirectoryClient(directories, keepFactor) {
  let answer;
  let untilMs = 0;
  let pending;
  /** Entries that failed lately. */
  const failedAtMs = new Map();

  async function refresh() {
    for (const address of directories.slice(0, TRIES)) {
      const next = await ask(address);
      if (!next) continue;
      answer = next;
      const ttlS = Math.min(MAX_TTL_S, next.ttl_s);
      untilMs = Date.now() + keepFactor * ttlS * 1_000;
      return;
    }
  }

  return {
    /** An entry at random, without those that have failed this client. */
    async choose() {
      if (Date.now() >= untilMs) {
        pending ??= refresh().finally(() => (pending = undefined));
        await pending;
      }
      const all = answer?.addresses ?? [];
      const sound = all.filter(
        each => Date.now() - (failedAtMs.get(each) ?? 0) > 2_000,
      );
      return sound[Math.floor(Math.random() * sound.length)];
    },
    noteFailed: address => failedAtMs.set(address, Date.now()),
  };
}
