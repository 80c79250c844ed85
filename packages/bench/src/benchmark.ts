import { invariant, type Undo } from "@mustardweir/kernel";
import type { Metric } from "./metric.ts";

/** What a benchmark is run with. */
export interface BenchmarkOptions {
  /** Seed of the workload. */
  readonly seed: number;
}

/** Drives decision code with a seeded workload and measures it. */
export abstract class Benchmark {
  abstract readonly name: string;

  /** A promise where real processes are measured. */
  abstract run(options: BenchmarkOptions): Metric[] | Promise<Metric[]>;
}

const benchmarks = new Map<string, Benchmark>();

/**
 * Announces a benchmark; called at the top level of its module.
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
 * The names of all benchmarks, in order of registration.
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
 * The benchmark of that name, if there is one.
 *
 * @example
 * ```ts
 * const metrics = await findBenchmark("placement")?.run({ seed: 1 });
 * ```
 */
export function findBenchmark(name: string): Benchmark | undefined {
  return benchmarks.get(name);
}
