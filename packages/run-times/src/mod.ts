/**
 * Expected run times of tasks, by queue.
 *
 * @module
 */
export * from "./expected_run.ts";
