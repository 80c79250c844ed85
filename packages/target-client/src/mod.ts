export * from "./http_target_client.ts";
export * from "./message_schemas.ts";
export * from "./target_client.ts";
export * from "./target_performer.ts";
