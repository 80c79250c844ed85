/**
 * Client of the workers: sends sync calls over HTTP, and the performer that
 * does so for the kernel.
 *
 * @module
 */
export * from "./http_target_client.ts";
export * from "./message_schemas.ts";
export * from "./target_client.ts";
export * from "./target_performer.ts";
