import {
  addResources,
  dominantShare,
  fitsWithin,
  JobKind,
  NO_RESOURCES,
  Priority,
  type Resources,
  subtractResources,
} from "@mustardweir/model";

/** A running task that may be preempted. */
export interface PlacedTask {
  readonly taskId: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly size: Resources;
  /** Run time lost by a stop, in milliseconds; for a gang that of all members. */
  readonly lostMs: number;
}

/** An instance with its free room and running tasks. */
export interface PreemptionPlace {
  readonly instanceId: string;
  readonly free: Resources;
  readonly tasks: readonly PlacedTask[];
}

/** What a team uses and what it is entitled to. */
export interface TeamAllocation {
  readonly team: string;
  readonly used: Resources;
  /** Its entitlement as a dominant share, from 0 to 1. */
  readonly entitledShare: number;
}

/** The ask (request for room), and the places where room could be made. */
export interface PickVictimsOptions {
  /** The team that needs room. */
  readonly team: string;
  /** The size of its ask. */
  readonly size: Resources;
  /** Urgent asks may also take from teams within their entitlement. */
  readonly urgent?: boolean;
  readonly places: readonly PreemptionPlace[];
  /** Usage and entitlements by team. */
  readonly allocations: ReadonlyMap<string, TeamAllocation>;
  readonly total: Resources;
}

/** The tasks to stop on one instance so that the ask fits there. */
export interface Preemption {
  readonly instanceId: string;
  readonly victims: readonly PlacedTask[];
}

interface RatedPreemption extends Preemption {
  /** Largest excess of a team that loses a task over its entitlement. */
  readonly excess: number;
  readonly lostMs: number;
}

/**
 * Chooses running tasks to preempt, all on one instance: from the teams
 * furthest over their entitlement, then with the least work lost. No stop brings
 * a team below its entitlement, except that urgent asks may stop batch
 * tasks. Services and gangs of a team below its entitlement, urgent tasks, tasks
 * of kind Request and tasks that may run only once are never chosen.
 *
 * @example
 * ```ts
 * const preemption = pickVictims({ team, size, places, allocations, total });
 * preemption?.victims.forEach((task) => stop(task, StopMode.Preempt));
 * ```
 */
export function pickVictims(
  options: PickVictimsOptions,
): Preemption | undefined {
  if (!options.urgent && !isWithinEntitlement(options)) {
    return undefined;
  }
  let best: RatedPreemption | undefined;
  for (const place of options.places) {
    const rated = pickOnPlace(place, options);
    if (rated && (!best || isBetter(rated, best))) {
      best = rated;
    }
  }
  return best && { instanceId: best.instanceId, victims: best.victims };
}

/**
 * Whether the team stays within its entitlement if the ask is granted.
 *
 * @example
 * ```ts
 * if (isWithinEntitlement({ team, size, allocations, total })) {
 *   preempt(update, slice);
 * }
 * ```
 */
export function isWithinEntitlement(
  options: Omit<PickVictimsOptions, "places">,
): boolean {
  const allocation = options.allocations.get(options.team);
  if (!allocation) {
    return false;
  }
  const used = addResources(allocation.used, options.size);
  return dominantShare(used, options.total) <= allocation.entitledShare;
}

function isBetter(a: RatedPreemption, b: RatedPreemption): boolean {
  return a.excess > b.excess || (a.excess === b.excess && a.lostMs < b.lostMs);
}

function pickOnPlace(
  place: PreemptionPlace,
  options: PickVictimsOptions,
): RatedPreemption | undefined {
  const tracker = new ExcessTracker(options);
  const candidates = place.tasks
    .filter((task) => mayStop(task, options))
    .sort((a, b) =>
      tracker.excess(b.team) - tracker.excess(a.team) || a.lostMs - b.lostMs
    );
  const victims: PlacedTask[] = [];
  let free = place.free;
  for (const task of candidates) {
    if (fitsWithin(options.size, free)) {
      break;
    }
    if (tracker.take(task)) {
      victims.push(task);
      free = addResources(free, task.size);
    }
  }
  if (victims.length === 0 || !fitsWithin(options.size, free)) {
    return undefined;
  }
  const needed = dropUnneeded(victims, free, options.size);
  return {
    instanceId: place.instanceId,
    victims: needed,
    excess: Math.max(...needed.map((task) => tracker.excessBefore(task.team))),
    lostMs: needed.reduce((sum, task) => sum + task.lostMs, 0),
  };
}

/** Drops the victims that the ask does not need to fit. */
function dropUnneeded(
  victims: readonly PlacedTask[],
  free: Resources,
  size: Resources,
): PlacedTask[] {
  let left = free;
  return victims.filter((task) => {
    const without = subtractResources(left, task.size);
    const isUnneeded = fitsWithin(size, without);
    left = isUnneeded ? without : left;
    return !isUnneeded;
  });
}

function mayStop(task: PlacedTask, options: PickVictimsOptions): boolean {
  const ownUrgent = options.urgent === true;
  return task.idempotent && task.priority !== Priority.Urgent &&
    task.kind !== JobKind.Request &&
    (task.team !== options.team || ownUrgent);
}

/** Tracks each team's excess over its entitlement as victims are chosen. */
class ExcessTracker {
  readonly #options: PickVictimsOptions;
  readonly #taken = new Map<string, Resources>();

  constructor(options: PickVictimsOptions) {
    this.#options = options;
  }

  excess(team: string): number {
    return this.#excessWithout(team, this.#taken.get(team) ?? NO_RESOURCES);
  }

  excessBefore(team: string): number {
    return this.#excessWithout(team, NO_RESOURCES);
  }

  /** Chooses the task if its team may lose it; returns whether it did. */
  take(task: PlacedTask): boolean {
    const before = this.#taken.get(task.team) ?? NO_RESOURCES;
    const taken = addResources(before, task.size);
    const staysAbove = this.#excessWithout(task.team, taken) >= 0;
    const mayGoBelow = this.#options.urgent === true &&
      task.kind === JobKind.Batch;
    if (!staysAbove && !mayGoBelow) {
      return false;
    }
    this.#taken.set(task.team, taken);
    return true;
  }

  #excessWithout(team: string, taken: Resources): number {
    const allocation = this.#options.allocations.get(team);
    if (!allocation) {
      return 0;
    }
    const used = subtractResources(allocation.used, taken);
    return dominantShare(used, this.#options.total) - allocation.entitledShare;
  }
}
