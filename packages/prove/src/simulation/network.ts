import type { Random } from "@mustardweir/kernel";
import type { VirtualClock } from "./virtual_clock.ts";

/** Time one way between two processes, in milliseconds. */
const MIN_LATENCY_MS = 0.3;
const LATENCY_SPREAD_MS = 1;

/** A copy of a message comes up to this much later, in milliseconds. */
const COPY_DELAY_MS = 1_500;

/** Faults that messages between all processes suffer. */
export interface NetworkFaults {
  /** Largest extra delay, in milliseconds; messages cross within it. */
  readonly lateMs: number;
  /** Fraction of the messages that come twice. */
  readonly doubled: number;
  /** Fraction of the messages that are lost. */
  readonly lost: number;
}

/** Messages arrive once, in time. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  lateMs: 0,
  doubled: 0,
  lost: 0,
};

/** The time and chance of a network. */
export interface NetworkOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
}

/** Carries messages between named ends, with faults. */
export class Network {
  faults = NO_NETWORK_FAULTS;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  /** Directed connections that carry nothing, until when. */
  readonly #silentUntil = new Map<string, number>();

  constructor({ clock, random }: NetworkOptions) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Has `deliver` called when, and as often as, the message arrives. */
  send(from: string, to: string, deliver: () => void): void {
    const isLost = this.#random.fraction() < this.faults.lost;
    if (this.isSilent(from, to) || isLost) {
      return;
    }
    const delay = this.#latency();
    this.#clock.after(delay, deliver);
    if (this.#random.fraction() < this.faults.doubled) {
      const copyDelay = this.#random.fraction() * COPY_DELAY_MS;
      this.#clock.after(delay + copyDelay, deliver);
    }
  }

  /** Loses all from one end to another until a fresh connection is made. */
  silence(from: string, to: string, forMs: number): void {
    this.#silentUntil.set(linkName(from, to), this.#clock.now + forMs);
  }

  /** True while nothing comes through from one end to the other. */
  isSilent(from: string, to: string): boolean {
    return this.#clock.now < (this.#silentUntil.get(linkName(from, to)) ?? 0);
  }

  heal(): void {
    this.faults = NO_NETWORK_FAULTS;
    this.#silentUntil.clear();
  }

  #latency(): number {
    const base = MIN_LATENCY_MS + this.#random.fraction() * LATENCY_SPREAD_MS;
    return base + this.#random.fraction() * this.faults.lateMs;
  }
}

function linkName(from: string, to: string): string {
  return `${from}>${to}`;
}
