import { Role } from "@mustardweir/kernel";
import {
  ALL_PEERS,
  type ConnectPeersEffect,
  EffectKind,
  type NodeEffect,
  type NodeIdentity,
  PEER_MESSAGE_RECEIVED,
  type PeerAddress,
  PeerMessageKind,
  type SendPeerEffect,
} from "@mustardweir/protocol";
import {
  type EventSink,
  Metrics,
  Performer,
  type TlsFiles,
} from "@mustardweir/runtime";
import type { MessageCodec } from "./codec.ts";
import { Dialer, DialerContext } from "./dialer.ts";
import { type Link, LinkEnd, LinkSide } from "./link.ts";
import { LinkServer, type ListenAddress } from "./link_server.ts";
import { LinkTable } from "./link_table.ts";
import { MAX_READ_BYTES } from "./link_limits.ts";
import type { OutgoingMessage } from "./outbox.ts";
import type { Peer } from "./peer.ts";

/**
 * Factor on the interval of pings of a node that dials all its peers. There are
 * many such nodes, and each link costs both ends two frames for each ping.
 */
const DIALER_PING_FACTOR = 2;

/** Messages queued for longer are dropped, in milliseconds. */
const MAX_QUEUE_AGE_MS = 2_000;

/**
 * Time without a link, in milliseconds, after which the side that normally
 * accepts dials itself.
 */
const DIAL_FALLBACK_DELAY_MS = 1_000;

/** Longest time to send queued messages when closing, in milliseconds. */
const DRAIN_TIMEOUT_MS = 500;

/** Interval of checks whether all links are drained, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 10;

/** How a node connects to its peers. */
export interface LinkPerformerOptions {
  readonly identity: NodeIdentity;
  readonly codec: MessageCodec;
  /** Where peers are accepted; if undefined, the node only dials. */
  readonly listen?: ListenAddress;
  /** Interval of pings in milliseconds; 500 by default. */
  readonly pingIntervalMs?: number;
  /** Longest wait for a pong in milliseconds; 1500 by default. */
  readonly pingTimeoutMs?: number;
  /** Maximum number of queued messages for each peer; 10000 by default. */
  readonly maxQueuedMessages?: number;
  /**
   * Maximum total of the bodies of queued messages for each peer, in bytes; 64
   * MB by default.
   */
  readonly maxQueuedBytes?: number;
  /** Largest frame that is read, in bytes; 64 MB by default. */
  readonly maxReadBytes?: number;
  /** Maximum number of accepted connections; 2000 by default. */
  readonly maxConnections?: number;
  /** Counts messages, opened and ended links, and malformed messages. */
  readonly metrics?: Metrics;
  /**
   * Certificate, key and CA; both sides present a certificate with their node
   * id as a DNS name. Connections are unencrypted if undefined.
   */
  readonly tls?: TlsFiles;
}

/**
 * Sends messages between nodes over long-lived streams. Messages may be lost,
 * delayed or duplicated; those on one link keep their order.
 *
 * @example
 * ```ts
 * const links = new LinkPerformer({
 *   identity,
 *   codec: new JsonMessageCodec(),
 *   listen: { host: "127.0.0.1", port: 0 },
 *   metrics,
 * });
 * ```
 */
export class LinkPerformer extends Performer {
  override readonly kinds = [EffectKind.SendPeer, EffectKind.ConnectPeers];
  readonly #identity: NodeIdentity;
  readonly #codec: MessageCodec;
  readonly #listen: ListenAddress | undefined;
  readonly #pingIntervalMs: number;
  readonly #metrics: Metrics;
  readonly #table: LinkTable;
  readonly #tls: TlsFiles | undefined;
  readonly #maxReadBytes: number;
  readonly #maxConnections: number | undefined;
  #server: LinkServer | undefined;
  #port = 0;
  #sink: EventSink | undefined;
  #ticker: NodeJS.Timeout | undefined;
  #alwaysDials = false;

  constructor(options: LinkPerformerOptions) {
    super();
    this.#identity = options.identity;
    this.#codec = options.codec;
    this.#listen = options.listen;
    this.#tls = options.tls;
    this.#maxReadBytes = options.maxReadBytes ?? MAX_READ_BYTES;
    this.#maxConnections = options.maxConnections;
    this.#pingIntervalMs = options.pingIntervalMs ?? 500;
    this.#metrics = options.metrics ?? new Metrics();
    this.#table = new LinkTable({
      identity: options.identity,
      outbox: {
        maxMessages: options.maxQueuedMessages ?? 10_000,
        maxBytes: options.maxQueuedBytes ?? MAX_READ_BYTES,
        maxAgeMs: MAX_QUEUE_AGE_MS,
      },
      pingTimeoutMs: options.pingTimeoutMs ?? 1_500,
      metrics: this.#metrics,
      deliver: (from, message) => this.#deliver(from, message),
    });
  }

  /** The port on which peers are accepted; 0 before the start. */
  get port(): number {
    return this.#port;
  }

  /** Ids of the peers with a live link. */
  get livePeers(): readonly string[] {
    return this.#table.peers
      .filter((peer) => peer.newestLink !== undefined)
      .map((peer) => peer.nodeId);
  }

  override async start(sink: EventSink): Promise<void> {
    this.#sink = sink;
    if (this.#listen) {
      this.#server = new LinkServer({
        openLink: (connection) =>
          this.#table.open({ side: LinkSide.Accepted, ...connection }),
        tls: this.#tls,
        maxReadBytes: this.#maxReadBytes,
        ...(this.#maxConnections === undefined
          ? {}
          : { maxConnections: this.#maxConnections }),
      });
      this.#port = await this.#server.listen(this.#listen);
    }
    this.#startTicker();
  }

  #startTicker(): void {
    clearInterval(this.#ticker);
    this.#ticker = setInterval(
      () => this.#table.tick(),
      this.#pingIntervalMs * (this.#alwaysDials ? DIALER_PING_FACTOR : 1),
    );
  }

  override perform(effect: NodeEffect, sink: EventSink): void {
    if (effect.kind === EffectKind.SendPeer) {
      this.#send(effect, sink);
    } else if (effect.kind === EffectKind.ConnectPeers) {
      this.#connect(effect);
    }
  }

  /** Sends the queued messages, then closes all links. */
  override async close(): Promise<void> {
    clearInterval(this.#ticker);
    for (const { dialer } of this.#table.peers) {
      dialer?.stopDialling();
    }
    await this.#drain();
    for (const link of this.#table.links) {
      link.close(LinkEnd.Stopping);
    }
    await this.#server?.close();
  }

  #send({ to, message }: SendPeerEffect, sink: EventSink): void {
    if (to === this.#identity.nodeId) {
      sink.post(PEER_MESSAGE_RECEIVED, { from: to, message });
      return;
    }
    const outgoing = {
      kind: message.kind,
      body: this.#codec.encode(message),
    };
    const receivers = to === ALL_PEERS ? this.livePeers : [to];
    this.#metrics.count(
      `bytes-sent-peer-${PeerMessageKind[message.kind]}`,
      outgoing.body.length * receivers.length,
    );
    for (const receiver of receivers) {
      this.#table.send(receiver, outgoing);
    }
  }

  #deliver(from: string, { kind, body }: OutgoingMessage): void {
    this.#codec.decode(kind, body).match(
      (message) => {
        this.#metrics.count("link-messages-received");
        this.#metrics.count(
          `bytes-received-peer-${PeerMessageKind[message.kind]}`,
          body.length,
        );
        this.#sink?.post(PEER_MESSAGE_RECEIVED, { from, message });
      },
      () => this.#metrics.count("link-messages-malformed"),
    );
  }

  #connect({ peers, alwaysDials = false }: ConnectPeersEffect): void {
    if (this.#alwaysDials !== alwaysDials) {
      this.#alwaysDials = alwaysDials;
      this.#startTicker();
    }
    const listed = new Map(peers.map((peer) => [peer.nodeId, peer]));
    listed.delete(this.#identity.nodeId);
    for (const peer of this.#table.peers) {
      const address = listed.get(peer.nodeId)?.address;
      if (peer.dialer && peer.dialer.peer.address !== address) {
        peer.dialer.stop(LinkEnd.Unwanted);
        peer.dialer = undefined;
      }
    }
    for (const address of listed.values()) {
      this.#dial(address);
    }
  }

  #dial(address: PeerAddress): void {
    const peer = this.#table.findOrCreatePeer(address.nodeId);
    if (peer.dialer !== undefined) {
      return;
    }
    peer.dialer = new Dialer(
      address,
      new TableDialerContext(this.#table, {
        identity: this.#identity,
        peer,
        tls: this.#tls,
        maxReadBytes: this.#maxReadBytes,
        alwaysDials: () => this.#alwaysDials,
      }),
    );
    void peer.dialer.run();
  }

  async #drain(): Promise<void> {
    for (const link of this.#table.links) {
      link.drain();
    }
    const end = performance.now() + DRAIN_TIMEOUT_MS;
    while (this.#table.links.length > 0 && performance.now() < end) {
      await new Promise((resolve) =>
        setTimeout(resolve, DRAIN_POLL_INTERVAL_MS)
      );
    }
  }
}

interface TableDialerContextOptions {
  readonly identity: NodeIdentity;
  readonly peer: Peer;
  readonly tls: TlsFiles | undefined;
  readonly maxReadBytes: number;
  readonly alwaysDials: () => boolean;
}

/** Creates dialled links in a table and decides which side dials. */
class TableDialerContext extends DialerContext {
  readonly #table: LinkTable;
  readonly #identity: NodeIdentity;
  readonly #peer: Peer;
  readonly #alwaysDials: () => boolean;
  override readonly tls: TlsFiles | undefined;
  override readonly maxReadBytes: number;

  constructor(table: LinkTable, options: TableDialerContextOptions) {
    super();
    this.#table = table;
    this.#identity = options.identity;
    this.#peer = options.peer;
    this.#alwaysDials = options.alwaysDials;
    this.tls = options.tls;
    this.maxReadBytes = options.maxReadBytes;
  }

  /**
   * Entries dial, and nodes that were told to always dial. Of two schedulers the
   * one with the lower id dials, and the other if it has had no link for
   * {@link DIAL_FALLBACK_DELAY_MS}.
   */
  override shouldDial(): boolean {
    const { nodeId, role } = this.#identity;
    return role === Role.Entry || this.#alwaysDials() ||
      nodeId < this.#peer.nodeId ||
      this.#peer.disconnectedMs(performance.now()) > DIAL_FALLBACK_DELAY_MS;
  }

  override openLink(disconnect: () => void): Link {
    return this.#table.open({
      side: LinkSide.Dialled,
      disconnect,
      expectedPeer: this.#peer.nodeId,
    });
  }
}
