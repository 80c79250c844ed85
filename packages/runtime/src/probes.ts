import type { Env, Hono } from "hono";
import type { Metrics } from "./metrics.ts";

const READY = "ready\n";
const NOT_READY = "not ready\n";
const SERVICE_UNAVAILABLE = 503;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** What the probes tell. */
export interface ProbeOptions {
  /** Whether the node may be sent work. */
  readonly isReady: () => boolean;
  /** Shown at `/metrics`; the path does not exist without. */
  readonly metrics?: Metrics;
}

/**
 * Adds `/healthz`, `/readyz` and `/metrics`. Health says that the process is
 * up, readiness that it may be sent work.
 *
 * @example
 * ```ts
 * addProbes(app, { isReady: () => true, metrics });
 * ```
 */
export function addProbes<AppEnv extends Env>(
  app: Hono<AppEnv>,
  { isReady, metrics }: ProbeOptions,
): void {
  app.get("/healthz", (c) => c.text("ok\n"));
  app.get(
    "/readyz",
    (c) => isReady() ? c.text(READY) : c.text(NOT_READY, SERVICE_UNAVAILABLE),
  );
  if (metrics !== undefined) {
    app.get(
      "/metrics",
      (c) => c.text(metrics.renderPrometheus() + renderProcess()),
    );
  }
}

/** What the process itself costs, under the customary names. */
function renderProcess(): string {
  const { user, system } = process.cpuUsage();
  const seconds = (user + system) / MICROSECONDS_PER_SECOND;
  return [
    "# TYPE process_cpu_seconds_total counter",
    `process_cpu_seconds_total ${seconds}`,
    "# TYPE process_resident_memory_bytes gauge",
    `process_resident_memory_bytes ${process.memoryUsage.rss()}`,
    "",
  ].join("\n");
}
