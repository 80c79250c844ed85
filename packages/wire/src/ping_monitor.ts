/** Largest id that the field of the frame holds. */
const MAX_PING_ID = 0xffff_ffff;

export interface PingMonitorOptions {
  /** Longest wait for the first frame and for each pong, in milliseconds. */
  readonly timeoutMs: number;
  /** Monotonic time in milliseconds. */
  readonly openedAt: number;
}

/**
 * Decides when a link is silent. Until the peer's first frame it waits for
 * that; afterwards one ping at a time is out.
 */
export class PingMonitor {
  readonly #timeoutMs: number;
  #waitingSince: number | undefined;
  #lastTick: number;
  #greeted = false;
  #pingId = 0;
  #unsent = false;

  constructor(options: PingMonitorOptions) {
    this.#timeoutMs = options.timeoutMs;
    this.#waitingSince = options.openedAt;
    this.#lastTick = options.openedAt;
  }

  /** The peer's first frame was taken. */
  greeted(): void {
    this.#greeted = true;
    this.#waitingSince = undefined;
  }

  answered(pongId: number): void {
    if (pongId !== 0 && pongId === this.#pingId) {
      this.#waitingSince = undefined;
    }
  }

  /** Asks for a ping unless one is out; false when the link is silent. */
  tick(now: number): boolean {
    const paused = now - this.#lastTick > this.#timeoutMs;
    this.#lastTick = now;
    if (this.#waitingSince === undefined) {
      this.#ask(now);
      return true;
    }
    if (paused) {
      // Answers may have arrived while this process did not run.
      this.#waitingSince = now;
    }
    return now - this.#waitingSince < this.#timeoutMs;
  }

  /** The ping to put into the next frame, once; 0 when there is none. */
  takePing(): number {
    if (!this.#unsent) {
      return 0;
    }
    this.#unsent = false;
    return this.#pingId;
  }

  #ask(now: number): void {
    if (this.#greeted) {
      this.#pingId = this.#pingId % MAX_PING_ID + 1;
      this.#unsent = true;
      this.#waitingSince = now;
    }
  }
}
