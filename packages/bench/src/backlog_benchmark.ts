import { measureEncodings } from "../../../platform/encoding_trial.ts";
import {
  Benchmark,
  type BenchmarkOptions,
  registerBenchmark,
} from "./benchmark.ts";
import { runBurstTrial } from "./backlog/burst_trial.ts";
import { runPassTrial } from "./backlog/pass_trial.ts";
import type { Metric } from "./metric.ts";

const STAGES = [100, 1_000, 10_000];
const WORKERS = [34, 350, 1_000];

/** Cost of the owner's event loop while much work waits. */
export class BacklogBenchmark extends Benchmark {
  override readonly name = "backlog";

  override run({ seed }: BenchmarkOptions): Metric[] {
    return [
      ...measureBurst(seed),
      ...measureEncodings().map(({ name, microseconds }) => ({
        name: `encoding.${name}`,
        value: microseconds,
        unit: "us",
      })),
      ...STAGES.flatMap((stages) =>
        WORKERS.flatMap((workers) => measurePass({ seed, stages, workers }))
      ),
    ];
  }
}

function measureBurst(seed: number): Metric[] {
  const { byKind, bySecond, effects, ...result } = runBurstTrial(seed);
  const metrics: Metric[] = [
    { name: "burst.history", value: result.history, unit: "hash" },
    { name: "burst.starts", value: result.starts, unit: "tasks" },
    { name: "burst.accepted", value: result.accepted, unit: "jobs" },
  ];
  const kinds = [...byKind].sort(([, a], [, b]) => b.totalMs - a.totalMs);
  for (const [kind, { events, totalMs, longestMs }] of kinds) {
    const name = `burst.${kind}`;
    metrics.push(
      { name: `${name}.events`, value: events, unit: "events" },
      { name: `${name}.total`, value: totalMs, unit: "ms" },
      { name: `${name}.longest`, value: longestMs, unit: "ms" },
    );
  }
  bySecond.forEach(({ totalMs, longestMs }, second) =>
    metrics.push(
      { name: `burst.second-${second}.total`, value: totalMs, unit: "ms" },
      { name: `burst.second-${second}.longest`, value: longestMs, unit: "ms" },
    )
  );
  const sum = bySecond.reduce((all, { totalMs }) => all + totalMs, 0);
  metrics.push({ name: "burst.total", value: sum, unit: "ms" });
  for (const [kind, value] of effects) {
    metrics.push({ name: `burst.effects.${kind}`, value, unit: "effects" });
  }
  return metrics;
}

function measurePass(
  options: Parameters<typeof runPassTrial>[0],
): Metric[] {
  const { waiting, passMs, passAfterRescanMs } = runPassTrial(options);
  const name = `pass.${options.stages}-stages.${options.workers}-workers`;
  return [
    { name: `${name}.waiting`, value: waiting, unit: "stages" },
    { name: `${name}.median`, value: passMs, unit: "ms" },
    {
      name: `${name}.after-rescan.median`,
      value: passAfterRescanMs,
      unit: "ms",
    },
  ];
}

registerBenchmark(new BacklogBenchmark());
