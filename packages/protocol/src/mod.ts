/**
 * Messages between processes, and the events and effects of a node, as types.
 * How they are encoded is left to other packages.
 *
 * @module
 */
export * from "./burn_messages.ts";
export * from "./caller_messages.ts";
export * from "./domain_messages.ts";
export * from "./effects.ts";
export * from "./events.ts";
export * from "./front_calls.ts";
export * from "./node_identity.ts";
export * from "./peer_messages.ts";
export * from "./platform_messages.ts";
export * from "./record_store.ts";
export * from "./reply.ts";
export * from "./target_messages.ts";
export * from "./tasks.ts";
export * from "./worker_orders.ts";
