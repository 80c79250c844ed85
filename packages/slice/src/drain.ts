import type { Update } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { DeclineReason, StopMode, TaskPhase } from "@mustardweir/protocol";
import { stopTask } from "./asks.ts";
import { isZoneOpen } from "./grant.ts";
import type { Slice, SliceTask } from "./slice_state.ts";
import { declineAsk } from "./team_view.ts";

/** Part of a slice's tasks that is stopped in one step of a drain. */
const DRAIN_FRACTION = 0.1;

/** Moves work away step by step while the zone drains. */
export function drain(update: Update, slice: Slice): void {
  if (isZoneOpen(update, slice)) {
    return;
  }
  declineAll(slice);
  const movable = [...slice.tasks.values()].filter(isMovable);
  const step = Math.ceil(slice.tasks.size * DRAIN_FRACTION);
  for (const task of movable.slice(0, step)) {
    stopTask(task, StopMode.Preempt);
  }
}

/** Requests end soon by themselves; what runs at most once can't be moved. */
function isMovable({ task, phase, stop }: SliceTask): boolean {
  return phase === TaskPhase.Running && stop === undefined &&
    task.idempotent && task.kind !== JobKind.Request;
}

function declineAll(slice: Slice): void {
  const reason = DeclineReason.ZoneClosed;
  for (const view of slice.teams.values()) {
    for (const { ask } of [...view.queue.values()]) {
      const { seq, task: { taskId } } = ask;
      declineAsk(slice, view, { seq, taskId, reason });
    }
  }
}
