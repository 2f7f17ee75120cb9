/**
 * The schema of the settings files. Its descriptions appear in the operators'
 * settings reference.
 */

import {z} from 'zod';

const NAME = /^[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?$/;
const MODEL_NAME = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/;
const SHA256_HEX = /^[0-9a-f]{64}$/;
const METHOD = /^(?:\*|[A-Z]{1,16})$/;
const CALL_PATH = /^\/[^\s*]*\*?$/;
const IPV4_ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const IPV6_ADDRESS = /^\[[0-9a-fA-F:.]{2,45}\]:(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;
const MIN_SECRET_LENGTH = 16;

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const MIB_BYTES = 1024 * 1024;

/** Whether a text is `ip:port`, with an IPv6 address in brackets. */
export function isAddress(text: string): boolean {
  const ipv4 = IPV4_ADDRESS.exec(text);
  if (ipv4) {
    return (
      ipv4.slice(1, 5).every(octet => Number(octet) <= MAX_OCTET) &&
      isPort(ipv4[5])
    );
  }
  const ipv6 = IPV6_ADDRESS.exec(text);
  return ipv6 !== null && isPort(ipv6[1]);
}

function isPort(text: string): boolean {
  const port = Number(text);
  return port > 0 && port <= MAX_PORT;
}

function isHttpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {protocol} = new URL(text);
  return protocol === 'http:' || protocol === 'https:';
}

const name = z.string().regex(NAME, {
  error: 'a name of lower-case letters, digits, dots and hyphens',
});
const address = z.string().refine(isAddress, {
  error: 'an address like 10.0.0.5:8080 or [fd00::5]:8080',
});
const durationMs = (minMs: number, maxMs: number) =>
  z.number().int().min(minMs).max(maxMs);
const share = z.number().min(0).max(1);
const count = (min: number, max: number) => z.number().int().min(min).max(max);

const modelTargets = z.strictObject({
  ttftMs: durationMs(1, DAY_MS).describe(
    'Time to the first token, for 95 % of requests.',
  ),
  tokenIntervalMs: durationMs(1, MINUTE_MS).describe(
    'Time between two tokens, for 95 % of requests.',
  ),
  waitMs: durationMs(1, DAY_MS).describe(
    'Longest wait for the whole answer; a caller may ask for less.',
  ),
});

const plainTargets = z.strictObject({
  waitMs: durationMs(1, DAY_MS).describe(
    'Longest wait for the whole answer; a caller may ask for less.',
  ),
});

const upstreamShape = {
  id: name.describe('Unique name of the upstream.'),
  address: address.describe('IP address and port of the upstream.'),
  failureDomain: name.describe('Failure domain of the upstream.'),
};

const engineUpstream = z.strictObject({
  ...upstreamShape,
  role: z
    .enum(['prefill', 'decode'])
    .describe('Stage of a model request that the engine runs.'),
});

const plainUpstream = z.strictObject(upstreamShape);

const serviceShape = {
  name: name.describe('Name of the service.'),
  sites: z
    .array(name)
    .min(1)
    .optional()
    .describe('Sites that the service runs in; all sites by default.'),
  upstreamsFromHostList: z
    .boolean()
    .default(false)
    .describe("Whether upstreams are read from the platform's host list."),
  wasteWeight: share
    .default(0.5)
    .describe('0 optimizes goodput only, 1 wasted prefills only.'),
  maxQueued: count(0, 1_000_000)
    .default(1000)
    .describe('Limit of requests that wait for an upstream, per shard home.'),
  retryBudget: share
    .default(0.1)
    .describe('Retries allowed, as a share of requests.'),
};

const callPattern = z.strictObject({
  method: z
    .string()
    .regex(METHOD, {error: 'an upper-case HTTP method or *'})
    .describe('HTTP method in upper case, or `*` for any.'),
  path: z
    .string()
    .regex(CALL_PATH, {error: 'a path that starts with / and may end in *'})
    .describe('Path of the call; a trailing `*` matches any suffix.'),
});

const modelService = z.strictObject({
  kind: z.literal('model').describe('A service of model engines.'),
  ...serviceShape,
  models: z
    .array(z.string().regex(MODEL_NAME, {error: 'the name of a model'}))
    .min(1)
    .describe("Names by which callers request the service's model."),
  enginesCheckFences: z
    .boolean()
    .describe('Whether the engines reject orders with an old fencing token.'),
  keepAnswersMs: durationMs(0, 7 * DAY_MS)
    .default(HOUR_MS)
    .describe('How long an answer is kept for a repeat with the same key.'),
  targets: modelTargets.describe('Latency targets.'),
  upstreams: z
    .array(engineUpstream)
    .default([])
    .describe('The engines, if they are listed in the settings.'),
});

const plainService = z.strictObject({
  kind: z.literal('plain').describe('A service of plain HTTP calls.'),
  ...serviceShape,
  nonRepeatable: z
    .array(callPattern)
    .default([])
    .describe('Calls that must not be repeated.'),
  keepAnswersMs: durationMs(MINUTE_MS, 30 * DAY_MS)
    .default(DAY_MS)
    .describe('How long the answer to a non-repeatable call is kept.'),
  targets: plainTargets.describe('Latency targets.'),
  upstreams: z
    .array(plainUpstream)
    .default([])
    .describe('The upstreams, if they are listed in the settings.'),
});

const account = z.strictObject({
  name: name.describe('Name of the client account.'),
  keySha256: z
    .array(
      z.string().regex(SHA256_HEX, {
        error: 'a SHA-256 of 64 lower-case hexadecimal digits',
      }),
    )
    .min(1)
    .describe('SHA-256 of each caller key; several during a key rotation.'),
  services: z.array(name).min(1).describe('Services that the account may use.'),
  requestsPerSecond: z
    .number()
    .positive()
    .max(1_000_000)
    .default(100)
    .describe('Limit of requests per second, at each entry.'),
  maxConcurrent: count(1, 1_000_000)
    .default(100)
    .describe(
      'Limit of concurrent running or waiting requests, at each entry.',
    ),
  weight: z
    .number()
    .positive()
    .max(1000)
    .default(1)
    .describe('Share of the engines when they are scarce.'),
  requestClass: z
    .enum(['interactive', 'patient'])
    .default('interactive')
    .describe('Whether a user waits for the answer or collects it later.'),
});

const site = z.strictObject({
  name: name.describe('Name of the site.'),
  failureDomains: z
    .array(name)
    .min(1)
    .describe('Names of the failure domains of the site.'),
});

const limits = z.strictObject({
  maxBodyBytes: count(1024, 1024 * MIB_BYTES)
    .default(4 * MIB_BYTES)
    .describe('Maximum size of a request body.'),
  maxHeaderBytes: count(1024, MIB_BYTES)
    .default(16 * 1024)
    .describe('Maximum size of the request headers.'),
  maxConnections: count(1, 1_000_000)
    .default(4096)
    .describe('Maximum caller connections at one entry.'),
  maxStreams: count(1, 1_000_000)
    .default(1024)
    .describe('Maximum concurrent requests at one entry.'),
  bodyTimeoutMs: durationMs(100, 10 * MINUTE_MS)
    .default(10 * SECOND_MS)
    .describe('Timeout for receiving a request body.'),
});

const coordination = z.strictObject({
  leaseMs: durationMs(500, 10 * MINUTE_MS)
    .default(4 * SECOND_MS)
    .describe('Duration of a lease; it bounds the time of a takeover.'),
  clockRateError: z
    .number()
    .min(0)
    .max(0.2)
    .default(0.01)
    .describe('Bound on the difference of clock rates between hosts.'),
  probeIntervalMs: durationMs(50, MINUTE_MS)
    .default(500)
    .describe('Interval between two probes of another process.'),
  suspicionMs: durationMs(100, 10 * MINUTE_MS)
    .default(1500)
    .describe('How long a suspected process may refute the suspicion.'),
  journalPartitions: count(1, 4096)
    .default(8)
    .describe(
      'Partitions of idempotency keys; do not change while running. Journal writes are divided evenly between them, so more partitions make each call wait longer.',
    ),
  journalFlushMs: durationMs(0, SECOND_MS)
    .default(5)
    .describe('How long a journal write waits for others to be batched.'),
  tableWritesPerSecond: count(1, 1_000_000)
    .default(300)
    .describe('Limit of table writes per second for all processes together.'),
  tableReadsPerSecond: count(1, 1_000_000)
    .default(1500)
    .describe('Limit of table reads per second for all processes together.'),
  directoryTtlMs: durationMs(100, HOUR_MS)
    .default(15 * SECOND_MS)
    .describe('How long a caller may cache a list of entries.'),
});

/** The base file, or the base merged with an overlay. */
export const settingsSchema = z.strictObject({
  sites: z.array(site).min(1).describe('Sites, with their failure domains.'),
  services: z
    .array(z.discriminatedUnion('kind', [modelService, plainService]))
    .min(1)
    .describe('Services, of model engines or of plain calls.'),
  accounts: z.array(account).default([]).describe('Client accounts.'),
  limits: limits
    .default(() => limits.parse({}))
    .describe('Limits of one entry for its callers.'),
  coordination: coordination
    .default(() => coordination.parse({}))
    .describe('Leases, membership, journal and platform budgets.'),
});

/** Settings as written, with defaults. */
export type SettingsFile = z.infer<typeof settingsSchema>;

const secret = z.string().min(MIN_SECRET_LENGTH);

/** The host file, which identifies the host of a process. */
export const hostSchema = z.strictObject({
  hostId: name.describe('Unique name of the host.'),
  site: name.describe('Site of the host.'),
  failureDomain: name.describe('Failure domain of the host.'),
  callerAddress: address.describe('Address that callers connect to.'),
  peerAddress: address.describe(
    'Address for peer processes and operators, TCP and UDP.',
  ),
  platformUrl: z
    .string()
    .refine(isHttpUrl, {error: 'a URL like http://10.0.0.9:7000'})
    .describe("Base URL of the platform's service."),
  peerKey: secret.describe(
    'Secret shared by all processes; or set CORIANDERBEND_PEER_KEY.',
  ),
  operatorKey: secret.describe(
    'Secret of the operators; or set CORIANDERBEND_OPERATOR_KEY.',
  ),
});
