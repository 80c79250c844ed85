/**
 * Domain types shared by all packages: resources, jobs, the fleet, the
 * configuration and refusals, with the schemas that validate them.
 *
 * @module
 */
export * from "./configuration.ts";
export * from "./fleet.ts";
export * from "./job.ts";
export * from "./refusal.ts";
export * from "./resources.ts";
export * from "./desired_state.ts";
export * from "./staged_job.ts";
export * from "./progress_parts.ts";
export * from "./record_schemas.ts";
