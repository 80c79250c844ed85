/** Largest ping id; the field of the frame has 32 bits. */
const MAX_PING_ID = 0xffff_ffff;

/** Timing of a liveness monitor. */
export interface LivenessMonitorOptions {
  /** Longest wait for the first frame and for each pong, in milliseconds. */
  readonly timeoutMs: number;
  /** Monotonic time in milliseconds. */
  readonly openedAt: number;
}

/** Decides whether a link has timed out. */
export abstract class LivenessMonitor {
  protected readonly timeoutMs: number;
  #lastTick: number;

  constructor(options: LivenessMonitorOptions) {
    this.timeoutMs = options.timeoutMs;
    this.#lastTick = options.openedAt;
  }

  /** Records a received frame; `pongId` is 0 if it carries no pong. */
  abstract recordFrame(pongId: number): void;

  /** Returns the id of a ping that is to be sent, once; 0 if none is due. */
  abstract takePing(): number;

  /** Called periodically; returns false if the link has timed out. */
  tick(now: number): boolean {
    const wasSuspended = now - this.#lastTick > this.timeoutMs;
    this.#lastTick = now;
    if (wasSuspended) {
      // Frames may have arrived while this process was suspended.
      this.restartWait(now);
    }
    return this.check(now);
  }

  /** Restarts the current wait at the time `now`. */
  protected abstract restartWait(now: number): void;

  /** Returns false if the current wait has timed out. */
  protected abstract check(now: number): boolean;
}

/**
 * Monitor of the side that dialled: waits for the first frame, then has at
 * most one unanswered ping. A pong shows that both directions work.
 */
export class PingMonitor extends LivenessMonitor {
  #waitingSince: number | undefined;
  #hasFirstFrame = false;
  #pingId = 0;
  #isPingUnsent = false;

  constructor(options: LivenessMonitorOptions) {
    super(options);
    this.#waitingSince = options.openedAt;
  }

  override recordFrame(pongId: number): void {
    if (!this.#hasFirstFrame || (pongId !== 0 && pongId === this.#pingId)) {
      this.#hasFirstFrame = true;
      this.#waitingSince = undefined;
    }
  }

  override takePing(): number {
    if (!this.#isPingUnsent) {
      return 0;
    }
    this.#isPingUnsent = false;
    return this.#pingId;
  }

  protected override restartWait(now: number): void {
    if (this.#waitingSince !== undefined) {
      this.#waitingSince = now;
    }
  }

  protected override check(now: number): boolean {
    if (this.#waitingSince !== undefined) {
      return now - this.#waitingSince < this.timeoutMs;
    }
    this.#pingId = this.#pingId % MAX_PING_ID + 1;
    this.#isPingUnsent = true;
    this.#waitingSince = now;
    return true;
  }
}

/**
 * Monitor of the side that was dialled: expects frames, at least the pings of
 * the dialer. Its timeout is twice as long, so that the dialer, which can
 * redial, detects a failure first.
 */
export class IdleMonitor extends LivenessMonitor {
  #lastFrameAt: number;
  #hasNewFrame = false;

  constructor(options: LivenessMonitorOptions) {
    super(options);
    this.#lastFrameAt = options.openedAt;
  }

  override recordFrame(_pongId: number): void {
    this.#hasNewFrame = true;
  }

  override takePing(): number {
    return 0;
  }

  protected override restartWait(now: number): void {
    this.#lastFrameAt = now;
  }

  protected override check(now: number): boolean {
    if (this.#hasNewFrame) {
      this.#hasNewFrame = false;
      this.#lastFrameAt = now;
    }
    return now - this.#lastFrameAt < 2 * this.timeoutMs;
  }
}
