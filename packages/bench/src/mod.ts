export * from "./benchmark.ts";
export * from "./metric.ts";
export * from "./report.ts";
