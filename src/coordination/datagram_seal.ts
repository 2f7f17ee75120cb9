/**
 * Authenticates datagrams between peers by a truncated HMAC-SHA-256 before the
 * payload. A replayed datagram does no harm: all its records are ordered by
 * version, and acknowledgements carry a sequence number with a random start.
 */

import {createHmac, timingSafeEqual} from 'node:crypto';

const TAG_BYTES = 12;

export interface DatagramSealer {
  seal(payload: Uint8Array): Uint8Array;
  /** Returns the payload, or undefined if the signature is not valid. */
  open(sealed: Uint8Array): Uint8Array | undefined;
}

export function createDatagramSealer(peerKey: string): DatagramSealer {
  const sign = (payload: Uint8Array) =>
    createHmac('sha256', peerKey)
      .update(payload)
      .digest()
      .subarray(0, TAG_BYTES);
  return {
    seal(payload) {
      const sealed = new Uint8Array(TAG_BYTES + payload.length);
      sealed.set(sign(payload));
      sealed.set(payload, TAG_BYTES);
      return sealed;
    },
    open(sealed) {
      if (sealed.length < TAG_BYTES) return undefined;
      const payload = sealed.subarray(TAG_BYTES);
      const tag = sealed.subarray(0, TAG_BYTES);
      return timingSafeEqual(sign(payload), tag) ? payload : undefined;
    },
  };
}
