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

/** Finds a port on the loopback address that nothing listens on. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server);
  await close(server);
  if (allocatedPorts.has(port)) {
    return await findFreePort();
  }
  allocatedPorts.add(port);
  return port;
}

function listen(server: ReturnType<typeof createServer>): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      resolve(typeof address === "object" && address ? address.port : 0);
    });
  });
}

function close(server: ReturnType<typeof createServer>): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
