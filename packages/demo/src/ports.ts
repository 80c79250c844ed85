import { createServer } from "node:net";

/** Ports that were returned before; each is returned once only. */
const allocatedPorts = new Set<number>();

/** Finds ports on the loopback address that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    ports.push(await findFreePort());
  }
  return ports;
}

/**
 * Range of the ports, below those that systems give to outgoing connections:
 * such a connection could take a port before the process listens that it is for.
 */
const FIRST_PORT = 10_000;
const PORTS = 20_000;

/** Finds a port on the loopback address that nothing listens on. */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!allocatedPorts.has(port) && await isFree(port)) {
      allocatedPorts.add(port);
      return port;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once(
      "error",
      (err: NodeJS.ErrnoException) =>
        err.code === "EADDRINUSE" ? resolve(false) : reject(err),
    );
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
