import type { Dialer } from "./dialer.ts";
import { type Link, LinkEnd, type LinkHello } from "./link.ts";
import { Outbox, type OutboxOptions } from "./outbox.ts";

/** Limits of a peer's outbox and the time at which the peer is created. */
export interface PeerOptions {
  readonly outbox: OutboxOptions;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Another node, its links and the messages queued for it. */
export class Peer {
  readonly nodeId: string;
  readonly outbox: Outbox;
  dialer: Dialer | undefined;
  /** Monotonic time of the last message to the peer, in milliseconds. */
  lastSentAt: number;
  /** Live links, newest last; at most one opened by each side. */
  readonly #links: Link[] = [];
  /** Monotonic time at which the last link was removed, in milliseconds. */
  #disconnectedSince: number;
  #incarnation = "";
  #newestSession = -1n;

  constructor(nodeId: string, options: PeerOptions) {
    this.nodeId = nodeId;
    this.outbox = new Outbox(options.outbox);
    this.lastSentAt = options.now;
    this.#disconnectedSince = options.now;
  }

  /** The link that messages are sent on; undefined without a live link. */
  get newestLink(): Link | undefined {
    return this.#links.at(-1);
  }

  /** Returns the milliseconds without a live link; 0 while there is one. */
  disconnectedMs(now: number): number {
    return this.#links.length > 0 ? 0 : now - this.#disconnectedSince;
  }

  /**
   * Adds a link and closes older ones of the same side; returns why the link
   * is refused, or undefined if it is admitted.
   */
  admit(link: Link, hello: LinkHello): LinkEnd | undefined {
    if (hello.incarnation !== this.#incarnation) {
      this.#resetIncarnation(hello.incarnation);
    }
    if (link.session === undefined) {
      if (hello.session <= this.#newestSession) {
        return LinkEnd.OutOfDate;
      }
      this.#newestSession = hello.session;
    }
    const older = this.#links.filter(({ side }) => side === link.side);
    this.#links.push(link);
    for (const other of older) {
      other.close(LinkEnd.Replaced);
    }
    return undefined;
  }

  /** Removes a closed link; returns whether it was live. */
  remove(link: Link, now: number): boolean {
    const index = this.#links.indexOf(link);
    if (index === -1) {
      return false;
    }
    this.#links.splice(index, 1);
    this.#disconnectedSince = now;
    return true;
  }

  /** Records a new incarnation and closes the links of the previous one. */
  #resetIncarnation(incarnation: string): void {
    this.#incarnation = incarnation;
    this.#newestSession = -1n;
    for (const link of [...this.#links]) {
      link.close(LinkEnd.Replaced);
    }
  }
}
