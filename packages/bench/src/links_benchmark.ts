import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Benchmark, registerBenchmark } from "./benchmark.ts";
import type { Metric } from "./metric.ts";

/** Cost of one sending method, as reported by the measuring process. */
interface SendingCost {
  readonly name: string;
  readonly rate: number;
  readonly bytes: number;
  readonly senderUs: number;
  readonly receiverUs: number;
}

const REPEATS = 3;
const SCRIPT = new URL("../../wire/src/link_bench.ts", import.meta.url);

/** Cost of a message between processes, by sending method. */
export class LinksBenchmark extends Benchmark {
  override readonly name = "links";

  override async run(): Promise<Metric[]> {
    const runs: SendingCost[][] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
      runs.push(await runScript());
    }
    return runs[0]!.flatMap(({ name }) =>
      createMetrics(name, runs.flat().filter((cost) => cost.name === name))
    );
  }
}

function runScript(): Promise<SendingCost[]> {
  const child = fork(fileURLToPath(SCRIPT), [], {
    execArgv: ["--import=tsx"],
    stdio: ["ignore", "ignore", "inherit", "ipc"],
  });
  return new Promise((resolve, reject) => {
    child.once("message", (costs) => resolve(costs as SendingCost[]));
    child.once("error", reject);
    child.once(
      "exit",
      () => reject(new Error("The process exited without reporting costs")),
    );
  });
}

function createMetrics(name: string, costs: readonly SendingCost[]): Metric[] {
  const prefix = name.replaceAll(/[^a-z0-9]+/g, "-");
  const createSpreadMetrics = (
    part: string,
    unit: string,
    value: (cost: SendingCost) => number,
  ): Metric[] => {
    const values = costs.map(value).sort((a, b) => a - b);
    const median = values[Math.floor(values.length / 2)]!;
    return [
      { name: `${prefix}.${part}`, value: median, unit },
      { name: `${prefix}.${part}.min`, value: values[0]!, unit },
      { name: `${prefix}.${part}.max`, value: values.at(-1)!, unit },
    ];
  };
  return [
    ...createSpreadMetrics("rate", "messages/s", ({ rate }) => rate),
    ...createSpreadMetrics("sender", "us", ({ senderUs }) => senderUs),
    ...createSpreadMetrics("receiver", "us", ({ receiverUs }) => receiverUs),
    { name: `${prefix}.bytes`, value: costs[0]!.bytes, unit: "B" },
  ];
}

registerBenchmark(new LinksBenchmark());
