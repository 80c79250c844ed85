/**
 * Accepts jobs on any node: matches queues, checks keys, records jobs and
 * answers queries about them.
 *
 * @module
 */
export * from "./intake_plugin.ts";
export * from "./intake_state.ts";
