/**
 * Types of the messages between processes and of a node's events and effects.
 * Other packages encode them.
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
