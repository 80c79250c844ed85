import type { FreeRoom, RoomNeed } from "./free_room.ts";

/**
 * Time from the end of an attempt until the owner has its listing, in
 * milliseconds: the worker replies to a renewal at once, which may first have to
 * wait for the record of an earlier end.
 */
export const LISTING_MARGIN_MS = 150;
/** Interval at which plans are made anew, in milliseconds. */
export const PLAN_INTERVAL_MS = 50;

/** What happens to work on a departing worker. */
export enum DepartureAction {
  /** It runs on and is expected to end in time. */
  Finish = "finish",
  /** It is stopped now and starts elsewhere. */
  Move = "move",
  /** It works on until the latest moment at which a stop saves its checkpoint. */
  Wait = "wait",
  /** It runs on: a stop isn't possible, isn't allowed or would gain nothing. */
  RunOn = "run-on",
}

/** A task or a whole gang that runs on a departing worker. */
export interface DepartingUnit {
  /** Name of the task, or of the gang's stage. */
  readonly name: string;
  /** Name of the stage, whose lasting tasks share a disruption budget. */
  readonly stage: string;
  /** Priority of its queue; 0 is the most urgent. */
  readonly priority: number;
  readonly isLasting: boolean;
  readonly isBestEffort: boolean;
  readonly checkpoints: boolean;
  /**
   * Whether each of its attempts is known to run: confirmed, on a reconciled
   * worker that replies, and without an order that got no reply.
   */
  readonly isConfirmed: boolean;
  /** Number of tasks that a stop takes away. */
  readonly tasks: number;
  /** Room that it needs on other workers. */
  readonly needs: readonly RoomNeed[];
  /**
   * Upper estimate of the time until it ends, in milliseconds; undefined if the
   * caller gave no estimate.
   */
  readonly leftMs: number | undefined;
  /** Time before which no worker of it leaves, in milliseconds. */
  readonly departsMs: number;
  /** Whether that time is known; otherwise a worker may leave at any time. */
  readonly isDated: boolean;
  /** Tasks of its stage that may still be taken away, if it is lasting. */
  readonly disruptionsLeft: number;
}

/** The work on a departing worker, and what bears on it. */
export interface DepartingWork {
  readonly now: number;
  /** Longest time that a stop takes, in milliseconds. */
  readonly stopMs: number;
  readonly units: readonly DepartingUnit[];
  readonly room: FreeRoom;
}

/** What happens to one unit. */
export interface DepartureDecision {
  readonly unit: DepartingUnit;
  readonly action: DepartureAction;
}

/** What happens to the work on a departing worker. */
export interface DeparturePlan {
  readonly decisions: readonly DepartureDecision[];
  /** Room that is left for other departing workers. */
  readonly room: FreeRoom;
}

/**
 * Decides what happens to each unit of work on a departing worker. Urgent work
 * gets room elsewhere first, best-effort work last.
 *
 * @example
 * ```ts
 * const { decisions } = planDeparture({ now, stopMs: 900, units, room });
 * ```
 */
export function planDeparture(
  { now, stopMs, units, room }: DepartingWork,
): DeparturePlan {
  const disruptionsLeft = new Map(
    units.map((unit) => [unit.stage, unit.disruptionsLeft]),
  );
  const decisions: DepartureDecision[] = [];
  let left = room;
  for (const unit of [...units].sort(compareUnits)) {
    const budget = unit.isLasting ? disruptionsLeft.get(unit.stage)! : Infinity;
    if (!unit.isConfirmed || unit.tasks > budget) {
      decisions.push({ unit, action: DepartureAction.RunOn });
      continue;
    }
    if (endsInTime(unit, now, stopMs)) {
      decisions.push({ unit, action: DepartureAction.Finish });
      continue;
    }
    const leftAfter = gainsByMove(unit, now)
      ? left.without(unit.needs)
      : undefined;
    const action = leftAfter === undefined
      ? withoutRoom(unit, now, stopMs)
      : DepartureAction.Move;
    if (action === DepartureAction.Move) {
      disruptionsLeft.set(unit.stage, budget - unit.tasks);
      left = leftAfter ?? left;
    }
    decisions.push({ unit, action });
  }
  return { decisions, room: left };
}

function compareUnits(a: DepartingUnit, b: DepartingUnit): number {
  return Number(a.isBestEffort) - Number(b.isBestEffort) ||
    a.priority - b.priority;
}

/**
 * Returns whether the unit ends before the departure, or no later than a stop
 * would end it and save nothing for sure.
 */
function endsInTime(
  unit: DepartingUnit,
  now: number,
  stopMs: number,
): boolean {
  const { leftMs, departsMs, isDated, isLasting, checkpoints } = unit;
  if (isLasting || leftMs === undefined) {
    return false;
  }
  const isBeforeDeparture = isDated &&
    now + leftMs + LISTING_MARGIN_MS <= departsMs;
  const isStopUnsure = !checkpoints || now > latestStopMs(unit, stopMs);
  return isBeforeDeparture || (isStopUnsure && leftMs <= stopMs);
}

/**
 * Returns whether the unit is better off on another worker that has room. Work
 * without a checkpoint starts over there, so it stays while the time that is
 * left to it or to its worker isn't known, also once the stated time is over:
 * it was a minimum.
 */
function gainsByMove(
  { checkpoints, isLasting, isDated, departsMs, leftMs }: DepartingUnit,
  now: number,
): boolean {
  const isTimeKnown = isDated && now < departsMs && leftMs !== undefined;
  return checkpoints || isLasting || isTimeKnown;
}

function withoutRoom(
  unit: DepartingUnit,
  now: number,
  stopMs: number,
): DepartureAction {
  if (!unit.checkpoints) {
    return DepartureAction.RunOn;
  }
  return now >= latestStopMs(unit, stopMs)
    ? DepartureAction.Move
    : DepartureAction.Wait;
}

/** Returns the latest moment at which a stop ends before the departure. */
function latestStopMs({ departsMs }: DepartingUnit, stopMs: number): number {
  return departsMs - stopMs - LISTING_MARGIN_MS - PLAN_INTERVAL_MS;
}
