import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import { EndReason, JobKind } from "@mustardweir/model";
import { logChange } from "@mustardweir/protocol";
import { endTask } from "./ending.ts";
import { knowsOwners } from "./fencing.ts";
import { noteGangLoss } from "./gang.ts";
import {
  type Home,
  HomePhase,
  type HomeTask,
  type SliceView,
  TaskState,
} from "./home_state.ts";

/** Lets work start once every slice has told what it runs for the team. */
export function activateWhenComplete(update: Update, home: Home): void {
  if (home.phase !== HomePhase.Fencing) {
    return;
  }
  const isFenced = [...home.slices.values()].every((view) =>
    view.complete && isCurrent(update, view)
  );
  if (isFenced && knowsOwners(update, home)) {
    activate(update, home);
  }
}

function isCurrent(update: Update, view: SliceView): boolean {
  const owner = resolveOwner(update, sliceUnit(view.sliceId));
  return owner === undefined || owner.epoch <= view.fencedEpoch;
}

/** Nothing of the team runs unknown: waiting work may start. */
export function activate(update: Update, home: Home): void {
  home.phase = HomePhase.Active;
  for (const job of home.jobs.values()) {
    for (const task of job.tasks) {
      settleUnfound(update, home, task);
    }
    if (job.spec.kind === JobKind.Gang) {
      noteGangLoss(update, home, job);
    }
  }
  const { team, epoch } = home;
  update.emit(logChange("Home active", { team, epoch }));
}

/** A task that may have been started, but runs nowhere, is not repeated. */
function settleUnfound(update: Update, home: Home, task: HomeTask): void {
  if (task.state === TaskState.Pending && task.startRecorded) {
    task.job.firstStartAt ??= update.now;
    endTask(update, home, { task, reason: EndReason.Lost });
  }
}
