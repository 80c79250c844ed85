import { AskMode, TaskPhase } from "@mustardweir/protocol";
import type { QueuedAsk } from "./ask_queue.ts";
import type { Slice } from "./slice_state.ts";

/**
 * Returns the job id of the gang that holds part of the room it requested from
 * the slice and waits for the rest; undefined when there is none. No other gang
 * is granted holds meanwhile, which prevents a deadlock of two gangs that each
 * wait for room that the other one holds.
 */
export function findHoldingGang(slice: Slice): string | undefined {
  for (const { task, phase } of slice.held) {
    const queue = slice.teams.get(task.team)?.queue;
    if (phase === TaskPhase.Held && queue?.hasJob(task.jobId)) {
      return task.jobId;
    }
  }
  return undefined;
}

/** Whether the ask has to wait until another gang holds all its room. */
export function waitsForGang(
  { ask }: QueuedAsk,
  holdingGang: string | undefined,
): boolean {
  return ask.mode === AskMode.Hold && holdingGang !== undefined &&
    ask.task.jobId !== holdingGang;
}
