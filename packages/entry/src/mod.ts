export * from "./caller_front.ts";
export * from "./encode.ts";
export * from "./entry_plugin.ts";
export * from "./openapi.ts";
export * from "./reply_schemas.ts";
export * from "./routes.ts";
export * from "./settings.ts";
export * from "./status_codes.ts";
