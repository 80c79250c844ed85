export * from "./recorder_plugin.ts";
export * from "./series_record.ts";
export * from "./tally.ts";
export * from "./wait_counts.ts";
