export * from "./baselines.ts";
export * from "./indexed_fit.ts";
export * from "./instance_table.ts";
export * from "./plugin.ts";
export * from "./policy.ts";
