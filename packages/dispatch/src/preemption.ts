import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  fitsWithin,
  subtractResources,
} from "@mustardweir/model";
import { count, logChange } from "@mustardweir/protocol";
import { markChanged } from "@mustardweir/sessions";
import {
  reservedSize,
  type StageRun,
  taskName,
  type TaskRun,
} from "./dispatch_state.ts";
import {
  type Candidate,
  fitsAfterStopping,
  hasRequiredLabel,
  isHeld,
} from "./candidates.ts";
import { stopTask } from "./progress.ts";
import { ObjectiveStatus } from "./turn_order.ts";

/** Returns whether other tasks may be preempted for the stage. */
export function mayPreempt(
  stage: StageRun,
  status: ObjectiveStatus,
): boolean {
  const { gang, maxPerWorker } = stage.spec;
  return stage.job.record.queue.priority === 0 && !gang &&
    maxPerWorker === 0 && status === ObjectiveStatus.InTime;
}

/**
 * Returns whether a task of the stage would fit after preempting the victims.
 */
export function fitsAfterPreemption(
  candidate: Candidate,
  stage: StageRun,
): boolean {
  return !isHeld(candidate) && hasRequiredLabel(candidate, stage) &&
    fitsAfterStopping(candidate, reservedSize(stage));
}

/**
 * Stops tasks of less urgent queues that can resume from a checkpoint, until
 * the resources being freed suffice for `missing` tasks of the stage.
 */
export function preemptFor(
  update: Update,
  { stage, missing, candidates }: {
    readonly stage: StageRun;
    readonly missing: number;
    readonly candidates: readonly Candidate[];
  },
): void {
  let remaining = missing;
  for (const candidate of candidates) {
    remaining -= reserveExpected(update, candidate, { stage, most: remaining });
  }
  for (const candidate of candidates) {
    while (remaining > 0 && fitsAfterPreemption(candidate, stage)) {
      const stopped = stopVictims(update, candidate, stage);
      update.emit(count("preemptions", stopped.length));
      update.emit(logChange("Tasks stopped for urgent work", {
        stage: stage.name,
        worker: candidate.session.info.id,
        stopped: stopped.map(taskName).join(" "),
      }));
      remaining -= reserveExpected(update, candidate, {
        stage,
        most: remaining,
      });
    }
  }
}

/**
 * Reserves resources that are being freed for up to `most` tasks of the stage;
 * returns the number of tasks.
 */
function reserveExpected(
  update: Update,
  candidate: Candidate,
  { stage, most }: { readonly stage: StageRun; readonly most: number },
): number {
  const size = reservedSize(stage);
  let tasks = 0;
  while (
    tasks < most && !isHeld(candidate) &&
    hasRequiredLabel(candidate, stage) &&
    fitsWithin(size, candidate.expected)
  ) {
    candidate.expected = subtractResources(candidate.expected, size);
    tasks++;
  }
  if (tasks > 0) {
    // The next pass counts what is being freed anew.
    markChanged(update, candidate.session.info.id);
  }
  return tasks;
}

function stopVictims(
  update: Update,
  candidate: Candidate,
  stage: StageRun,
): TaskRun[] {
  const stopped: TaskRun[] = [];
  while (!fitsWithin(reservedSize(stage), candidate.expected)) {
    const victim = candidate.victims.shift();
    if (victim === undefined) {
      break;
    }
    victim.preemptions++;
    stopTask(update, victim);
    candidate.expected = addResources(
      candidate.expected,
      reservedSize(victim.stage),
    );
    stopped.push(victim);
  }
  return stopped;
}
