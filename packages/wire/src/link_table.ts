import type { NodeIdentity } from "@mustardweir/protocol";
import type { Metrics } from "@mustardweir/runtime";
import {
  Link,
  LinkEnd,
  type LinkHello,
  LinkObserver,
  type LinkSide,
} from "./link.ts";
import type { OutboxOptions, OutgoingMessage } from "./outbox.ts";
import { Peer } from "./peer.ts";

/** Largest total of message bodies in one frame, in bytes. */
const MAX_FRAME_BYTES = 256 * 1024;

/**
 * Time without a link and without a message to send, in milliseconds, after
 * which a peer that is not dialled is removed.
 */
const PEER_RETENTION_MS = 60_000;

/** Options shared by all links of a node. */
export interface LinkTableOptions {
  readonly identity: NodeIdentity;
  readonly outbox: OutboxOptions;
  readonly pingTimeoutMs: number;
  readonly metrics: Metrics;
  /** Called for each message that arrives on a live link. */
  readonly deliver: (from: string, message: OutgoingMessage) => void;
}

/** How the link of a new stream is opened. */
export interface OpenLinkOptions {
  readonly side: LinkSide;
  /** Closes the underlying connection. */
  readonly disconnect: () => void;
  /** Id of the node that was dialled; undefined for an accepted link. */
  readonly expectedPeer?: string;
  /** Whether the peer's certificate belongs to the node of this id. */
  readonly matchesCertificate?: (nodeId: string) => boolean;
}

/** All links of a node, grouped by peer. */
export class LinkTable extends LinkObserver {
  readonly #options: LinkTableOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #links = new Set<Link>();
  #lastSession = 0n;

  constructor(options: LinkTableOptions) {
    super();
    this.#options = options;
  }

  /** All peers, with or without a link. */
  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** All open links, including those not yet admitted. */
  get links(): readonly Link[] {
    return [...this.#links];
  }

  /** Returns the peer of this id and creates it if there is none yet. */
  findOrCreatePeer(nodeId: string): Peer {
    const existing = this.#peers.get(nodeId);
    if (existing) {
      return existing;
    }
    const { outbox } = this.#options;
    const peer = new Peer(nodeId, { outbox, now: performance.now() });
    this.#peers.set(nodeId, peer);
    return peer;
  }

  /** Creates the link of a stream that is being opened. */
  open(options: OpenLinkOptions): Link {
    const { identity, pingTimeoutMs } = this.#options;
    const dialled = options.expectedPeer !== undefined;
    const link = new Link({
      identity,
      side: options.side,
      session: dialled ? this.#nextSession() : undefined,
      expectedPeer: options.expectedPeer,
      matchesCertificate: options.matchesCertificate,
      observer: this,
      pingTimeoutMs,
      openedAt: performance.now(),
      disconnect: options.disconnect,
    });
    this.#links.add(link);
    return link;
  }

  /** Queues a message for the newest link to the peer `to`. */
  send(to: string, message: OutgoingMessage): void {
    const now = performance.now();
    const peer = this.findOrCreatePeer(to);
    const dropped = peer.outbox.add(message, now);
    if (dropped > 0) {
      this.#count("link-messages-overflowed", dropped);
    }
    peer.lastSentAt = now;
    peer.newestLink?.wake();
  }

  /** Checks all links, drops expired messages and removes unused peers. */
  tick(): void {
    const now = performance.now();
    for (const link of this.links) {
      link.tick(now);
    }
    for (const peer of this.peers) {
      this.#expire(peer, now);
      if (isUnused(peer, now)) {
        this.#peers.delete(peer.nodeId);
      }
    }
  }

  override handleHello(link: Link, hello: LinkHello): LinkEnd | undefined {
    const { expectedPeer } = link;
    const isUnexpected = expectedPeer !== undefined &&
      expectedPeer !== hello.nodeId;
    if (isUnexpected || !link.matchesCertificate(hello.nodeId)) {
      return LinkEnd.WrongPeer;
    }
    const refusal = this.findOrCreatePeer(hello.nodeId).admit(link, hello);
    if (refusal === undefined) {
      this.#count("links-opened");
    }
    return refusal;
  }

  override handleMessage(link: Link, message: OutgoingMessage): void {
    this.#options.deliver(link.hello?.nodeId ?? "", message);
  }

  override handleClose(link: Link, end: LinkEnd): void {
    this.#links.delete(link);
    const peer = this.#findPeer(link);
    if (peer?.remove(link, performance.now())) {
      peer.newestLink?.wake();
    }
    this.#count(`links-ended-${end}`);
  }

  override takeMessages(link: Link): readonly OutgoingMessage[] {
    const peer = this.#findPeer(link);
    if (peer === undefined || peer.newestLink !== link) {
      return [];
    }
    this.#expire(peer, performance.now());
    const messages = peer.outbox.take(MAX_FRAME_BYTES);
    if (messages.length > 0) {
      this.#count("link-frames-sent");
      this.#count("link-messages-sent", messages.length);
    }
    return messages;
  }

  #findPeer(link: Link): Peer | undefined {
    return link.hello && this.#peers.get(link.hello.nodeId);
  }

  #nextSession(): bigint {
    this.#lastSession += 1n;
    return this.#lastSession;
  }

  #expire(peer: Peer, now: number): void {
    const expired = peer.outbox.expire(now);
    if (expired > 0) {
      this.#count("link-messages-expired", expired);
    }
  }

  #count(counter: string, by = 1): void {
    this.#options.metrics.count(counter, by);
  }
}

function isUnused(peer: Peer, now: number): boolean {
  return peer.dialer === undefined &&
    peer.disconnectedMs(now) > PEER_RETENTION_MS &&
    now - peer.lastSentAt > PEER_RETENTION_MS;
}
