/**
 * How long a task waits for room in its preferred rack, and a gang for room in
 * one rack.
 *
 * @module
 */
import "./locality_plugin.ts";

export * from "./locality.ts";
export { reportWaitChange } from "./locality_plugin.ts";
export * from "./placement_decision.ts";
export * from "./rack_outlook.ts";
export * from "./rack_waits.ts";
export * from "./remote_factors.ts";
export * from "./wait_policy.ts";
export * from "./wait_trust.ts";
