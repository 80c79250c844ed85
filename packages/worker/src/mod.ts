/**
 * A stand-in for workers, used by tests and the demo: runs simulated tasks
 * under leases and replies to sync calls. No product package imports it.
 *
 * @module
 */
export * from "./commands.ts";
export * from "./hosted_worker.ts";
export * from "./lease_token.ts";
export * from "./settings.ts";
export * from "./task_model.ts";
export * from "./task_run.ts";
export * from "./worker_faults.ts";
export * from "./worker_listener.ts";
export * from "./worker_server.ts";
export * from "./worker_state.ts";
