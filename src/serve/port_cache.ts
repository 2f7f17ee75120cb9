/** Keeps one port for each address, so that its connections are used again. */

const MAX_PORTS = 4096;

/** The same factory, but with one port an address; the oldest are dropped. */
export function rememberByAddress<T>(
  create: (address: string) => T,
): (address: string) => T {
  const ports = new Map<string, T>();
  return address => {
    const known = ports.get(address);
    if (known !== undefined) return known;
    const port = create(address);
    ports.set(address, port);
    if (ports.size > MAX_PORTS) ports.delete(ports.keys().next().value!);
    return port;
  };
}
