/** The properties that must always hold, under their `--point` names. */
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

/**
 * Time after which a change must have taken effect everywhere, in
 * milliseconds; every point that allows for "seconds" uses it.
 */
export const EFFECT_LIMIT_MS = 4_000;
