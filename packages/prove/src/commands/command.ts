/** Kinds of commands in a scenario. */
export enum CommandKind {
  Submit = "submit",
  SubmitNonIdempotent = "submit-non-idempotent",
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
  ConnectionSilent = "connection-silent",
  PlatformConnectionSilent = "platform-connection-silent",
  WorkerFailsEverything = "worker-fails-everything",
  WorkerLies = "worker-lies",
  WorkerRestarts = "worker-restarts",
  WorkerHeals = "worker-heals",
  TwoFaults = "two-faults",
}

/** One command; its numbers select among the existing objects. */
export interface Command {
  readonly kind: CommandKind;
  /** Delay before the command, in milliseconds. */
  readonly gapMs: number;
  /** Selects the main object, for example a node, team or zone. */
  readonly pick: number;
  /** Selects a second object, often the entry that is called. */
  readonly other: number;
  /** Duration in milliseconds, for kinds that have one. */
  readonly forMs: number;
}
