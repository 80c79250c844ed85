import type { Dialer } from "./dialer.ts";
import { type Link, LinkEnd, type LinkHello } from "./link.ts";
import { Outbox, type OutboxOptions } from "./outbox.ts";

/** Bounds of a peer's outbox and the time of its creation. */
export interface PeerOptions {
  readonly outbox: OutboxOptions;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** Another node: its links, and the messages that wait for one. */
export class Peer {
  readonly nodeId: string;
  readonly outbox: Outbox;
  dialer: Dialer | undefined;
  /** Monotonic time of the last message to it. */
  lastSentAt: number;
  /** Live links, the newest last; at most one from each side. */
  readonly #links: Link[] = [];
  /** Monotonic time since when there has been no link. */
  #linklessSince: number;
  #incarnation = "";
  #newestSession = -1n;

  constructor(nodeId: string, options: PeerOptions) {
    this.nodeId = nodeId;
    this.outbox = new Outbox(options.outbox);
    this.lastSentAt = options.now;
    this.#linklessSince = options.now;
  }

  /** The link that messages go out on. */
  get newest(): Link | undefined {
    return this.#links.at(-1);
  }

  /** How long there has been no link, in milliseconds; 0 with a link. */
  linklessMs(now: number): number {
    return this.#links.length > 0 ? 0 : now - this.#linklessSince;
  }

  /** Takes a link, or returns why it is not taken. */
  admit(link: Link, hello: LinkHello): LinkEnd | undefined {
    if (hello.incarnation !== this.#incarnation) {
      this.#restart(hello.incarnation);
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

  /** Forgets a closed link; true when it was live. */
  remove(link: Link, now: number): boolean {
    const index = this.#links.indexOf(link);
    if (index === -1) {
      return false;
    }
    this.#links.splice(index, 1);
    this.#linklessSince = now;
    return true;
  }

  /** The peer was started anew: what its last start opened is over. */
  #restart(incarnation: string): void {
    this.#incarnation = incarnation;
    this.#newestSession = -1n;
    for (const link of [...this.#links]) {
      link.close(LinkEnd.Replaced);
    }
  }
}
