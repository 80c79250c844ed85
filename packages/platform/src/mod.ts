export * from "./call.ts";
export * from "./faults.ts";
export * from "./lagging_list.ts";
export * from "./platform.ts";
export * from "./server.ts";
export * from "./service.ts";
export * from "./transactional_table.ts";
