import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import { Platform, type PlatformOptions } from "./platform.ts";
import "./services/mod.ts";

/** The address to listen on, and the initial settings of the stand-in. */
export interface ServerOptions extends PlatformOptions {
  /** IP address to listen on; 127.0.0.1 by default. */
  readonly host?: string;
  /** 0, the default, takes any free port. */
  readonly port?: number;
}

/**
 * Serves a platform over HTTP/1.1.
 *
 * @example
 * ```ts
 * const server = new PlatformServer({ listLagMs: 0 });
 * const url = await server.listen(); // "http://127.0.0.1:41234"
 * await server.close();
 * ```
 */
export class PlatformServer {
  readonly platform: Platform;
  readonly #options: ServerOptions;
  readonly #server: Server;

  constructor(options: ServerOptions = {}) {
    this.#options = options;
    this.platform = new Platform(options);
    const { fetch } = this.platform.app;
    this.#server = createAdaptorServer({ fetch }) as Server;
  }

  /** Starts listening; resolves to the base URL, or rejects when it can't. */
  listen(): Promise<string> {
    const { host = "127.0.0.1", port = 0 } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve(this.#baseUrl()));
    });
  }

  /** Closes the server and all connections, even during requests. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  #baseUrl(): string {
    const { address, family, port } = this.#server.address() as AddressInfo;
    const host = family === "IPv6" ? `[${address}]` : address;
    return `http://${host}:${port}`;
  }
}
