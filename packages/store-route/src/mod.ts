/**
 * The way to the store: directly, or through a peer while the store turns
 * this node away.
 *
 * @module
 */
export { callStore } from "./calls.ts";
export * from "./route_plugin.ts";
export * from "./route_state.ts";
