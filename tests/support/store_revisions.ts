/** Creates store revisions for tests. */

import type {StoreRevision} from '../../src/core/store_revision.js';

export function revisionAt(counter: number, era = 0): StoreRevision {
  return {era, counter};
}
