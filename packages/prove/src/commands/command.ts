/** What a run of the model may do. */
export enum CommandKind {
  Submit = "submit",
  SubmitOnce = "submit-non-idempotent",
  Repeat = "repeat-through-other-entry",
  CancelWave = "cancel-wave",
  StatusWave = "status-wave",
  ForeignCalls = "foreign-calls",
  GrantKey = "grant-key",
  WithdrawKey = "withdraw-key",
  RacingEdits = "racing-edits",
  Drain = "drain",
  Return = "return",
  LowerCeiling = "lower-ceiling",
  RaiseCeiling = "raise-ceiling",
  RemoveInstance = "remove-instance",
  TargetLeaves = "target-leaves",
  Kill = "kill",
  Pause = "pause",
  Resume = "resume",
  Replace = "replace",
  PlannedStop = "planned-stop",
  TableSlow = "table-slow",
  TableDown = "table-down",
  TableAnswersLost = "table-answers-lost",
  TableLateWrites = "table-late-writes",
  TableHeals = "table-heals",
  MessagesLate = "messages-late",
  MessagesDoubled = "messages-doubled",
  MessagesLost = "messages-lost",
  MessagesHeal = "messages-heal",
  Silence = "connection-silent",
  StoreSilence = "platform-connection-silent",
  WorkerFails = "worker-fails-everything",
  WorkerLies = "worker-lies",
  WorkerRestarts = "worker-restarts",
  WorkerHeals = "worker-heals",
  TwoFaults = "two-faults",
}

/** One command; the numbers choose among what there is. */
export interface Command {
  readonly kind: CommandKind;
  /** Time before the command, in milliseconds. */
  readonly gapMs: number;
  readonly pick: number;
  readonly other: number;
  /** How long, in milliseconds, where that is of matter. */
  readonly forMs: number;
}
