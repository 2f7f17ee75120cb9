/** Datagrams between processes of the system; UDP except in tests. */

export interface DatagramPort {
  /** One-way and unreliable. `address` is `ip:port`. */
  send(address: string, payload: Uint8Array): void;
  onReceive(handler: (fromAddress: string, payload: Uint8Array) => void): void;
  close(): void;
}
