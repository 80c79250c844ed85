import { invariant, type Undo } from "@mustardweir/kernel";
import type { Metric } from "./metric.ts";

/** Options of a benchmark's run. */
export interface BenchmarkOptions {
  /** Seed of the workload. */
  readonly seed: number;
}

/** Runs code under a seeded workload and measures it. */
export abstract class Benchmark {
  abstract readonly name: string;

  /** Returns the metrics; a promise if real processes are measured. */
  abstract run(options: BenchmarkOptions): Metric[] | Promise<Metric[]>;
}

const benchmarks = new Map<string, Benchmark>();

/**
 * Registers a benchmark; called at the top level of its module. Fails if the
 * name is already registered.
 *
 * @example
 * ```ts
 * registerBenchmark(new SharesBenchmark());
 * ```
 */
export function registerBenchmark(benchmark: Benchmark): Undo {
  const { name } = benchmark;
  invariant(!benchmarks.has(name), `benchmark ${name} is registered twice`);
  benchmarks.set(name, benchmark);
  return () => {
    benchmarks.delete(name);
  };
}

/**
 * Returns the names of all benchmarks, in order of registration.
 *
 * @example
 * ```ts
 * benchmarkNames(); // ["placement", "shares", ...]
 * ```
 */
export function benchmarkNames(): string[] {
  return [...benchmarks.keys()];
}

/**
 * Returns the benchmark of that name, or undefined if there is none.
 *
 * @example
 * ```ts
 * const metrics = await findBenchmark("placement")?.run({ seed: 1 });
 * ```
 */
export function findBenchmark(name: string): Benchmark | undefined {
  return benchmarks.get(name);
}
