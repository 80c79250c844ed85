/**
 * Stateful property tests: real kernels run random scenarios in virtual time,
 * with faults, and oracles check the points that must always hold.
 *
 * @module
 */
export * from "./oracle.ts";
export * from "./outage_trial.ts";
export * from "./point.ts";
export * from "./prover.ts";
export * from "./scenario.ts";
