export * from "./oracle.ts";
export * from "./outage_trial.ts";
export * from "./point.ts";
export * from "./prover.ts";
export * from "./scenario.ts";
