/**
 * Client that sends sync calls to workers over HTTP, and the performer that
 * uses it for the kernel.
 *
 * @module
 */
export * from "./http_target_client.ts";
export * from "./message_schemas.ts";
export * from "./target_client.ts";
export * from "./target_performer.ts";
