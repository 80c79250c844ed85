/**
 * Expected run times of tasks, by queue: learned from the tasks that ended done,
 * with the caller's estimate as long as too little is known.
 *
 * @module
 */
import "./run_times_plugin.ts";

export * from "./expected_run.ts";
export * from "./run_estimator.ts";
export * from "./run_sample.ts";
export * from "./run_times.ts";
export * from "./run_times_plugin.ts";
