/**
 * The service-level burn report: records waits and ends on schedulers, merges
 * the records on an entry, and renders the report.
 *
 * @module
 */
export * from "./burn_rate.ts";
export * from "./collector_plugin.ts";
export * from "./coverage.ts";
export * from "./merge.ts";
export * from "./waits.ts";
export * from "./windows.ts";
