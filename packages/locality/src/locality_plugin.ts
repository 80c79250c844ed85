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
  NODE_IDENTITY,
  observe,
} from "@mustardweir/protocol";
import { judgeRun, RunVerdict, TASK_RAN } from "@mustardweir/run-times";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import { LOCALITY, Locality, type WaitChange } from "./locality.ts";
import { DecisionReason } from "./placement_decision.ts";
import { WaitPolicyKind } from "./wait_policy.ts";

/**
 * The kind of policy in use. With more demand for a rack than it has room and a
 * remote factor of 3, waiting by the expected time completes jobs later than not
 * waiting (4.5 s instead of 4.0 s in trials), so it stays off until that is
 * solved.
 */
const POLICY_IN_USE = WaitPolicyKind.NeverWait;

/**
 * Most queues whose factors a process ever shows: a gauge once set stays among
 * the metrics.
 */
const MAX_GAUGES = 16;

/** Learns remote factors and keeps the waits while this node is the owner. */
export class LocalityPlugin extends Plugin {
  override readonly name = "locality";
  /** Queues with a gauge. */
  readonly #shown = new Set<string>();

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(LOCALITY, new Locality(POLICY_IN_USE)),
      kernel.registerCommand(
        TASK_RAN,
        (run, update) => {
          const verdict = judgeRun(run);
          if (
            verdict === RunVerdict.Counted || verdict === RunVerdict.Remote
          ) {
            update.write(LOCALITY).factors.record(run);
          }
        },
        Normal,
      ),
      kernel.registerCommand(
        TENURE_GAINED,
        (_, update) => {
          const { remoteFactor } = update.service(NODE_IDENTITY);
          update.write(LOCALITY).reset(remoteFactor);
        },
        CommandPriority.High,
      ),
      kernel.registerCommand(
        TENURE_LOST,
        (_, update) => update.write(LOCALITY).reset(),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: (update) => {
          update.write(LOCALITY).waits.expire(update.now);
          this.#emitGauges(update);
        },
      }),
    );
  }

  #emitGauges(update: Update): void {
    const locality = update.read(LOCALITY);
    update.emit(gauge("rack-waits-open", locality.waits.open));
    for (const queue of locality.factors.measured) {
      if (this.#shown.size < MAX_GAUGES) {
        this.#shown.add(queue);
      }
    }
    for (const queue of this.#shown) {
      const factor = locality.factors.factorOf(queue) ?? 1;
      update.emit(
        gauge(`remote-factor-${queue}`, Math.round(factor * 100) / 100),
      );
    }
  }
}

/** Counts and logs that a stage has begun or ended to wait. */
export function reportWaitChange(
  update: Update,
  { wait, ended, waitedMs }: WaitChange,
): void {
  const { stage, queue, rack, tasks, expectedMs } = wait;
  const fields = {
    stage,
    queue,
    rack,
    tasks,
    expectedMs: Math.round(expectedMs),
  };
  if (ended === undefined) {
    update.emit(count("rack-waits"));
    update.emit(logChange("Stage waits for its rack", {
      ...fields,
      reason: DecisionReason.WaitUntil,
      atMostMs: Math.round(wait.untilMs - wait.sinceMs),
    }));
    return;
  }
  const isFulfilled = ended === DecisionReason.PlaceInRack;
  const end = isFulfilled ? "fulfilled" : "given-up";
  update.emit(count(`rack-waits-${end}`));
  update.emit(observe("rack-wait-ms", waitedMs));
  update.emit(logChange("Stage no longer waits for its rack", {
    ...fields,
    reason: isFulfilled ? ended : DecisionReason.PlaceElsewhere,
    ...(isFulfilled ? {} : { cause: ended }),
    waitedMs: Math.round(waitedMs),
  }));
}

registerPlugin({
  name: "locality",
  roles: [Role.Combined],
  create: () => new LocalityPlugin(),
});
