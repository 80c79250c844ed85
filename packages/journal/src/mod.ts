export * from "./commands.ts";
export * from "./journal_plugin.ts";
export * from "./records.ts";
