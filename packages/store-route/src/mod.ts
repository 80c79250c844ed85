/**
 * Calls to the store: direct, or through a peer while direct calls fail.
 *
 * @module
 */
export { callStore } from "./calls.ts";
export * from "./route_plugin.ts";
export * from "./route_state.ts";
