import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  count,
  gauge,
  GAUGE_INTERVAL_MS,
  logChange,
} from "@mustardweir/protocol";
import { REPLICA, SUMMARY_WANTED } from "@mustardweir/replica";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import {
  CallerEstimator,
  LearnedEstimator,
  RUN_ESTIMATOR,
} from "./run_estimator.ts";
import { judgeRun, RunVerdict, TASK_RAN, type TaskRan } from "./run_sample.ts";
import { RUN_TIMES, RunTimes } from "./run_times.ts";
import { decodeSnapshot, encodeSnapshot } from "./snapshot.ts";

/** Number of queues whose factors are shown at a time. */
const SHOWN_QUEUES = 4;
/**
 * Most queues whose factors a process ever shows: a gauge once set stays among
 * the metrics.
 */
const MAX_GAUGES = 16;

/** Learns the run times of the queues while this node owns the domain. */
export class RunTimesPlugin extends Plugin {
  override readonly name = "run-times";
  /** Queues with a gauge. */
  readonly #shown = new Set<string>();

  override register(kernel: Kernel): Undo {
    const { High, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(RUN_TIMES, new RunTimes()),
      kernel.registerService(
        RUN_ESTIMATOR,
        new LearnedEstimator(new CallerEstimator()),
      ),
      kernel.registerCommand(
        TASK_RAN,
        (run, update) => handleTaskRan(update, run),
        Normal,
      ),
      // Before the jobs are ranked and the first summary replaces the former
      // owner's.
      kernel.registerCommand(
        TENURE_GAINED,
        (_, update) => takeOver(update),
        High,
      ),
      kernel.registerCommand(
        TENURE_LOST,
        (_, update) => update.write(RUN_TIMES).clear(),
        Normal,
      ),
      kernel.registerCommand(
        SUMMARY_WANTED,
        (draft, update) => {
          const runTimes = update.read(RUN_TIMES);
          draft.runTimes = encodeSnapshot(runTimes);
          draft.runFactors = runTimes.listFactors();
        },
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          update.write(RUN_TIMES).expire(update.now);
          this.#emitGauges(update);
        },
      }),
    );
  }

  /** Shows the queues whose factors differ most, and those shown before. */
  #emitGauges(update: Update): void {
    const runTimes = update.read(RUN_TIMES);
    for (const queue of runTimes.namesByDeviation().slice(0, SHOWN_QUEUES)) {
      if (this.#shown.size < MAX_GAUGES) {
        this.#shown.add(queue);
      }
    }
    for (const queue of this.#shown) {
      const factor = runTimes.factorsOf(queue)?.mean ?? 1;
      update.emit(gauge(`run-time-factor-${queue}`, round(factor)));
    }
  }
}

function handleTaskRan(update: Update, run: TaskRan): void {
  const verdict = judgeRun(run);
  update.emit(count(`run-times-${verdict}`));
  if (verdict !== RunVerdict.Counted) {
    return;
  }
  const change = update.write(RUN_TIMES).record(run, update.now);
  if (change !== undefined) {
    const { queue, factor, former, samples } = change;
    update.emit(logChange("Run times of a queue have changed", {
      queue,
      factor: round(factor),
      former: round(former),
      samples,
    }));
  }
}

/** Takes over what the former owner has published. */
function takeOver(update: Update): void {
  const runTimes = update.write(RUN_TIMES);
  runTimes.clear();
  const snapshot = update.read(REPLICA).summary?.runTimes;
  if (snapshot === undefined) {
    return;
  }
  const { queues, unreadable } = decodeSnapshot(snapshot);
  // The queues that differ most come first; the last one merged is kept longest.
  for (const [queue, counts] of [...queues].reverse()) {
    runTimes.merge(queue, counts, update.now);
  }
  update.emit(logChange("Run times taken over", {
    queues: queues.size,
    unreadable,
  }));
}

function round(factor: number): number {
  return Math.round(factor * 100) / 100;
}

registerPlugin({
  name: "run-times",
  roles: [Role.Combined],
  create: () => new RunTimesPlugin(),
});
