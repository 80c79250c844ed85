/**
 * State, commands, services and plug-ins, and the update cycle that runs
 * commands on state. Independent of scheduling.
 *
 * @module
 */
export * from "./command.ts";
export * from "./effect.ts";
export * from "./invariant.ts";
export * from "./kernel.ts";
export * from "./keys.ts";
export * from "./plugin.ts";
export * from "./random.ts";
export * from "./registry.ts";
export * from "./update.ts";
