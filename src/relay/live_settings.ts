/**
 * The settings of a running process, some of which may change while it runs.
 */

import type {RelaySettings} from './relay_settings.js';

/** When a change of a setting takes effect. */
export type SettingEffect = 'at-once' | 'at-start';

/**
 * Hosts know each other by names and addresses, and what a process holds is
 * divided by its memory and descriptors when it starts. A host that holds a
 * lease must not change its time meanwhile.
 */
const EFFECTS: Readonly<Record<keyof RelaySettings, SettingEffect>> = {
  hostId: 'at-start',
  failureDomain: 'at-start',
  callerAddress: 'at-start',
  readyAddress: 'at-start',
  directoryAddress: 'at-start',
  metricsAddress: 'at-start',
  peerAddress: 'at-start',
  seedAddresses: 'at-start',
  storeAddress: 'at-start',
  retryRatio: 'at-once',
  retrySlack: 'at-once',
  retryWindowMs: 'at-once',
  leaveGraceMs: 'at-once',
  leaseMs: 'at-start',
  configurationReachMs: 'at-once',
  departureReachMs: 'at-once',
  keyWithdrawalMs: 'at-once',
  limitSlack: 'at-once',
  linkMbps: 'at-once',
  cpuShare: 'at-once',
  coreCount: 'at-once',
  memoryMb: 'at-start',
  maxDescriptors: 'at-start',
};

const settingNames = Object.keys(EFFECTS) as ReadonlyArray<keyof RelaySettings>;

/** The settings that differ, by when their change takes effect. */
export type SettingChanges = Readonly<
  Record<SettingEffect, ReadonlyArray<keyof RelaySettings>>
>;

function findChanges(from: RelaySettings, to: RelaySettings): SettingChanges {
  const changed = settingNames.filter(
    name => JSON.stringify(from[name]) !== JSON.stringify(to[name]),
  );
  return {
    'at-once': changed.filter(name => EFFECTS[name] === 'at-once'),
    'at-start': changed.filter(name => EFFECTS[name] === 'at-start'),
  };
}

/** The settings of a running process. */
export interface LiveSettings {
  /** The settings in use. */
  current(): RelaySettings;
  /**
   * Uses the new values of the settings that take effect at once. Returns what
   * differs from the settings in use.
   */
  apply(next: RelaySettings): SettingChanges;
}

export function createLiveSettings(initial: RelaySettings): LiveSettings {
  let current = initial;
  return {
    current: () => current,
    apply(next) {
      const changes = findChanges(current, next);
      const applied = changes['at-once'].map(name => [name, next[name]]);
      current = {...current, ...Object.fromEntries(applied)};
      return changes;
    },
  };
}
