import { NO_RESOURCES, plainStage } from "@mustardweir/model";
import { DISPATCH_STATE, runPlacementPass } from "@mustardweir/dispatch";
import { DomainCluster } from "@mustardweir/prove/domain";
import { DESIRED_CHANGED } from "@mustardweir/replica";
import { desiredOf, keyOf, QUEUES, smallWorkers } from "./load.ts";

const NODES = 4;
const WARM_UP_MS = 6_000;
const FILL_MS = 3_000;
const SUBMIT_MS = 4_000;
const SETTLE_MS = 3_000;
const PASSES = 60;
const RUN_MS = 600_000;
/** Objective at which no job is turned away or too late, in milliseconds. */
const OBJECTIVE_MS = 10_000_000;

/** Number of workers and of stages that wait for them. */
export interface PassTrialOptions {
  readonly seed: number;
  readonly workers: number;
  readonly stages: number;
}

/** Times of single updates, in milliseconds. */
export interface PassResult {
  /** Number of stages that waited. */
  readonly waiting: number;
  /** Median of one pass without room. */
  readonly passMs: number;
  /** Median of one pass after all workers were marked as changed. */
  readonly passAfterRescanMs: number;
}

/** Measures placement passes on full workers with stages that wait. */
export function runPassTrial(
  { seed, workers, stages }: PassTrialOptions,
): PassResult {
  const queues = QUEUES.slice(0, 2).map(({ queue }) => ({
    ...queue,
    latencyObjectiveMs: OBJECTIVE_MS,
  }));
  const { pathPrefix } = queues[0]!;
  const cluster = new DomainCluster({
    seed,
    nodes: NODES,
    workerInfos: smallWorkers(workers),
    desired: desiredOf(queues),
  });
  const { clock } = cluster;
  clock.runUntil(WARM_UP_MS);
  const payload = JSON.stringify({ runMs: RUN_MS, failures: 0 });
  const fill = plainStage({
    tasks: workers,
    size: { ...NO_RESOURCES, cpuMillis: 15_000, memoryMb: 1_000 },
    estimateMs: RUN_MS,
    lasting: true,
  });
  cluster.submit(
    jobIdOf(0),
    { payload, stages: [fill] },
    cluster.owner!,
    queues[1]!.pathPrefix,
    keyOf(0),
  );
  clock.runUntil(clock.now + FILL_MS);
  const stage = QUEUES[0]!.stagesOf(0);
  for (let index = 1; index <= stages; index++) {
    clock.after(index * SUBMIT_MS / stages, () =>
      cluster.submit(
        jobIdOf(index),
        { payload, stages: stage },
        cluster.nodeIds[index % NODES]!,
        pathPrefix,
        keyOf(index),
      ));
  }
  clock.runUntil(clock.now + SUBMIT_MS + SETTLE_MS);
  const kernel = cluster.kernelOf(cluster.owner!);
  const { lastPassMs, waiting } = kernel.read(DISPATCH_STATE);
  const measure = (isRescan: boolean) => {
    const times: number[] = [];
    for (let pass = 0; pass < PASSES; pass++) {
      if (isRescan) {
        kernel.run(DESIRED_CHANGED, {}, lastPassMs);
      }
      kernel.update(lastPassMs, (update) => {
        update.write(DISPATCH_STATE).isDirty = true;
      });
      const startMs = performance.now();
      kernel.update(lastPassMs, runPlacementPass);
      times.push(performance.now() - startMs);
    }
    return median(times);
  };
  return {
    waiting: waiting.size,
    passMs: measure(false),
    passAfterRescanMs: measure(true),
  };
}

function jobIdOf(index: number): string {
  return index.toString(16).padStart(16, "0");
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1]!;
}
