/**
 * Policies that choose the instance of a task, and the table of instances they
 * choose from.
 *
 * @module
 */
export * from "./baselines.ts";
export * from "./indexed_fit.ts";
export * from "./instance_table.ts";
export * from "./plugin.ts";
export * from "./policy.ts";
