/**
 * A stand-in for the platform, used by tests and the demo: the transactional
 * table, the object store and the instance list, with faults that can be
 * injected. No product package imports it.
 *
 * @module
 */
export * from "./call.ts";
export * from "./faults.ts";
export * from "./lagging_list.ts";
export * from "./platform.ts";
export * from "./server.ts";
export * from "./service.ts";
export * from "./transactional_table.ts";
