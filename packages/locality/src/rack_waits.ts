import type { Resources } from "@mustardweir/model";
import type { ElsewhereCause } from "./placement_decision.ts";
import { relativeSize } from "./rack_outlook.ts";

/** Most stages that wait for a rack or have given up lately. */
export const MAX_WAITS = 256;
/**
 * Time after its end for which a wait is remembered, so that its stage doesn't
 * begin another one, in milliseconds.
 */
const RETENTION_MS = 30_000;

/** A stage that waits for room in a rack, or has given up. */
export interface RackWait {
  /** Name of the stage. */
  readonly stage: string;
  readonly queue: string;
  readonly rack: string;
  readonly sinceMs: number;
  /** Time at which the wait is given up, in milliseconds. */
  readonly untilMs: number;
  /** Time until room was expected when the wait began, in milliseconds. */
  readonly expectedMs: number;
  /** Usable workers of the rack when the wait began. */
  readonly workers: readonly string[];
  /** Size of a task. */
  readonly size: Resources;
  rank: number;
  /** Number of tasks that wait. */
  tasks: number;
  /** Number of times that the stage has declined room elsewhere. */
  skipped: number;
  /** Why the wait has ended; undefined while the stage waits. */
  ended: ElsewhereCause | undefined;
}

/**
 * The stages that wait for a rack. Takes about 1 KB for each of at most
 * {@link MAX_WAITS} stages, with the names of 20 workers.
 */
export class RackWaits {
  readonly #waits = new Map<string, RackWait>();
  /** Names of the stages that wait, by rack. */
  readonly #byRack = new Map<string, Set<string>>();

  /** Number of stages that wait. */
  get open(): number {
    let sum = 0;
    for (const stages of this.#byRack.values()) {
      sum += stages.size;
    }
    return sum;
  }

  /** Whether another wait may begin. */
  get hasRoom(): boolean {
    return this.#waits.size < MAX_WAITS;
  }

  /** Returns the wait of a stage, also if it has ended. */
  find(stage: string): RackWait | undefined {
    return this.#waits.get(stage);
  }

  /** Returns the names of the stages that wait for a rack. */
  stagesOf(rack: string): readonly string[] {
    return [...this.#byRack.get(rack) ?? []];
  }

  /** Returns the names of all stages that wait. */
  get stages(): readonly string[] {
    return [...this.#byRack.values()].flatMap((stages) => [...stages]);
  }

  begin(wait: RackWait): void {
    this.#waits.set(wait.stage, wait);
    const stages = this.#byRack.get(wait.rack) ?? new Set<string>();
    stages.add(wait.stage);
    this.#byRack.set(wait.rack, stages);
  }

  /** Ends a wait and remembers why. */
  end(wait: RackWait, cause: ElsewhereCause): void {
    wait.ended = cause;
    this.#removeFromRack(wait);
  }

  /** Forgets the wait of a stage. */
  remove(stage: string): void {
    const wait = this.#waits.get(stage);
    if (wait !== undefined) {
      this.#waits.delete(stage);
      this.#removeFromRack(wait);
    }
  }

  /**
   * Returns how many tasks of `size` the work takes that waits for the rack and
   * goes before a stage.
   */
  tasksAhead(
    { stage, rack, rank, size, now }: {
      readonly stage: string;
      readonly rack: string;
      readonly rank: number;
      readonly size: Resources;
      readonly now: number;
    },
  ): number {
    const sinceMs = this.#waits.get(stage)?.sinceMs ?? now;
    let sum = 0;
    for (const name of this.#byRack.get(rack) ?? []) {
      const other = this.#waits.get(name)!;
      const isAhead = other.rank < rank ||
        (other.rank === rank && other.sinceMs <= sinceMs);
      // A job that was cancelled leaves its wait behind until it expires.
      if (name !== stage && isAhead && other.untilMs >= now) {
        sum += other.tasks * relativeSize(other.size, size);
      }
    }
    return Math.ceil(sum);
  }

  /** Returns whether other stages wait for the rack. */
  isWantedByOthers(rack: string, stage: string, now: number): boolean {
    return this.stagesOf(rack).some((name) =>
      name !== stage && this.#waits.get(name)!.untilMs >= now
    );
  }

  /** Drops waits that are long over, and those of stages that are gone. */
  expire(now: number): void {
    for (const [stage, { untilMs }] of this.#waits) {
      if (now - untilMs > RETENTION_MS) {
        this.remove(stage);
      }
    }
  }

  /** Drops all waits, at a change of the owner. */
  clear(): void {
    this.#waits.clear();
    this.#byRack.clear();
  }

  #removeFromRack({ stage, rack }: RackWait): void {
    const stages = this.#byRack.get(rack);
    stages?.delete(stage);
    if (stages?.size === 0) {
      this.#byRack.delete(rack);
    }
  }
}
