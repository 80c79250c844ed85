export * from "./scheduler_plugin.ts";
export * from "./settings.ts";
