/**
 * Tests of failures on real processes: kills, pauses, outages and silent links
 * under load, and the verdict on what callers were told.
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
