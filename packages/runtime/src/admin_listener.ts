import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { Hono } from "hono";
import { probeLimits } from "./client_limits.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import { limitOptions, limitServer } from "./http_limits.ts";
import type { EffectKind } from "@mustardweir/protocol";
import { Performer } from "./performer.ts";
import { addProbes, type ProbeOptions } from "./probes.ts";
import type { HostPort } from "./setting_schemas.ts";

/** Maximum number of connections; operators' tools need few. */
const MAX_CONNECTIONS = 100;

/** Listening address and probes of the admin listener. */
export interface AdminListenerOptions extends ProbeOptions {
  readonly listen: HostPort;
}

/**
 * Serves probes and metrics on a separate port.
 *
 * @example
 * ```ts
 * const admin = new AdminListener({
 *   listen: { host: "127.0.0.1", port: 7600 },
 *   isReady: () => true,
 *   metrics,
 * });
 * ```
 */
export class AdminListener extends Performer {
  override readonly kinds: readonly EffectKind[] = [];
  readonly #options: AdminListenerOptions;
  #server: Server | undefined;

  constructor(options: AdminListenerOptions) {
    super();
    this.#options = options;
  }

  /** The port that is listened on; 0 before the start. */
  get port(): number {
    const address = this.#server?.address() as AddressInfo | null | undefined;
    return address?.port ?? 0;
  }

  override async start(): Promise<void> {
    const app = new Hono();
    addProbes(app, this.#options);
    const server = createAdaptorServer({
      fetch: app.fetch,
      createServer,
      serverOptions: limitOptions(),
    }) as Server;
    limitServer(server, { maxConnections: MAX_CONNECTIONS });
    const { metrics } = this.#options;
    new ConnectionGuard({
      listener: "admin",
      limits: { ...probeLimits({}), maxConnections: MAX_CONNECTIONS },
      replacesConnections: false,
      ...(metrics === undefined ? {} : { metrics }),
    }).protect(server);
    this.#server = server;
    const { host, port } = this.#options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
  }

  override perform(): void {}

  override async close(): Promise<void> {
    const server = this.#server;
    if (server !== undefined) {
      await new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      });
    }
  }
}
