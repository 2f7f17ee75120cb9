/** Role orders under the lease that one host holds at a time. */

import type {Clock} from '../../ports/clock.js';
import type {Logger} from '../../ports/log.js';
import type {Random} from '../../ports/random.js';
import type {TablePort} from '../../ports/table.js';
import type {RelaySettings} from '../relay_settings.js';
import {createOrdersLease} from './orders_lease.js';
import {
  createRoleOrders,
  type RoleOrders,
  type RoleOrdersHost,
} from './role_orders.js';

export interface PlannedRoleOrdersHost extends Omit<
  RoleOrdersHost,
  'log' | 'lease'
> {
  readonly clock: Clock;
  readonly random: Random;
  readonly createLogger: (part: string) => Logger;
  /** The table that holds the lease. */
  readonly table: TablePort;
}

export function createPlannedRoleOrders(
  host: PlannedRoleOrdersHost,
  settings: Pick<RelaySettings, 'hostId' | 'leaseMs'>,
): RoleOrders {
  const {clock, random, table} = host;
  const log = host.createLogger('orders');
  const lease = createOrdersLease({clock, random, table, log}, settings);
  return createRoleOrders({...host, log, lease}, settings);
}
