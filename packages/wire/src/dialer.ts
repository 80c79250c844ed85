import type { PeerCertificate } from "node:tls";
import { createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import type { PeerAddress } from "@mustardweir/protocol";
import type { TlsFiles } from "@mustardweir/runtime";
import { LinkService } from "./gen/mustardweir/link/v1/link_pb.ts";
import { type Link, LinkEnd } from "./link.ts";
import { MAX_READ_BYTES } from "./link_limits.ts";
import { namesNode } from "./peer_identity.ts";

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** What a dialer needs of its owner. */
export abstract class DialerOwner {
  /** False while the peer is to be reached over another link. */
  abstract mayDial(): boolean;
  /** Creates the link of a stream that is about to be dialled. */
  abstract openLink(disconnect: () => void): Link;
  /** Certificates of both sides; plain connections without. */
  abstract readonly tls: TlsFiles | undefined;
}

/**
 * Keeps a link to one peer. Every attempt is a TCP connection of its own: a
 * connection that went silent is never used again.
 */
export class Dialer {
  readonly peer: PeerAddress;
  readonly #owner: DialerOwner;
  #stopped = false;
  #backoffMs = MIN_BACKOFF_MS;
  #link: Link | undefined;
  #endSleep: (() => void) | undefined;

  constructor(peer: PeerAddress, owner: DialerOwner) {
    this.peer = peer;
    this.#owner = owner;
  }

  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#owner.mayDial()) {
        await this.#holdLink();
      }
      await this.#sleep(this.#backoffMs * (0.5 + Math.random() / 2));
      this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  /** Closes the link and dials no more. */
  stop(end: LinkEnd): void {
    this.#stopped = true;
    this.#link?.close(end);
    this.#endSleep?.();
  }

  /** Dials no more, but leaves the link as it is. */
  finish(): void {
    this.#stopped = true;
    this.#endSleep?.();
  }

  async #holdLink(): Promise<void> {
    const { scheme, options } = this.#connection();
    const baseUrl = `${scheme}://${this.peer.address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {}, options);
    const transport = createConnectTransport({
      httpVersion: "2",
      baseUrl,
      sessionManager,
      acceptCompression: [],
      readMaxBytes: MAX_READ_BYTES,
    });
    const abort = new AbortController();
    const link = this.#owner.openLink(() => {
      abort.abort();
      sessionManager.abort();
    });
    this.#link = link;
    const client = createClient(LinkService, transport);
    await link.readAll(
      client.exchange(link.frames(), { signal: abort.signal }),
    );
    if (link.hello !== undefined) {
      this.#backoffMs = MIN_BACKOFF_MS;
    }
  }

  /** The certificates in force now, which the next attempt may replace. */
  #connection() {
    const tls = this.#owner.tls?.current;
    return tls === undefined ? { scheme: "http" } : {
      scheme: "https",
      options: {
        ...tls,
        checkServerIdentity: (_host: string, certificate: PeerCertificate) =>
          namesNode(certificate, this.peer.nodeId)
            ? undefined
            : new Error(`The certificate is not that of ${this.peer.nodeId}`),
      },
    };
  }

  #sleep(ms: number): Promise<void> {
    if (this.#stopped) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#endSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
