/** The lease that allows one host at a time to send role orders to engines. */

import {
  createShortLease,
  type ShortLease,
  type ShortLeaseHost,
} from '../../coordination/short_lease.js';

const ORDERS_LEASE = 'orders';
/** Bound on the difference of clock rates between hosts. */
const CLOCK_RATE_ERROR = 0.01;
/**
 * Orders are sent in the first part of a lease; the rest covers suspensions of
 * the process that are too short to be noticed.
 */
const USABLE_LEASE_SHARE = 0.3;
/** An order is in transit for at most as long as its call may take. */
const ORDER_SETTLE_MS = 800;
export const LEASE_CALL_TIMEOUT_MS = 600;

export interface OrdersLeaseOptions {
  readonly hostId: string;
  readonly leaseMs: number;
}

export function createOrdersLease(
  host: ShortLeaseHost,
  {hostId, leaseMs}: OrdersLeaseOptions,
): ShortLease {
  return createShortLease(host, {
    hostId,
    name: ORDERS_LEASE,
    leaseMs,
    clockRateError: CLOCK_RATE_ERROR,
    useMs: leaseMs * USABLE_LEASE_SHARE,
    settleMs: ORDER_SETTLE_MS,
    callTimeoutMs: LEASE_CALL_TIMEOUT_MS,
  });
}
