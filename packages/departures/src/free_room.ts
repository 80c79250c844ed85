import {
  fitsWithin,
  type Resources,
  subtractResources,
} from "@mustardweir/model";

/** Free resources of a worker that takes tasks. */
export interface WorkerRoom {
  readonly free: Resources;
  readonly labels: readonly string[];
}

/** What a task needs on the worker that it moves to. */
export interface RoomNeed {
  readonly size: Resources;
  /** Label that the worker must have; empty for any worker. */
  readonly requiredLabel: string;
}

/**
 * The room for tasks on workers that stay. Immutable; it is listed when it is
 * first asked for, since most departing tasks end in time and need none.
 */
export class FreeRoom {
  readonly #list: () => readonly WorkerRoom[];
  readonly #promised: readonly RoomNeed[];
  #listed: readonly WorkerRoom[] | undefined;

  /** What was promised to other tasks counts as taken where it fits. */
  constructor(
    list: () => readonly WorkerRoom[],
    promised: readonly RoomNeed[] = [],
  ) {
    this.#list = list;
    this.#promised = promised;
  }

  /** Returns the room that is left after all needs; undefined if one fails. */
  without(needs: readonly RoomNeed[]): FreeRoom | undefined {
    const left = [...this.#rooms];
    return needs.every((need) => take(left, need))
      ? new FreeRoom(() => left)
      : undefined;
  }

  get #rooms(): readonly WorkerRoom[] {
    if (this.#listed === undefined) {
      const left = [...this.#list()];
      this.#promised.forEach((need) => take(left, need));
      this.#listed = left;
    }
    return this.#listed;
  }
}

/** Takes the room from the first worker that has it; false if none has. */
function take(
  rooms: WorkerRoom[],
  { size, requiredLabel }: RoomNeed,
): boolean {
  const index = rooms.findIndex(({ free, labels }) =>
    fitsWithin(size, free) &&
    (requiredLabel === "" || labels.includes(requiredLabel))
  );
  if (index < 0) {
    return false;
  }
  const { free, labels } = rooms[index]!;
  rooms[index] = { free: subtractResources(free, size), labels };
  return true;
}
