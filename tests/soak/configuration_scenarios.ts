/** Disturbances around the write of a configuration. */

import type {HostFault, ReachScenario} from './configuration_hosts.js';

/** The write of the reported day took so long. */
const AWAY_MS = 1_355;

const away: HostFault = {fromMs: -20, forMs: AWAY_MS + 20};
const starved: HostFault = {fromMs: -2_000, forMs: 7_000, stopsMs: 80};

export const REACH_SCENARIOS: ReadonlyMap<string, ReachScenario> = new Map<
  string,
  ReachScenario
>([
  ['calm', {faults: []}],
  ['a third of the hosts starved', {faults: [{...starved, share: 0.33}]}],
  [
    'store away, applied at once',
    {faults: [{...away, link: 'silent'}], acknowledgedAtMs: AWAY_MS},
  ],
  [
    'store away, applied at the end',
    {faults: [{...away, link: 'silent'}], appliedAtMs: AWAY_MS},
  ],
  [
    'links hold, applied at once',
    {faults: [{...away, link: 'hold'}], acknowledgedAtMs: AWAY_MS},
  ],
  [
    'links and datagrams hold for 2.6 s',
    {
      faults: [
        {fromMs: -600, forMs: 2_600, link: 'hold', holdsDatagrams: true},
      ],
    },
  ],
  [
    'a third holds links and datagrams for 3.2 s, asked late',
    {
      faults: [
        {
          share: 0.33,
          fromMs: -600,
          forMs: 3_200,
          link: 'hold',
          holdsDatagrams: true,
        },
      ],
      askFromMs: 2_000,
    },
  ],
  [
    'a third without datagrams, new connections silent for 1.4 s',
    {
      faults: [
        {share: 0.33, fromMs: -20, forMs: 2_000, holdsDatagrams: true},
        {fromMs: -20, forMs: 1_400, link: 'silent', silencesOpen: true},
      ],
    },
  ],
  [
    'no datagrams, links silent on open and new connections for 1.3 s',
    {
      faults: [
        {fromMs: -20, forMs: 3_500, holdsDatagrams: true},
        {fromMs: -20, forMs: 1_300, link: 'silent', silencesOpen: true},
      ],
      askFromMs: 1_500,
    },
  ],
  [
    'store away, a half starved, datagrams of a third held',
    {
      faults: [
        {...away, link: 'silent', silencesOpen: true},
        {...starved, share: 0.5},
        {share: 0.33, fromMs: -20, forMs: 2_600, holdsDatagrams: true},
      ],
      acknowledgedAtMs: AWAY_MS,
    },
  ],
  [
    'store away, a half starved, datagrams of a third held, asked late',
    {
      faults: [
        {...away, link: 'silent', silencesOpen: true},
        {...starved, share: 0.5},
        {share: 0.33, fromMs: -20, forMs: 4_000, holdsDatagrams: true},
      ],
      acknowledgedAtMs: AWAY_MS,
      askFromMs: 2_000,
    },
  ],
  ['dropped route, calm', {isDrop: true, faults: []}],
  [
    'dropped route, a third starved',
    {isDrop: true, faults: [{...starved, share: 0.33}]},
  ],
  [
    'dropped route, store away, applied at once',
    {
      isDrop: true,
      faults: [{...away, link: 'silent'}],
      acknowledgedAtMs: AWAY_MS,
    },
  ],
  [
    'dropped route, no datagrams, new connections silent until 1.5 s',
    {
      isDrop: true,
      faults: [
        {fromMs: -20, forMs: 3_500, holdsDatagrams: true},
        {fromMs: -20, forMs: 1_520, link: 'silent', silencesOpen: true},
      ],
    },
  ],
  [
    'dropped route, no datagrams, open and next connections silent',
    {
      isDrop: true,
      faults: [
        {
          fromMs: -20,
          forMs: 4_000,
          silencesOpen: true,
          silencesNext: 2,
          holdsDatagrams: true,
        },
      ],
    },
  ],
]);
