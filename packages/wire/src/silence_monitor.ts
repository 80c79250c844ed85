/** Largest id that the field of the frame holds. */
const MAX_PING_ID = 0xffff_ffff;

/** When a link counts as silent. */
export interface SilenceMonitorOptions {
  /** Longest wait for the first frame and for each pong, in milliseconds. */
  readonly timeoutMs: number;
  /** Monotonic time in milliseconds. */
  readonly openedAt: number;
}

/** Decides when a link is silent. */
export abstract class SilenceMonitor {
  protected readonly timeoutMs: number;
  #lastTick: number;

  constructor(options: SilenceMonitorOptions) {
    this.timeoutMs = options.timeoutMs;
    this.#lastTick = options.openedAt;
  }

  /** A frame arrived; `pongId` is 0 when it answers no ping. */
  abstract heard(pongId: number): void;

  /** The ping to put into the next frame, once; 0 when there is none. */
  abstract takePing(): number;

  /** Called again and again; false when the link is silent. */
  tick(now: number): boolean {
    const paused = now - this.#lastTick > this.timeoutMs;
    this.#lastTick = now;
    if (paused) {
      // Frames may have arrived while this process did not run.
      this.waitFrom(now);
    }
    return this.check(now);
  }

  /** Starts the wait that is going on anew. */
  protected abstract waitFrom(now: number): void;

  protected abstract check(now: number): boolean;
}

/**
 * For the side that dialled: waits for the first frame, then has one ping out
 * at a time. A pong shows that both directions work.
 */
export class PingMonitor extends SilenceMonitor {
  #waitingSince: number | undefined;
  #greeted = false;
  #pingId = 0;
  #unsent = false;

  constructor(options: SilenceMonitorOptions) {
    super(options);
    this.#waitingSince = options.openedAt;
  }

  override heard(pongId: number): void {
    if (!this.#greeted || (pongId !== 0 && pongId === this.#pingId)) {
      this.#greeted = true;
      this.#waitingSince = undefined;
    }
  }

  override takePing(): number {
    if (!this.#unsent) {
      return 0;
    }
    this.#unsent = false;
    return this.#pingId;
  }

  protected override waitFrom(now: number): void {
    if (this.#waitingSince !== undefined) {
      this.#waitingSince = now;
    }
  }

  protected override check(now: number): boolean {
    if (this.#waitingSince !== undefined) {
      return now - this.#waitingSince < this.timeoutMs;
    }
    this.#pingId = this.#pingId % MAX_PING_ID + 1;
    this.#unsent = true;
    this.#waitingSince = now;
    return true;
  }
}

/**
 * For the side that was dialled: waits for the pings of the other. It waits
 * twice as long, so that the other, which can dial, notices first.
 */
export class ListenMonitor extends SilenceMonitor {
  #lastHeard: number;
  #heard = false;

  constructor(options: SilenceMonitorOptions) {
    super(options);
    this.#lastHeard = options.openedAt;
  }

  override heard(_pongId: number): void {
    this.#heard = true;
  }

  override takePing(): number {
    return 0;
  }

  protected override waitFrom(now: number): void {
    this.#lastHeard = now;
  }

  protected override check(now: number): boolean {
    if (this.#heard) {
      this.#heard = false;
      this.#lastHeard = now;
    }
    return now - this.#lastHeard < 2 * this.timeoutMs;
  }
}
