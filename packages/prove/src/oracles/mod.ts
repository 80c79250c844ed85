import type { Oracle } from "../oracle.ts";
import {
  KeyWithdrawalOracle,
  OwnAnswerOracle,
  TeamKeyOracle,
  TrueRefusalOracle,
} from "./answers.ts";
import { ConfigurationInForceOracle, GracefulStopOracle } from "./operating.ts";
import {
  AtMostOnceOracle,
  InstanceCapacityOracle,
  LeavingTargetOracle,
  SingleRunOracle,
  TeamCeilingOracle,
  ZoneDrainOracle,
} from "./running.ts";

/** The oracles, one for each point. */
export const ORACLES: readonly Oracle[] = [
  new InstanceCapacityOracle(),
  new SingleRunOracle(),
  new TeamKeyOracle(),
  new KeyWithdrawalOracle(),
  new TeamCeilingOracle(),
  new ZoneDrainOracle(),
  new OwnAnswerOracle(),
  new TrueRefusalOracle(),
  new AtMostOnceOracle(),
  new LeavingTargetOracle(),
  new GracefulStopOracle(),
  new ConfigurationInForceOracle(),
];
