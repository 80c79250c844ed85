/**
 * Benchmarks of scheduling decisions against baselines, and of the cost of
 * processes, links and the journal.
 *
 * @module
 */
export * from "./benchmark.ts";
export * from "./metric.ts";
export * from "./report.ts";
