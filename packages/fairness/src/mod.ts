/**
 * Policies of the order in which teams are served, the entitlement of each team,
 * and the tasks that are preempted for others.
 *
 * @module
 */
export * from "./entitlement.ts";
export * from "./plugin.ts";
export * from "./preemption.ts";
export * from "./preemption_policy.ts";
export * from "./queue_order.ts";
