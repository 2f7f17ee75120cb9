/**
 * A single group in which all hosts share all engines, as in a deployment of
 * few hosts.
 */

import type {PlacementGroups} from '../../../src/relay/placement/placement_groups.js';

export const oneGroup: PlacementGroups = {
  placers: () => [],
  keepers: () => [],
  groupCount: () => 1,
  isUpdatedAtOnce: () => true,
  isInOwnGroup: () => true,
  isPreferred: () => true,
  isPreferredBy: () => true,
  refresh: () => undefined,
};
