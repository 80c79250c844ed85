/**
 * A node's copy of the system's records, the desired state and the workers'
 * registrations, kept up to date from the platform's store.
 *
 * @module
 */
export { applyCancel, applyChange, applyJob, applyProgress } from "./apply.ts";
export * from "./record_keys.ts";
export * from "./replica.ts";
export * from "./replica_plugin.ts";
