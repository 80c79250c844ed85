export * from "./cli_error.ts";
export * from "./config_file.ts";
export * from "./differences.ts";
export * from "./entry_client.ts";
export * from "./format.ts";
export * from "./program.ts";
export * from "./source_document.ts";
