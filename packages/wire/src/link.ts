import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { NodeIdentity } from "@mustardweir/protocol";
import { type Frame, FrameSchema } from "./gen/mustardweir/link/v1/link_pb.ts";
import type { OutgoingMessage } from "./outbox.ts";
import {
  IdleMonitor,
  type LivenessMonitor,
  PingMonitor,
} from "./liveness_monitor.ts";

/** Whether this node or the peer opened the stream of a link. */
export enum LinkSide {
  /** This node opened it. */
  Dialled = "dialled",
  /** The peer opened it. */
  Accepted = "accepted",
}

/** Why a link was closed. */
export enum LinkEnd {
  /** The peer or the network ended the stream. */
  Ended = "ended",
  /** The first frame, a pong or the peer's pings did not arrive in time. */
  Silent = "silent",
  /** Replaced by a newer stream, or by a new incarnation of the peer. */
  Replaced = "replaced",
  /** The peer has already opened a newer stream. */
  OutOfDate = "out-of-date",
  /** The peer's node id is not the expected one or not in its certificate. */
  WrongPeer = "wrong-peer",
  /** The peer is no longer listed, or its address has changed. */
  Unwanted = "unwanted",
  /** This process is stopping. */
  Stopping = "stopping",
}

/** The sender of a stream, as given in its first frame. */
export interface LinkHello {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly session: bigint;
}

/** Handles the events of links and supplies the messages to send. */
export abstract class LinkObserver {
  /**
   * Called with the first frame's contents; returns why the link is refused,
   * or undefined if it is admitted.
   */
  abstract handleHello(link: Link, hello: LinkHello): LinkEnd | undefined;
  /** Called for each message that arrives on an admitted link. */
  abstract handleMessage(link: Link, message: OutgoingMessage): void;
  /** Called once, when the link is closed. */
  abstract handleClose(link: Link, end: LinkEnd): void;
  /**
   * Removes and returns the messages to send now; empty if there are none or
   * the peer's messages go out on another link.
   */
  abstract takeMessages(link: Link): readonly OutgoingMessage[];
}

/** How a link is opened, watched and closed. */
export interface LinkOptions {
  readonly identity: NodeIdentity;
  readonly side: LinkSide;
  /** Increases with each stream dialled; undefined for an accepted one. */
  readonly session?: bigint;
  /** Id of the node that was dialled; undefined for an accepted link. */
  readonly expectedPeer?: string;
  /** Whether the peer's certificate belongs to the node of this id. */
  readonly matchesCertificate?: (nodeId: string) => boolean;
  readonly observer: LinkObserver;
  readonly pingTimeoutMs: number;
  /** Monotonic time at which the stream was opened, in milliseconds. */
  readonly openedAt: number;
  /** Closes the underlying connection; called once. */
  readonly disconnect: () => void;
}

/**
 * One bidirectional stream of frames with a peer. It is live from its admission
 * on the peer's first frame until it is closed.
 */
export class Link {
  readonly side: LinkSide;
  readonly #options: LinkOptions;
  readonly #liveness: LivenessMonitor;
  #hello: LinkHello | undefined;
  #closed = false;
  #draining = false;
  #pongId = 0;
  #resolveWait: (() => void) | undefined;
  #pendingWake: NodeJS.Immediate | undefined;

  constructor(options: LinkOptions) {
    this.#options = options;
    this.side = options.side;
    const timing = {
      timeoutMs: options.pingTimeoutMs,
      openedAt: options.openedAt,
    };
    this.#liveness = options.side === LinkSide.Dialled
      ? new PingMonitor(timing)
      : new IdleMonitor(timing);
  }

  /** The sender in the peer's first frame; undefined until admitted. */
  get hello(): LinkHello | undefined {
    return this.#hello;
  }

  /** Session number of a dialled stream; undefined for an accepted one. */
  get session(): bigint | undefined {
    return this.#options.session;
  }

  /** Id of the node that was dialled; undefined for an accepted link. */
  get expectedPeer(): string | undefined {
    return this.#options.expectedPeer;
  }

  /** Whether the peer's certificate belongs to the node; true without TLS. */
  matchesCertificate(nodeId: string): boolean {
    return this.#options.matchesCertificate?.(nodeId) ?? true;
  }

  /** Yields the frames to send until the link is closed or drained. */
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
      // A stream error closes the link like the end of the stream.
    }
    this.close(LinkEnd.Ended);
  }

  /**
   * Schedules the next frame; all messages of one event loop iteration share
   * it, up to the maximum frame size.
   */
  wake(): void {
    if (this.#resolveWait !== undefined && this.#pendingWake === undefined) {
      this.#pendingWake = setImmediate(() => this.#resume());
    }
  }

  /** Closes the link if it has timed out; otherwise sends a ping if due. */
  tick(now: number): void {
    if (!this.#liveness.tick(now)) {
      this.close(LinkEnd.Silent);
    } else if (this.side === LinkSide.Dialled) {
      this.wake();
    }
  }

  /** Ends the stream of frames once all queued messages have been sent. */
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
    this.#options.observer.handleClose(this, end);
  }

  #receive(frame: Frame): void {
    if (this.#closed) {
      return;
    }
    if (this.#hello === undefined && !this.#admit(frame)) {
      return;
    }
    this.#liveness.recordFrame(frame.pongId);
    for (const envelope of frame.envelopes) {
      this.#options.observer.handleMessage(this, envelope);
    }
    if (frame.pingId !== 0) {
      this.#pongId = frame.pingId;
      this.wake();
    }
  }

  #admit(frame: Frame): boolean {
    const { nodeId, incarnation, session } = frame;
    const hello = { nodeId, incarnation, session };
    const refusal = this.#options.observer.handleHello(this, hello);
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
    const pingId = this.#liveness.takePing();
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
      this.#resolveWait = resolve;
    });
  }

  #resume(): void {
    clearImmediate(this.#pendingWake);
    this.#pendingWake = undefined;
    const resolveWait = this.#resolveWait;
    this.#resolveWait = undefined;
    resolveWait?.();
  }
}
