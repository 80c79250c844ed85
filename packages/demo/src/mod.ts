/**
 * The demonstration: starts the stand-ins and the system's processes on this
 * machine, submits a day's mix of jobs and audits the task runs.
 *
 * @module
 */
export * from "./api.ts";
export * from "./audit.ts";
export * from "./child.ts";
export * from "./cluster.ts";
export * from "./fleet_file.ts";
export * from "./launcher.ts";
export * from "./operator.ts";
export * from "./platform_control.ts";
export * from "./relay.ts";
export * from "./runs.ts";
export * from "./submitter.ts";
export * from "./workload.ts";
