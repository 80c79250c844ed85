/**
 * Tests of failures on real processes: kills, pauses, outages and links that
 * drop traffic, all under load. Each compares the results that callers received
 * with the runs of the workers.
 *
 * @module
 */
export * from "./caller.ts";
export * from "./entry_probe.ts";
export * from "./fleet.ts";
export * from "./load.ts";
export * from "./run_trial.ts";
export * from "./trial.ts";
export * from "./verdict.ts";
