/** The lease under which one host at a time gives orders to engines. */

import {
  createShortLease,
  type ShortLease,
  type ShortLeaseHost,
} from '../../coordination/short_lease.js';

const ORDERS_LEASE = 'orders';
/** Bound on the difference of clock rates between hosts. */
const CLOCK_RATE_ERROR = 0.01;
/**
 * Orders go out in the first part of a lease; the rest of its time covers a
 * suspension too short to be noticed.
 */
const ORDER_TIME_SHARE = 0.3;
/** An order is on its way for as long as its call may take. */
const ORDER_SETTLE_MS = 800;
const LEASE_CALL_TIMEOUT_MS = 600;

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
    useMs: leaseMs * ORDER_TIME_SHARE,
    settleMs: ORDER_SETTLE_MS,
    callTimeoutMs: LEASE_CALL_TIMEOUT_MS,
  });
}
