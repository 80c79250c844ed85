/**
 * The service-level burn report: records the waits and outcomes of jobs on
 * schedulers, merges the records on an entry node, and renders the report.
 *
 * @module
 */
export * from "./burn_rate.ts";
export * from "./collector_plugin.ts";
export * from "./coverage.ts";
export * from "./merge.ts";
export * from "./wait_histogram.ts";
export * from "./windows.ts";
