/**
 * Moves work off workers that have announced their departure.
 *
 * @module
 */
export * from "./departure_policy.ts";
export * from "./departures_plugin.ts";
