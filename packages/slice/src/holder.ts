import { AskMode, TaskPhase } from "@mustardweir/protocol";
import type { QueuedAsk } from "./ask_queue.ts";
import type { Slice } from "./slice_state.ts";

/**
 * The gang that holds part of what it asked of the slice and waits for the
 * rest; undefined when there is none. While there is one no other gang is
 * given holds, so two of them can't each wait for what the other one holds.
 */
export function findHolder(slice: Slice): string | undefined {
  for (const { task, phase } of slice.held) {
    const queue = slice.teams.get(task.team)?.queue;
    if (phase === TaskPhase.Held && queue?.hasJob(task.jobId)) {
      return task.jobId;
    }
  }
  return undefined;
}

/** True when the ask has to wait until another gang has all it asked for. */
export function waitsForHolder(
  { ask }: QueuedAsk,
  holder: string | undefined,
): boolean {
  return ask.mode === AskMode.Hold && holder !== undefined &&
    ask.task.jobId !== holder;
}
