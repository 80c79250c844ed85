import { createServer } from "node:net";

/** Ports that were given out; none is given twice. */
const given = new Set<number>();

/** Finds ports on the loopback address that nothing listens on. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    ports.push(await freePort());
  }
  return ports;
}

/** Finds a port on the loopback address that nothing listens on. */
export async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listen(server);
  await close(server);
  if (given.has(port)) {
    return await freePort();
  }
  given.add(port);
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
