import type { Update } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import {
  FAULT_DETECTOR,
  InstanceVerdict,
  TaskOutcome,
} from "@mustardweir/quarantine";
import type { SliceTask } from "./slice_state.ts";

/** Reports the outcome of a task to the fault detector. */
export function recordOutcome(
  update: Update,
  { task, worker }: SliceTask,
  reason: EndReason,
): void {
  const outcome = outcomeOf(reason);
  if (outcome !== undefined) {
    const detector = update.service(FAULT_DETECTOR);
    detector.observe(worker.instanceId, outcome, task.team, update.now);
  }
}

/** Whether the instance may receive work; false while it is quarantined. */
export function mayReceiveWork(update: Update, instanceId: string): boolean {
  const detector = update.service(FAULT_DETECTOR);
  return detector.verdict(instanceId, update.now) !==
    InstanceVerdict.Quarantined;
}

/** Reports a start to the fault detector if the instance is being probed. */
export function recordProbeStart(update: Update, instanceId: string): void {
  const detector = update.service(FAULT_DETECTOR);
  if (detector.verdict(instanceId, update.now) === InstanceVerdict.Probing) {
    detector.probeStarted(instanceId, update.now);
  }
}

/**
 * Returns the outcome that an end counts as; undefined for ends that are no
 * evidence about the instance.
 */
function outcomeOf(reason: EndReason): TaskOutcome | undefined {
  switch (reason) {
    case EndReason.Completed:
      return TaskOutcome.Ok;
    case EndReason.Failed:
      return TaskOutcome.Failed;
    default:
      return undefined;
  }
}
