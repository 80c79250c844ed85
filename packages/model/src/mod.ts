export * from "./configuration.ts";
export * from "./fleet.ts";
export * from "./job.ts";
export * from "./refusal.ts";
export * from "./resources.ts";
