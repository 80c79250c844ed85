/** What is decided for a waiting task with a rack; also the words of the logs. */
export enum DecisionReason {
  PlaceInRack = "place-in-rack",
  PlaceElsewhere = "place-elsewhere",
  WaitUntil = "wait-until",
}

/** Why a task doesn't wait for its rack. */
export enum ElsewhereCause {
  PolicyNeverWaits = "policy-never-waits",
  /** Neither the settings nor enough runs tell the remote factor. */
  FactorUnknown = "factor-unknown",
  /** A long-running task has no end by which a loss could be measured. */
  LongRunning = "long-running",
  /** No usable worker of the rack may run the task. */
  RackLost = "rack-lost",
  /** The rack has too little room for the gang even when it is empty. */
  RackTooSmall = "rack-too-small",
  /** The wait is expected to cost more than it gains. */
  WaitTooLong = "wait-too-long",
  /** More work prefers the rack than it can start while a wait pays off. */
  RackOversubscribed = "rack-oversubscribed",
  /** The wait might miss the objective. */
  RisksObjective = "risks-objective",
  /** The job is over its team's rate or expired, and others want the rack. */
  YieldsToOthers = "yields-to-others",
  /** The number of waits has reached its bound. */
  TooManyWaits = "too-many-waits",
  /** A worker of the rack has left, drains or is silent. */
  WorkerLost = "worker-lost",
  /** The wait has lasted longer than expected. */
  GaveUp = "gave-up",
}

/** Why a task waits for its rack. */
export enum WaitCause {
  RoomExpected = "room-expected",
  FixedTime = "fixed-time",
  ChancesLeft = "chances-left",
}

/** The decision for some tasks of a stage. */
export type PlacementDecision =
  | { readonly reason: DecisionReason.PlaceInRack; readonly tasks: number }
  | {
    readonly reason: DecisionReason.PlaceElsewhere;
    readonly tasks: number;
    readonly cause: ElsewhereCause;
  }
  | {
    readonly reason: DecisionReason.WaitUntil;
    readonly tasks: number;
    readonly cause: WaitCause;
    readonly rack: string;
    /** Time at which the wait is given up, in milliseconds. */
    readonly untilMs: number;
    /** Time until room was expected when the wait began, in milliseconds. */
    readonly expectedMs: number;
  };

/** Returns the number of tasks with a decision of the given reason. */
export function countTasks(
  decisions: readonly PlacementDecision[],
  reason: DecisionReason,
): number {
  return decisions.reduce(
    (sum, decision) => sum + (decision.reason === reason ? decision.tasks : 0),
    0,
  );
}
