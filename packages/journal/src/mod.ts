/**
 * Makes the jobs of homes durable by group commit, and reads them again after
 * a change of owner.
 *
 * @module
 */
export * from "./commands.ts";
export * from "./journal_plugin.ts";
export * from "./records.ts";
