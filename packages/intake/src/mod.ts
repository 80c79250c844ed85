/**
 * Accepts jobs at any node: routes, keys, records, and the answers about
 * them.
 *
 * @module
 */
export * from "./intake_plugin.ts";
export * from "./intake_state.ts";
