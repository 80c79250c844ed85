import type { Notice } from "./notice.ts";
import {
  type DepartingWork,
  DepartureAction,
  type DeparturePlan,
  planDeparture,
} from "./plan.ts";

/** Decides what happens to the work on a worker that leaves. */
export abstract class DeparturePolicy {
  abstract readonly name: string;

  abstract plan(work: DepartingWork): DeparturePlan;
}

/** Lets all work run on until its worker is gone. */
export class LeaveAlone extends DeparturePolicy {
  override readonly name = "leave-alone";

  override plan({ units, room }: DepartingWork): DeparturePlan {
    return {
      decisions: units.map((unit) => ({ unit, action: DepartureAction.RunOn })),
      room,
    };
  }
}

/** Moves work that can't end in time, by {@link planDeparture}. */
export class MoveWork extends DeparturePolicy {
  override readonly name = "move-work";

  override plan(work: DepartingWork): DeparturePlan {
    return planDeparture(work);
  }
}

const LEAVE_ALONE = new LeaveAlone();
const MOVE_WORK = new MoveWork();

/**
 * Returns the policy for a worker. Without a notice, or with that of another
 * process than the one that replies, nothing is known of its departure.
 */
export function policyFor(
  notice: Notice | undefined,
  incarnation: number,
): DeparturePolicy {
  const isOther = notice !== undefined && notice.incarnation !== 0 &&
    incarnation !== 0 && notice.incarnation !== incarnation;
  return notice === undefined || isOther ? LEAVE_ALONE : MOVE_WORK;
}
