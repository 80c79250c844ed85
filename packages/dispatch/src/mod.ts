/**
 * Runs jobs of stages: which task starts next, on which worker, and what
 * follows from each end.
 *
 * @module
 */
export * from "./dispatch_plugin.ts";
