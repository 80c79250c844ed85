export * from "./entitlement.ts";
export * from "./plugin.ts";
export * from "./preemption.ts";
export * from "./queue_order.ts";
