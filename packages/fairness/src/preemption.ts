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

/** A running task as preemption sees it. */
export interface RunningTask {
  readonly taskId: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly size: Resources;
  /** Work done again after a stop, in milliseconds; a gang's of all tasks. */
  readonly lostMs: number;
}

/** An instance and what may be stopped there. */
export interface PreemptionPlace {
  readonly instanceId: string;
  readonly free: Resources;
  readonly tasks: readonly RunningTask[];
}

/** What a team has and what it is due. */
export interface TeamStanding {
  readonly team: string;
  readonly used: Resources;
  /** Its entitlement, as a dominant share from 0 to 1. */
  readonly due: number;
}

/** Who needs room, and what runs where it could be made. */
export interface PickVictimsOptions {
  /** The team that needs room, with the size of its ask. */
  readonly team: string;
  readonly size: Resources;
  /** Urgent work may take room from teams that have no more than is due. */
  readonly urgent?: boolean;
  readonly places: readonly PreemptionPlace[];
  /** By team. */
  readonly standings: ReadonlyMap<string, TeamStanding>;
  readonly total: Resources;
}

/** The tasks to stop on one instance so that the ask fits there. */
export interface Preemption {
  readonly instanceId: string;
  readonly victims: readonly RunningTask[];
}

interface RatedPreemption extends Preemption {
  /** Largest excess over its due of a team that loses a task. */
  readonly excess: number;
  readonly lostMs: number;
}

/**
 * Chooses running tasks to preempt, all on one instance: from the teams
 * furthest over their entitlement, then with the least work lost. Nothing is
 * taken that brings a team below its entitlement, except by urgent work from
 * batch work; services and gangs below their team's entitlement, urgent tasks
 * and tasks that may run only once are never chosen.
 *
 * @example
 * ```ts
 * const preemption = pickVictims({ team, size, places, standings, total });
 * preemption?.victims.forEach((task) => stop(task, StopMode.Preempt));
 * ```
 */
export function pickVictims(
  options: PickVictimsOptions,
): Preemption | undefined {
  if (!options.urgent && !isBelowDue(options)) {
    return undefined;
  }
  let best: RatedPreemption | undefined;
  for (const place of options.places) {
    const rated = pickOn(place, options);
    if (rated && (!best || isBetter(rated, best))) {
      best = rated;
    }
  }
  return best && { instanceId: best.instanceId, victims: best.victims };
}

/**
 * True when the team stays within its due with the ask granted.
 *
 * @example
 * ```ts
 * if (isBelowDue({ team, size, standings })) {
 *   preempt(update, slice);
 * }
 * ```
 */
export function isBelowDue(
  options: Omit<PickVictimsOptions, "places">,
): boolean {
  const standing = options.standings.get(options.team);
  if (!standing) {
    return false;
  }
  const used = addResources(standing.used, options.size);
  return dominantShare(used, options.total) <= standing.due;
}

function isBetter(a: RatedPreemption, b: RatedPreemption): boolean {
  return a.excess > b.excess || (a.excess === b.excess && a.lostMs < b.lostMs);
}

function pickOn(
  place: PreemptionPlace,
  options: PickVictimsOptions,
): RatedPreemption | undefined {
  const ledger = new ExcessLedger(options);
  const candidates = place.tasks
    .filter((task) => mayStop(task, options))
    .sort((a, b) =>
      ledger.excess(b.team) - ledger.excess(a.team) || a.lostMs - b.lostMs
    );
  const victims: RunningTask[] = [];
  let free = place.free;
  for (const task of candidates) {
    if (fitsWithin(options.size, free)) {
      break;
    }
    if (ledger.take(task)) {
      victims.push(task);
      free = addResources(free, task.size);
    }
  }
  if (victims.length === 0 || !fitsWithin(options.size, free)) {
    return undefined;
  }
  const needed = dropNeedless(victims, free, options.size);
  return {
    instanceId: place.instanceId,
    victims: needed,
    excess: Math.max(...needed.map((task) => ledger.excessBefore(task.team))),
    lostMs: needed.reduce((sum, task) => sum + task.lostMs, 0),
  };
}

/** Keeps the victims without which the ask would not fit. */
function dropNeedless(
  victims: readonly RunningTask[],
  free: Resources,
  size: Resources,
): RunningTask[] {
  let left = free;
  return victims.filter((task) => {
    const without = subtractResources(left, task.size);
    const needless = fitsWithin(size, without);
    left = needless ? without : left;
    return !needless;
  });
}

function mayStop(task: RunningTask, options: PickVictimsOptions): boolean {
  const ownUrgent = options.urgent === true;
  return task.idempotent && task.priority !== Priority.Urgent &&
    task.kind !== JobKind.Request &&
    (task.team !== options.team || ownUrgent);
}

/** What each team would still have over its due as tasks are taken. */
class ExcessLedger {
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

  /** Takes the task when its team's standing allows it. */
  take(task: RunningTask): boolean {
    const before = this.#taken.get(task.team) ?? NO_RESOURCES;
    const taken = addResources(before, task.size);
    const staysAbove = this.#excessWithout(task.team, taken) >= 0;
    const isForfeit = this.#options.urgent === true &&
      task.kind === JobKind.Batch;
    if (!staysAbove && !isForfeit) {
      return false;
    }
    this.#taken.set(task.team, taken);
    return true;
  }

  #excessWithout(team: string, taken: Resources): number {
    const standing = this.#options.standings.get(team);
    if (!standing) {
      return 0;
    }
    const used = subtractResources(standing.used, taken);
    return dominantShare(used, this.#options.total) - standing.due;
  }
}
