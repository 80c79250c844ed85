import type { StageRun } from "./dispatch_state.ts";

/** Precision of the times until which stages are set aside, in milliseconds. */
const SLOT_MS = 20;

/** Where a waiting stage stands in the order. */
interface Position {
  readonly rank: number;
  readonly team: string;
}

/**
 * The stages that wait for workers: by rank, then by team, and within a team by
 * the time at which their jobs were accepted. A stage that waits for something
 * else, such as a time or a permit query, is set aside until it is added again
 * or its time comes.
 */
export class WaitingStages {
  readonly #byRank = new Map<number, Map<string, StageRun[]>>();
  /** The stages in the order that prefer a rack, by its key and by rank. */
  readonly #byRack = new Map<string, Map<number, Set<StageRun>>>();
  /** Positions in the order in which the stages were last examined. */
  readonly #positions = new Map<StageRun, Position>();
  /** Slots of the stages that are set aside, and the stages of each slot. */
  readonly #setAside = new Map<StageRun, number>();
  readonly #slots = new Map<number, Set<StageRun>>();

  /** Number of waiting stages, including those that are set aside. */
  get size(): number {
    return this.#positions.size + this.#setAside.size;
  }

  /** Number of stages in the order. */
  get ordered(): number {
    return this.#positions.size;
  }

  /** The ranks with waiting stages, lowest first. */
  get ranks(): readonly number[] {
    return [...this.#byRank.keys()].sort((a, b) => a - b);
  }

  /** The teams with waiting stages of a rank. */
  teamsOf(rank: number): readonly string[] {
    return [...this.#byRank.get(rank)?.keys() ?? []];
  }

  /** The waiting stage of a team at an index; undefined past the last one. */
  at(position: Position, index: number): StageRun | undefined {
    return this.#byRank.get(position.rank)?.get(position.team)?.[index];
  }

  /** Returns whether the stage is in the order. */
  has(stage: StageRun): boolean {
    return this.#positions.has(stage);
  }

  /** Returns the stage that was examined longest ago. */
  get oldestExamined(): StageRun | undefined {
    return this.#positions.keys().next().value;
  }

  /** Returns the stages in the order with their ranks. */
  *inOrder(): Generator<{ readonly stage: StageRun; readonly rank: number }> {
    for (const [stage, { rank }] of this.#positions) {
      yield { stage, rank };
    }
  }

  /** Returns the stages in the order that prefer a rack, up to a rank. */
  *preferring(
    { pool, rack, rank }: {
      readonly pool: string;
      readonly rack: string;
      readonly rank: number;
    },
  ): Generator<StageRun> {
    for (const [known, stages] of this.#byRack.get(rackKey(pool, rack)) ?? []) {
      if (known <= rank) {
        yield* stages;
      }
    }
  }

  /** Puts the stage into the order, or moves it to another rank. */
  add(stage: StageRun, rank: number): void {
    const known = this.#positions.get(stage);
    if (known?.rank === rank) {
      return;
    }
    this.remove(stage);
    const { team } = stage.job.record;
    const byTeam = this.#byRank.get(rank) ?? new Map<string, StageRun[]>();
    this.#byRank.set(rank, byTeam);
    const stages = byTeam.get(team) ?? [];
    byTeam.set(team, stages);
    stages.splice(endOfEarlier(stages, stage), 0, stage);
    this.#positions.set(stage, { rank, team });
    this.#addToRack(stage, rank);
  }

  /** Marks the stage as the one that was examined last. */
  markExamined(stage: StageRun): void {
    const position = this.#positions.get(stage);
    if (position !== undefined) {
      this.#positions.delete(stage);
      this.#positions.set(stage, position);
    }
  }

  /**
   * Takes the stage out of the order until it is added again, at the latest at
   * `untilMs`.
   */
  setAside(stage: StageRun, untilMs: number): void {
    this.remove(stage);
    const slot = Math.ceil(untilMs / SLOT_MS);
    this.#setAside.set(stage, slot);
    const stages = this.#slots.get(slot) ?? new Set<StageRun>();
    stages.add(stage);
    this.#slots.set(slot, stages);
  }

  /** Returns the stages that were set aside until `now` or earlier. */
  due(now: number): readonly StageRun[] {
    const slotNow = Math.floor(now / SLOT_MS);
    return [...this.#slots].flatMap(([slot, stages]) =>
      slot <= slotNow ? [...stages] : []
    );
  }

  /** Removes a stage that has no waiting tasks any more. */
  remove(stage: StageRun): void {
    this.#removeFromSlot(stage);
    const position = this.#positions.get(stage);
    if (position === undefined) {
      return;
    }
    this.#positions.delete(stage);
    this.#removeFromRack(stage, position.rank);
    const byTeam = this.#byRank.get(position.rank)!;
    const stages = byTeam.get(position.team)!;
    stages.splice(indexOfStage(stages, stage), 1);
    if (stages.length === 0) {
      byTeam.delete(position.team);
    }
    if (byTeam.size === 0) {
      this.#byRank.delete(position.rank);
    }
  }

  /** Removes all stages, at the end of a tenure. */
  clear(): void {
    this.#byRank.clear();
    this.#byRack.clear();
    this.#positions.clear();
    this.#setAside.clear();
    this.#slots.clear();
  }

  #addToRack(stage: StageRun, rank: number): void {
    const { preferredRack } = stage.spec;
    if (preferredRack === "") {
      return;
    }
    const key = rackKey(stage.job.record.queue.pool, preferredRack);
    const byRank = this.#byRack.get(key) ?? new Map<number, Set<StageRun>>();
    this.#byRack.set(key, byRank);
    byRank.set(rank, (byRank.get(rank) ?? new Set()).add(stage));
  }

  #removeFromRack(stage: StageRun, rank: number): void {
    const { preferredRack } = stage.spec;
    if (preferredRack === "") {
      return;
    }
    const key = rackKey(stage.job.record.queue.pool, preferredRack);
    const byRank = this.#byRack.get(key)!;
    const stages = byRank.get(rank)!;
    stages.delete(stage);
    if (stages.size === 0) {
      byRank.delete(rank);
    }
    if (byRank.size === 0) {
      this.#byRack.delete(key);
    }
  }

  #removeFromSlot(stage: StageRun): void {
    const slot = this.#setAside.get(stage);
    if (slot === undefined) {
      return;
    }
    this.#setAside.delete(stage);
    const stages = this.#slots.get(slot)!;
    stages.delete(stage);
    if (stages.size === 0) {
      this.#slots.delete(slot);
    }
  }
}

function rackKey(pool: string, rack: string): string {
  return JSON.stringify([pool, rack]);
}

function acceptedMs({ job }: StageRun): number {
  return job.record.acceptedMs;
}

/** Returns the number of stages accepted at the time of `stage` or before. */
function endOfEarlier(stages: readonly StageRun[], stage: StageRun): number {
  return firstIndex(stages, (known) => acceptedMs(known) > acceptedMs(stage));
}

/** Returns the index of a stage that is in the list. */
function indexOfStage(stages: readonly StageRun[], stage: StageRun): number {
  const start = firstIndex(
    stages,
    (known) => acceptedMs(known) >= acceptedMs(stage),
  );
  return stages.indexOf(stage, start);
}

/** Returns the first index at which `isPast` holds in a sorted list. */
function firstIndex(
  stages: readonly StageRun[],
  isPast: (stage: StageRun) => boolean,
): number {
  let low = 0;
  let high = stages.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (isPast(stages[middle]!)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}
