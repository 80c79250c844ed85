import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  fitsWithin,
  subtractResources,
} from "@mustardweir/model";
import { count, logChange } from "@mustardweir/protocol";
import { bookedSize, type StageRun, taskName, type TaskRun } from "./book.ts";
import { type Candidate, suits } from "./candidates.ts";
import { stopTask } from "./progress.ts";
import { Standing } from "./turn_order.ts";

/** True when the stage may have other tasks stopped for it. */
export function mayPreempt(stage: StageRun, standing: Standing): boolean {
  const { gang, maxPerWorker } = stage.spec;
  return stage.job.record.queue.priority === 0 && !gang &&
    maxPerWorker === 0 && standing === Standing.InTime;
}

/** True when a task of the stage would fit if others were stopped for it. */
export function canMakeRoom(candidate: Candidate, stage: StageRun): boolean {
  const room = candidate.victims.reduce(
    (sum, victim) => addResources(sum, bookedSize(victim.stage)),
    candidate.expected,
  );
  return suits(candidate, stage) && fitsWithin(bookedSize(stage), room);
}

/**
 * Stops tasks of less urgent queues, that resume from a checkpoint, until the
 * room that is being freed suffices for `missing` tasks of the stage.
 */
export function makeRoom(
  update: Update,
  { stage, missing, candidates }: {
    readonly stage: StageRun;
    readonly missing: number;
    readonly candidates: readonly Candidate[];
  },
): void {
  let left = missing;
  for (const candidate of candidates) {
    left -= expectTasks(candidate, stage, left);
  }
  for (const candidate of candidates) {
    while (left > 0 && canMakeRoom(candidate, stage)) {
      const stopped = stopVictims(update, candidate, stage);
      update.emit(count("preemptions", stopped.length));
      update.emit(logChange("Tasks stopped for urgent work", {
        stage: stage.name,
        worker: candidate.session.info.id,
        stopped: stopped.map(taskName).join(" "),
      }));
      left -= expectTasks(candidate, stage, left);
    }
  }
}

/** Sets expected room aside for tasks of the stage; returns for how many. */
function expectTasks(
  candidate: Candidate,
  stage: StageRun,
  most: number,
): number {
  const size = bookedSize(stage);
  let tasks = 0;
  while (
    tasks < most && suits(candidate, stage) &&
    fitsWithin(size, candidate.expected)
  ) {
    candidate.expected = subtractResources(candidate.expected, size);
    tasks++;
  }
  return tasks;
}

function stopVictims(
  update: Update,
  candidate: Candidate,
  stage: StageRun,
): TaskRun[] {
  const stopped: TaskRun[] = [];
  while (!fitsWithin(bookedSize(stage), candidate.expected)) {
    const victim = candidate.victims.shift();
    if (victim === undefined) {
      break;
    }
    victim.preemptions++;
    stopTask(update, victim);
    candidate.expected = addResources(
      candidate.expected,
      bookedSize(victim.stage),
    );
    stopped.push(victim);
  }
  return stopped;
}
