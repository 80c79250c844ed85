/**
 * Clients of the platform's table, object store and list of processes over
 * HTTP, and the performers that use them.
 *
 * @module
 */
export * from "./connection.ts";
export * from "./instance_list.ts";
export * from "./object_store.ts";
export * from "./performers.ts";
export * from "./table_store.ts";
