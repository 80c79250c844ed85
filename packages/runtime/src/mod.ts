/**
 * Code shared by all processes: the event loop, settings, logs, metrics,
 * probes, TLS files and the process life cycle.
 *
 * @module
 */
export * from "./admin_listener.ts";
export * from "./body_buffer.ts";
export * from "./client_limits.ts";
export * from "./connection_guard.ts";
export * from "./connection_policy.ts";
export * from "./event_loop.ts";
export * from "./http_limits.ts";
export * from "./incarnation.ts";
export * from "./line_writer.ts";
export * from "./log_performer.ts";
export * from "./logger.ts";
export * from "./metrics.ts";
export * from "./metrics_performer.ts";
export * from "./node_identity.ts";
export * from "./performer.ts";
export * from "./probes.ts";
export * from "./process_host.ts";
export * from "./readiness.ts";
export * from "./reply_timeout.ts";
export * from "./run_node.ts";
export * from "./setting.ts";
export * from "./setting_schemas.ts";
export * from "./settings.ts";
export * from "./suspension.ts";
export * from "./tls_files.ts";
