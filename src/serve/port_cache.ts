/** Caches one port for each address, so that its connections are reused. */

const MAX_PORTS = 4096;

/** Wraps a factory to create one port per address; evicts the oldest ports. */
export function cacheByAddress<T>(
  create: (address: string) => T,
): (address: string) => T {
  const ports = new Map<string, T>();
  return address => {
    const cached = ports.get(address);
    if (cached !== undefined) return cached;
    const port = create(address);
    ports.set(address, port);
    if (ports.size > MAX_PORTS) ports.delete(ports.keys().next().value!);
    return port;
  };
}
