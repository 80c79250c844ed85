import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { NodeIdentity } from "@mustardweir/protocol";
import { type Frame, FrameSchema } from "./gen/mustardweir/link/v1/link_pb.ts";
import type { OutgoingMessage } from "./outbox.ts";
import {
  ListenMonitor,
  PingMonitor,
  type SilenceMonitor,
} from "./silence_monitor.ts";

/** Which side opened the stream of a link. */
export enum LinkSide {
  Dialled = "dialled",
  Accepted = "accepted",
}

/** Why a link was closed. */
export enum LinkEnd {
  /** The peer or the network ended the stream. */
  Ended = "ended",
  /** A ping or the first frame was not answered in time. */
  Silent = "silent",
  /** A newer stream to the same peer took its place. */
  Replaced = "replaced",
  /** The stream is older than one already taken from the same peer. */
  OutOfDate = "out-of-date",
  /** Another node than the expected one answered. */
  WrongPeer = "wrong-peer",
  /** The peer is no longer named. */
  Unwanted = "unwanted",
  /** This process stops. */
  Stopping = "stopping",
}

/** What the first frame of a stream says of its sender. */
export interface LinkHello {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly session: bigint;
}

/** Told by a link to its owner. */
export abstract class LinkObserver {
  /** Returns why the link is not taken, or undefined when it is. */
  abstract greeted(link: Link, hello: LinkHello): LinkEnd | undefined;
  /** A message has arrived on a link that was taken. */
  abstract received(link: Link, message: OutgoingMessage): void;
  /** The link has ended; called once. */
  abstract closed(link: Link, end: LinkEnd): void;
  /** Messages to send now; empty when another link has the turn. */
  abstract takeMessages(link: Link): readonly OutgoingMessage[];
}

/** One stream's side, ends and limits. */
export interface LinkOptions {
  readonly identity: NodeIdentity;
  readonly side: LinkSide;
  /** Grows with each stream dialled; undefined for an accepted one. */
  readonly session?: bigint;
  /** The node that was dialled. */
  readonly expectedPeer?: string;
  /** Whether the certificate of the other side names a node. */
  readonly provesNode?: (nodeId: string) => boolean;
  readonly observer: LinkObserver;
  readonly pingTimeoutMs: number;
  /** Monotonic time of the opening, in milliseconds. */
  readonly openedAt: number;
  /** Ends the connection below; called once. */
  readonly disconnect: () => void;
}

/**
 * One stream of frames with a peer. It is live once the peer's first frame
 * was taken, and until it is closed.
 */
export class Link {
  readonly side: LinkSide;
  readonly #options: LinkOptions;
  readonly #silence: SilenceMonitor;
  #hello: LinkHello | undefined;
  #closed = false;
  #draining = false;
  #pongId = 0;
  #wakeUp: (() => void) | undefined;
  #wakeTurn: NodeJS.Immediate | undefined;

  constructor(options: LinkOptions) {
    this.#options = options;
    this.side = options.side;
    const timing = {
      timeoutMs: options.pingTimeoutMs,
      openedAt: options.openedAt,
    };
    this.#silence = options.side === LinkSide.Dialled
      ? new PingMonitor(timing)
      : new ListenMonitor(timing);
  }

  /** The peer's first frame; undefined until it was taken. */
  get hello(): LinkHello | undefined {
    return this.#hello;
  }

  /** Number of the stream if this side dialled it. */
  get session(): bigint | undefined {
    return this.#options.session;
  }

  /** The node that was dialled; undefined for an accepted link. */
  get expectedPeer(): string | undefined {
    return this.#options.expectedPeer;
  }

  /** False when the other side's certificate does not name the node. */
  provesNode(nodeId: string): boolean {
    return this.#options.provesNode?.(nodeId) ?? true;
  }

  /** The frames to send, until the link is closed. */
  async *frames(): AsyncGenerator<Frame> {
    if (this.side === LinkSide.Dialled) {
      yield this.#firstFrame(this.#options.session ?? 0n);
    }
    await this.#waitForHello();
    if (this.side === LinkSide.Accepted && this.#hello) {
      yield this.#firstFrame(this.#hello.session);
    }
    while (!this.#closed) {
      const frame = this.#nextFrame();
      if (frame) {
        yield frame;
      } else if (this.#draining) {
        return;
      } else {
        await this.#waitForWork();
      }
    }
  }

  /** Reads frames until the stream ends, then closes the link. */
  async readAll(frames: AsyncIterable<Frame>): Promise<void> {
    try {
      for await (const frame of frames) {
        this.#receive(frame);
      }
    } catch {
      // However a stream breaks, the link has ended.
    }
    this.close(LinkEnd.Ended);
  }

  /** Sends what waits, in one frame with all else of this loop turn. */
  wake(): void {
    if (this.#wakeUp !== undefined && this.#wakeTurn === undefined) {
      this.#wakeTurn = setImmediate(() => this.#resume());
    }
  }

  /** Closes the link when it is silent; otherwise sends a ping if one is due. */
  tick(now: number): void {
    if (!this.#silence.tick(now)) {
      this.close(LinkEnd.Silent);
    } else if (this.side === LinkSide.Dialled) {
      this.wake();
    }
  }

  /** Lets the frames end once everything that waits has been sent. */
  drain(): void {
    this.#draining = true;
    this.wake();
  }

  close(end: LinkEnd): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#resume();
    this.#options.disconnect();
    this.#options.observer.closed(this, end);
  }

  #receive(frame: Frame): void {
    if (this.#closed) {
      return;
    }
    if (this.#hello === undefined && !this.#greet(frame)) {
      return;
    }
    this.#silence.heard(frame.pongId);
    for (const envelope of frame.envelopes) {
      this.#options.observer.received(this, envelope);
    }
    if (frame.pingId !== 0) {
      this.#pongId = frame.pingId;
      this.wake();
    }
  }

  #greet(frame: Frame): boolean {
    const { nodeId, incarnation, session } = frame;
    const hello = { nodeId, incarnation, session };
    const refusal = this.#options.observer.greeted(this, hello);
    if (refusal !== undefined) {
      this.close(refusal);
      return false;
    }
    this.#hello = hello;
    this.wake();
    return true;
  }

  #firstFrame(session: bigint): Frame {
    const { nodeId, incarnation } = this.#options.identity;
    return create(FrameSchema, { nodeId, incarnation, session });
  }

  #nextFrame(): Frame | undefined {
    const envelopes = this.#options.observer.takeMessages(this);
    const pingId = this.#silence.takePing();
    const pongId = this.#pongId;
    this.#pongId = 0;
    if (envelopes.length === 0 && pingId === 0 && pongId === 0) {
      return undefined;
    }
    return create(
      FrameSchema,
      { envelopes, pingId, pongId } as MessageInitShape<typeof FrameSchema>,
    );
  }

  async #waitForHello(): Promise<void> {
    while (this.#hello === undefined && !this.#closed) {
      await this.#waitForWork();
    }
  }

  #waitForWork(): Promise<void> {
    return new Promise((resolve) => {
      this.#wakeUp = resolve;
    });
  }

  #resume(): void {
    clearImmediate(this.#wakeTurn);
    this.#wakeTurn = undefined;
    const wakeUp = this.#wakeUp;
    this.#wakeUp = undefined;
    wakeUp?.();
  }
}
