import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import { EndReason, JobKind } from "@mustardweir/model";
import { logChange } from "@mustardweir/protocol";
import { endTask } from "./ending.ts";
import { hasScannedOwners } from "./fencing.ts";
import { restartBrokenGang } from "./gang.ts";
import {
  type Home,
  HomePhase,
  type HomeTask,
  type SliceView,
  TaskState,
} from "./home_state.ts";

/**
 * Activates the home once every slice has reported what it runs for the team.
 */
export function activateWhenComplete(update: Update, home: Home): void {
  if (home.phase !== HomePhase.Fencing) {
    return;
  }
  const isFenced = [...home.slices.values()].every((view) =>
    view.complete && isCurrent(update, view)
  );
  if (isFenced && hasScannedOwners(update, home)) {
    activate(update, home);
  }
}

function isCurrent(update: Update, view: SliceView): boolean {
  const owner = resolveOwner(update, sliceUnit(view.sliceId));
  return owner === undefined || owner.epoch <= view.fencedEpoch;
}

/** Lets waiting work start; all running tasks of the team are known by now. */
export function activate(update: Update, home: Home): void {
  home.phase = HomePhase.Active;
  for (const job of home.jobs.values()) {
    for (const task of job.tasks) {
      endUnreportedStart(update, home, task);
    }
    if (job.spec.kind === JobKind.Gang) {
      restartBrokenGang(update, home, job);
    }
  }
  const { team, epoch } = home;
  update.emit(logChange("Home active", { team, epoch }));
}

/**
 * Ends a task as lost if its start was recorded but no slice reports it: it may
 * have run and must not run twice.
 */
function endUnreportedStart(update: Update, home: Home, task: HomeTask): void {
  if (task.state === TaskState.Pending && task.startRecorded) {
    task.job.firstStartAt ??= update.now;
    endTask(update, home, { task, reason: EndReason.Lost });
  }
}
