/** What must always hold, by the name that `--point` takes. */
export enum Point {
  InstanceCapacity = "instance-capacity",
  SingleRun = "single-run",
  TeamKey = "team-key",
  KeyWithdrawal = "key-withdrawal",
  TeamCeiling = "team-ceiling",
  ZoneDrain = "zone-drain",
  OwnAnswer = "own-answer",
  TrueRefusal = "true-refusal",
  AtMostOnce = "at-most-once",
  LeavingTarget = "leaving-target",
  GracefulStop = "graceful-stop",
  ConfigurationInForce = "configuration-in-force",
}

/** Bound of every point that speaks of seconds, in milliseconds. */
export const SECONDS_MS = 4_000;
