import { availableParallelism } from "node:os";
import { Command } from "commander";
import "./placement_benchmark.ts";
import "./shares_benchmark.ts";
import "./quarantine_benchmark.ts";
import "./throughput_benchmark.ts";
import "./decisions_benchmark.ts";
import "./backlog_benchmark.ts";
import "./scaling_benchmark.ts";
import "./journal_benchmark.ts";
import "./configuration_benchmark.ts";
import "./links_benchmark.ts";
import "./idle_benchmark.ts";
import "./outage_benchmark.ts";
import {
  type Benchmark,
  benchmarkNames,
  type BenchmarkOptions,
  findBenchmark,
} from "./benchmark.ts";
import { fails, type Metric } from "./metric.ts";
import { formatJson, formatTable } from "./report.ts";

const DEFAULT_SEED = 20_261_126;

interface Flags {
  readonly json?: boolean;
  readonly seed: string;
}

const program = new Command("bench")
  .description("Measures scheduling decisions against baselines")
  .argument("[names...]", "benchmarks to run; all by default")
  .option("--json", "print one JSON object for each metric")
  .option("--seed <number>", "seed of the workloads", String(DEFAULT_SEED))
  .action(runBenchmarks);

async function runBenchmarks(
  names: readonly string[],
  flags: Flags,
): Promise<void> {
  const seed = Number(flags.seed);
  if (!Number.isSafeInteger(seed)) {
    program.error(`The seed must be an integer: ${flags.seed}`);
  }
  const chosen = names.length > 0 ? names : benchmarkNames();
  const cores = availableParallelism();
  if (!flags.json) {
    console.log(`${cores} cores, seed ${seed}`);
  }
  for (const benchmark of chosen.map(findBenchmarkOrExit)) {
    const metrics = await runOne(benchmark, { seed });
    printMetrics(metrics, flags.json === true, cores);
    if (metrics.some(fails)) {
      process.exitCode = 1;
    }
  }
}

function findBenchmarkOrExit(name: string): Benchmark {
  const known = benchmarkNames().join(", ");
  return findBenchmark(name) ??
    program.error(`Unknown benchmark ${name}; known benchmarks: ${known}`);
}

async function runOne(
  benchmark: Benchmark,
  options: BenchmarkOptions,
): Promise<Metric[]> {
  const metrics = await benchmark.run(options);
  return metrics.map((metric) => ({
    ...metric,
    name: `${benchmark.name}.${metric.name}`,
  }));
}

function printMetrics(
  metrics: readonly Metric[],
  json: boolean,
  cores: number,
): void {
  if (!json) {
    console.log(`\n${formatTable(metrics)}`);
    return;
  }
  for (const metric of metrics) {
    console.log(formatJson(metric, cores));
  }
}

await program.parseAsync();
