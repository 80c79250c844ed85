import type { Update } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { DeclineReason, StopMode, TaskPhase } from "@mustardweir/protocol";
import { stopTask } from "./asks.ts";
import { isZoneOpen } from "./grant.ts";
import type { Slice, SliceTask } from "./slice_state.ts";
import { declineAsk } from "./team_view.ts";

/** Time in which a draining zone is emptied, in milliseconds. */
const DRAIN_MS = 10_000;

/**
 * Moves work away evenly until the deadline while the zone drains. What is
 * expected to end before is left to end.
 */
export function drain(update: Update, slice: Slice): void {
  if (isZoneOpen(update, slice)) {
    slice.drain = undefined;
    return;
  }
  declineAll(slice);
  const movable = [...slice.tasks.values()].filter(isMovable);
  slice.drain ??= { startedAt: update.now, tasks: movable.length };
  const { startedAt, tasks } = slice.drain;
  const leftMs = Math.max(0, startedAt + DRAIN_MS - update.now);
  const mayStay = Math.floor(tasks * leftMs / DRAIN_MS);
  const { now } = update;
  const inOrder = movable
    .map((task) => ({ task, endsInMs: expectedEnd(task, now) }))
    .filter(({ endsInMs }) => endsInMs > leftMs)
    .sort((a, b) => b.endsInMs - a.endsInMs);
  const stops = Math.min(movable.length - mayStay, inOrder.length);
  for (const { task } of inOrder.slice(0, Math.max(stops, 0))) {
    stopTask(task, StopMode.Preempt);
  }
}

/** Requests end soon by themselves; what runs at most once can't be moved. */
function isMovable({ task, phase, stop }: SliceTask): boolean {
  return phase === TaskPhase.Running && stop === undefined &&
    task.idempotent && task.kind !== JobKind.Request;
}

/** Infinity for what declares no run time, or has passed the declared one. */
function expectedEnd({ task, runningSince }: SliceTask, now: number): number {
  const endsInMs = (task.durationMs ?? Infinity) - (now - runningSince);
  return endsInMs > 0 ? endsInMs : Infinity;
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
