/** What presses on the hosts of a deployment. */

import type {Pressing} from './pressure_callers.js';

export interface PressureScenario {
  readonly pressing: readonly Pressing[];
  readonly maxDescriptors?: number;
  /** All answers of the store are late meanwhile. */
  readonly hasSlowStore?: boolean;
}

const MB = 1024 * 1024;
/** That of the reported deployment. */
export const USUAL_DESCRIPTORS = 4_100;

const streams = (
  service: Pressing['service'],
  perHost: number,
  isUnread = false,
): Pressing => ({kind: 'request', perHost, service, isUnread});

const uploads = (
  perHost: number,
  bodyBytes: number,
  missingBytes = 0,
): Pressing => ({
  kind: 'request',
  perHost,
  service: 'slow',
  bodyBytes,
  missingBytes,
});

const ahead = (perHost: number, requests: number): Pressing => ({
  kind: 'ahead',
  perHost,
  service: 'quick',
  requests,
});

const garbage = (at: Pressing['at']): Pressing => ({
  kind: 'garbage',
  perHost: 10,
  at,
});

/** The largest body, and what the system may hold for both ends. */
const MAX_SENT_BYTES = 4 * MB + 36 * MB;
const MAX_OPEN_MS = 2_000;
const chunks: Pressing = {
  kind: 'chunks',
  perHost: 30,
  service: 'slow',
  maxSentBytes: MAX_SENT_BYTES,
  maxOpenMs: MAX_OPEN_MS,
};
const heads: Pressing = {
  kind: 'heads',
  perHost: 30,
  maxSentBytes: MAX_SENT_BYTES,
  maxOpenMs: MAX_OPEN_MS,
};
const unreadLarge = streams('large', 100, true);

/** By name. */
export const PRESSURE_SCENARIOS: ReadonlyMap<string, PressureScenario> =
  new Map<string, PressureScenario>([
    ['nothing', {pressing: []}],
    ['comments without end', {pressing: [streams('comments', 20)]}],
    [
      'comments without end, unread',
      {pressing: [streams('comments', 50, true)]},
    ],
    ['long comments without end', {pressing: [streams('long-comments', 20)]}],
    [
      'long comments without end, unread',
      {pressing: [streams('long-comments', 50, true)]},
    ],
    ['only comments, without end', {pressing: [streams('only-comments', 20)]}],
    [
      'only comments, without end, unread',
      {pressing: [streams('only-comments', 50, true)]},
    ],
    ['one event again and again', {pressing: [streams('same-id', 20)]}],
    ['events without end', {pressing: [streams('events', 20)]}],
    ['events without end, unread', {pressing: [streams('events', 50, true)]}],
    ['one line without end', {pressing: [streams('line', 20)]}],
    ['plain bodies without end', {pressing: [streams('body', 20)]}],
    [
      'plain bodies without end, unread',
      {pressing: [streams('body', 50, true)]},
    ],
    ['1,000 requests ahead', {pressing: [ahead(1, 1_000)]}],
    ['3,000 requests ahead', {pressing: [ahead(1, 3_000)]}],
    ['3,000 requests ahead of ten callers', {pressing: [ahead(10, 3_000)]}],
    ['80 uploads of 1 MB', {pressing: [uploads(80, MB)]}],
    ['40 uploads of 4 MB', {pressing: [uploads(40, 4 * MB - 1_000)]}],
    [
      '200 uploads that stop before their end',
      {pressing: [uploads(200, MB, 10)]},
    ],
    ['30 uploads in chunks without end', {pressing: [chunks]}],
    ['100 unread answers of 5 MB', {pressing: [unreadLarge]}],
    [
      '800 idle connections, few descriptors',
      {pressing: [{kind: 'idle', perHost: 800}], maxDescriptors: 700},
    ],
    [
      '500 open calls, few descriptors',
      {pressing: [streams('held', 500)], maxDescriptors: 700},
    ],
    ['heads without end', {pressing: [heads]}],
    ['garbage from callers', {pressing: [garbage('callerAddress')]}],
    [
      'garbage at the other addresses',
      {
        pressing: [
          garbage('readyAddress'),
          garbage('directoryAddress'),
          garbage('metricsAddress'),
        ],
      },
    ],
    [
      'garbage at the address of peers',
      {
        pressing: [
          garbage('peerAddress'),
          {kind: 'datagrams', perHost: 10, at: 'peerAddress'},
        ],
      },
    ],
    [
      'uploads and unread answers, a slow store',
      {
        pressing: [uploads(80, MB), unreadLarge],
        hasSlowStore: true,
      },
    ],
    [
      'several at once',
      {
        pressing: [
          streams('comments', 20),
          uploads(40, MB),
          ahead(1, 1_000),
          {...chunks, perHost: 10},
          streams('large', 30, true),
          {kind: 'idle', perHost: 200},
        ],
      },
    ],
  ]);
