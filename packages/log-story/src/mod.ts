/**
 * Explains jobs from the log lines of all nodes: what happened to one job, and
 * how the total time of many jobs divides into parts.
 *
 * @module
 */
export * from "./breakdown.ts";
export * from "./log_lines.ts";
export * from "./job_summary.ts";
