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
import { certificateNamesNode } from "./peer_identity.ts";

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** What a dialer needs from its environment. */
export abstract class DialerContext {
  /** Whether to dial now; false while the peer is expected to dial. */
  abstract shouldDial(): boolean;
  /** Creates the link for a stream that is about to be dialled. */
  abstract openLink(disconnect: () => void): Link;
  /** Certificate, key and CA; connections are unencrypted if undefined. */
  abstract readonly tls: TlsFiles | undefined;
  /** Largest frame that is read, in bytes. */
  abstract readonly maxReadBytes: number;
}

/**
 * Keeps a link to one peer open and redials it with a randomized exponential
 * back-off. Each attempt opens a new TCP connection, so that a connection that
 * stopped responding is never reused.
 */
export class Dialer {
  readonly peer: PeerAddress;
  readonly #context: DialerContext;
  #stopped = false;
  #backoffMs = MIN_BACKOFF_MS;
  #link: Link | undefined;
  #cancelSleep: (() => void) | undefined;

  constructor(peer: PeerAddress, context: DialerContext) {
    this.peer = peer;
    this.#context = context;
  }

  /** Dials until {@link stop} or {@link stopDialling} is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#context.shouldDial()) {
        await this.#runLink();
      }
      await this.#sleep(this.#backoffMs * (0.5 + Math.random() / 2));
      this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  /** Closes the link and stops dialling. */
  stop(end: LinkEnd): void {
    this.#stopped = true;
    this.#link?.close(end);
    this.#cancelSleep?.();
  }

  /** Stops dialling but leaves the current link open. */
  stopDialling(): void {
    this.#stopped = true;
    this.#cancelSleep?.();
  }

  async #runLink(): Promise<void> {
    const { scheme, options } = this.#connectionOptions();
    const baseUrl = `${scheme}://${this.peer.address}`;
    // The address, which comes from a list, may be malformed.
    if (!URL.canParse(baseUrl)) {
      return;
    }
    const sessionManager = new Http2SessionManager(baseUrl, {}, options);
    const transport = createConnectTransport({
      httpVersion: "2",
      baseUrl,
      sessionManager,
      acceptCompression: [],
      readMaxBytes: this.#context.maxReadBytes,
    });
    const abort = new AbortController();
    const link = this.#context.openLink(() => {
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

  /** Returns the options of the next connection, with current certificates. */
  #connectionOptions() {
    const tls = this.#context.tls?.current;
    return tls === undefined ? { scheme: "http" } : {
      scheme: "https",
      options: {
        ...tls,
        checkServerIdentity: (_host: string, certificate: PeerCertificate) =>
          certificateNamesNode(certificate, this.peer.nodeId)
            ? undefined
            : new Error(
              `Peer certificate does not belong to node ${this.peer.nodeId}`,
            ),
      },
    };
  }

  #sleep(ms: number): Promise<void> {
    if (this.#stopped) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#cancelSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
