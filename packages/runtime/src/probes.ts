import type { Env, Hono } from "hono";
import type { Metrics } from "./metrics.ts";

const READY = "ready\n";
const NOT_READY = "not ready\n";
const SERVICE_UNAVAILABLE = 503;
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Interval at which the metrics are rendered at most, in milliseconds. */
const RENDER_INTERVAL_MS = 1_000;

/** The state that the probes report. */
export interface ProbeOptions {
  /** Returns whether the node accepts work. */
  readonly isReady: () => boolean;
  /** Served at `/metrics`; without it the path is not found. */
  readonly metrics?: Metrics;
}

/**
 * Adds the liveness probe `/healthz`, the readiness probe `/readyz`, which
 * returns 503 while the node accepts no work, and `/metrics`.
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
    let rendered = "";
    let renderedMs = -Infinity;
    app.get("/metrics", (c) => {
      const now = performance.now();
      if (now - renderedMs >= RENDER_INTERVAL_MS) {
        renderedMs = now;
        rendered = metrics.renderPrometheus() + renderProcessMetrics();
      }
      return c.text(rendered);
    });
  }
}

/** Renders CPU time and memory under the usual Prometheus names. */
function renderProcessMetrics(): string {
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
