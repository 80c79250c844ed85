import type { Update } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { DeclineReason, StopMode, TaskPhase } from "@mustardweir/protocol";
import { stopTask } from "./home_messages.ts";
import { isZoneOpen } from "./grant.ts";
import type { Slice, SliceTask } from "./slice_state.ts";
import { declineAsk } from "./team_view.ts";

/** Time within which a draining zone is emptied, in milliseconds. */
const DRAIN_MS = 10_000;

/**
 * Preempts tasks at an even rate until the deadline while the zone drains.
 * Tasks that are expected to end before the deadline are left to end.
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
  const mayRemain = Math.floor(tasks * leftMs / DRAIN_MS);
  const { now } = update;
  const stoppable = movable
    .map((task) => ({ task, endsInMs: expectedRemainingMs(task, now) }))
    .filter(({ endsInMs }) => endsInMs > leftMs)
    .sort((a, b) => b.endsInMs - a.endsInMs);
  const stops = Math.min(movable.length - mayRemain, stoppable.length);
  for (const { task } of stoppable.slice(0, Math.max(stops, 0))) {
    stopTask(task, StopMode.Preempt);
  }
}

/**
 * Whether the task is to be preempted. Request tasks end soon by themselves;
 * tasks that may run at most once can't be moved.
 */
function isMovable({ task, phase, stop }: SliceTask): boolean {
  return phase === TaskPhase.Running && stop === undefined &&
    task.idempotent && task.kind !== JobKind.Request;
}

/**
 * Time until the task is expected to end, in milliseconds; Infinity when it
 * declares no run time or has exceeded the declared one.
 */
function expectedRemainingMs(
  { task, runningSince }: SliceTask,
  now: number,
): number {
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
