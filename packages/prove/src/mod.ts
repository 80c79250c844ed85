/**
 * Stateful property tests: real kernels run random scenarios with injected
 * faults in virtual time, and oracles check that the points always hold.
 *
 * @module
 */
export * from "./oracle.ts";
export * from "./outage_trial.ts";
export * from "./point.ts";
export * from "./prover.ts";
export * from "./scenario.ts";
