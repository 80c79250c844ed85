import type { Update } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { count } from "@mustardweir/protocol";
import { groupBySlice, sendWithdrawal } from "./slice_messages.ts";
import { type Home, type HomeTask, TaskState } from "./home_state.ts";
import { SliceChooser } from "./slice_chooser.ts";

/** Time after which a waiting ask counts as without room, in milliseconds. */
const WAIT_LIMIT_MS = 300;

/**
 * Largest number of asks that a home withdraws per pass to send them to other
 * slices.
 */
const MAX_MOVES = 32;

/**
 * Withdraws asks that wait in a slice without room while another slice has
 * some. Once withdrawn, their tasks are queued again and go where there is
 * room.
 */
export function rebalance(update: Update, home: Home): void {
  const stuck = [...home.bySeq.values()].filter((task) =>
    isStuck(task, update.now)
  );
  for (const { sliceId, job } of stuck) {
    home.slices.get(sliceId)?.placeability.markUnplaceable(
      job.size,
      update.now,
    );
  }
  const chooser = new SliceChooser(update, home);
  const moves = stuck.filter(isMovable).filter((task) =>
    chooser.reserveElsewhere(task)
  ).slice(0, MAX_MOVES);
  for (const [sliceId, tasks] of groupBySlice(moves)) {
    sendWithdrawal(update, home, { sliceId, tasks });
    update.emit(count("asks_moved", tasks.length));
  }
}

function isStuck(task: HomeTask, now: number): boolean {
  return task.state === TaskState.Asked && now - task.askedAt > WAIT_LIMIT_MS;
}

/**
 * Whether the ask of a task may be withdrawn to move it; gangs release their
 * asks and retry by themselves.
 */
function isMovable({ withdrawn, job }: HomeTask): boolean {
  return !withdrawn && job.spec.kind !== JobKind.Gang;
}
