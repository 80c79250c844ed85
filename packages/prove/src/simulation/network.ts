import type { Random } from "@mustardweir/kernel";
import type { VirtualClock } from "./virtual_clock.ts";

/** One-way latency between two processes, in milliseconds. */
const MIN_LATENCY_MS = 0.3;
const LATENCY_SPREAD_MS = 1;

/** Maximum delay of a duplicate after its message, in milliseconds. */
const MAX_COPY_DELAY_MS = 1_500;

/** Faults that affect the messages between all processes. */
export interface NetworkFaults {
  /** Maximum extra delay, in milliseconds; it can reorder messages. */
  readonly lateMs: number;
  /** Fraction of the messages that are delivered twice. */
  readonly duplicated: number;
  /** Fraction of the messages that are lost. */
  readonly lost: number;
}

/** No faults: each message is delivered once, without extra delay. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  lateMs: 0,
  duplicated: 0,
  lost: 0,
};

/** Clock and random source of a network. */
export interface NetworkOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
}

/** Delivers messages between named endpoints, with faults. */
export class Network {
  faults = NO_NETWORK_FAULTS;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  /** End of the silence of each directed connection, in virtual time. */
  readonly #silentUntil = new Map<string, number>();

  constructor({ clock, random }: NetworkOptions) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Calls `deliver` each time that the message arrives, if at all. */
  send(from: string, to: string, deliver: () => void): void {
    const isLost = this.#random.fraction() < this.faults.lost;
    if (this.isSilent(from, to) || isLost) {
      return;
    }
    const delay = this.#latency();
    this.#clock.after(delay, deliver);
    if (this.#random.fraction() < this.faults.duplicated) {
      const copyDelay = this.#random.fraction() * MAX_COPY_DELAY_MS;
      this.#clock.after(delay + copyDelay, deliver);
    }
  }

  /** Drops all messages from one endpoint to another for `forMs`. */
  silence(from: string, to: string, forMs: number): void {
    this.#silentUntil.set(linkName(from, to), this.#clock.now + forMs);
  }

  /** Returns whether messages from one endpoint to the other are dropped. */
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
