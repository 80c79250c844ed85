import type { Update } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import {
  FAULT_DETECTOR,
  InstanceVerdict,
  TaskOutcome,
} from "@mustardweir/quarantine";
import type { SliceTask } from "./slice_state.ts";

/** Hands the detector what a task's end says of its instance. */
export function noteOutcome(
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

/** True while the instance may be given work. */
export function isTrusted(update: Update, instanceId: string): boolean {
  const detector = update.service(FAULT_DETECTOR);
  return detector.verdict(instanceId, update.now) !==
    InstanceVerdict.Quarantined;
}

/** Tells the detector of a start that serves as a probe. */
export function noteStart(update: Update, instanceId: string): void {
  const detector = update.service(FAULT_DETECTOR);
  if (detector.verdict(instanceId, update.now) === InstanceVerdict.Probing) {
    detector.probeStarted(instanceId, update.now);
  }
}

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
