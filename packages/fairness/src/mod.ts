/**
 * Whose turn it is, what each team is entitled to, and whose tasks are
 * preempted for others.
 *
 * @module
 */
export * from "./entitlement.ts";
export * from "./plugin.ts";
export * from "./preemption.ts";
export * from "./preemption_policy.ts";
export * from "./queue_order.ts";
