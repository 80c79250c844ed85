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

/** A peer with neither links nor messages is forgotten after this. */
const FORGET_PEER_MS = 60_000;

/** What all links of a node share. */
export interface LinkTableOptions {
  readonly identity: NodeIdentity;
  readonly outbox: OutboxOptions;
  readonly pingTimeoutMs: number;
  readonly metrics: Metrics;
  /** Takes each message that arrives on a live link. */
  readonly deliver: (from: string, message: OutgoingMessage) => void;
}

/** One new stream. */
export interface OpenLinkOptions {
  readonly side: LinkSide;
  /** Ends the connection below. */
  readonly disconnect: () => void;
  /** The node that was dialled. */
  readonly expectedPeer?: string;
  /** Whether the certificate of the other side names a node. */
  readonly provesNode?: (nodeId: string) => boolean;
}

/** All links of a node and the peers they lead to. */
export class LinkTable extends LinkObserver {
  readonly #options: LinkTableOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #links = new Set<Link>();
  #lastSession = 0n;

  constructor(options: LinkTableOptions) {
    super();
    this.#options = options;
  }

  /** Every node that is known, with a link or without. */
  get peers(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Every open link, also those not yet taken. */
  get links(): readonly Link[] {
    return [...this.#links];
  }

  /** The record of a node, made when it is not known yet. */
  peer(nodeId: string): Peer {
    const known = this.#peers.get(nodeId);
    if (known) {
      return known;
    }
    const { outbox } = this.#options;
    const peer = new Peer(nodeId, { outbox, now: performance.now() });
    this.#peers.set(nodeId, peer);
    return peer;
  }

  /** Makes the link of a stream that is being opened. */
  open(options: OpenLinkOptions): Link {
    const { identity, pingTimeoutMs } = this.#options;
    const dialled = options.expectedPeer !== undefined;
    const link = new Link({
      identity,
      side: options.side,
      session: dialled ? this.#nextSession() : undefined,
      expectedPeer: options.expectedPeer,
      provesNode: options.provesNode,
      observer: this,
      pingTimeoutMs,
      openedAt: performance.now(),
      disconnect: options.disconnect,
    });
    this.#links.add(link);
    return link;
  }

  /** Lets a message wait for the newest link to `to`. */
  send(to: string, message: OutgoingMessage): void {
    const now = performance.now();
    const peer = this.peer(to);
    const dropped = peer.outbox.add(message, now);
    if (dropped > 0) {
      this.#count("link-messages-overflowed", dropped);
    }
    peer.lastSentAt = now;
    peer.newest?.wake();
  }

  /** Looks after every link, drops what waits too long, forgets unused peers. */
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

  override greeted(link: Link, hello: LinkHello): LinkEnd | undefined {
    const { expectedPeer } = link;
    const isOther = expectedPeer !== undefined && expectedPeer !== hello.nodeId;
    if (isOther || !link.provesNode(hello.nodeId)) {
      return LinkEnd.WrongPeer;
    }
    const refusal = this.peer(hello.nodeId).admit(link, hello);
    if (refusal === undefined) {
      this.#count("links-opened");
    }
    return refusal;
  }

  override received(link: Link, message: OutgoingMessage): void {
    this.#options.deliver(link.hello?.nodeId ?? "", message);
  }

  override closed(link: Link, end: LinkEnd): void {
    this.#links.delete(link);
    const peer = this.#peerOf(link);
    if (peer?.remove(link, performance.now())) {
      peer.newest?.wake();
    }
    this.#count(`links-ended-${end}`);
  }

  override takeMessages(link: Link): readonly OutgoingMessage[] {
    const peer = this.#peerOf(link);
    if (peer === undefined || peer.newest !== link) {
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

  #peerOf(link: Link): Peer | undefined {
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
    peer.linklessMs(now) > FORGET_PEER_MS &&
    now - peer.lastSentAt > FORGET_PEER_MS;
}
