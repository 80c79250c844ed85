import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  NO_RESOURCES,
  type Resources,
  scaleResources,
} from "@mustardweir/model";
import type { SummaryDraft } from "@mustardweir/replica";
import { CANDIDATES } from "./candidate_index.ts";
import {
  DISPATCH_STATE,
  reservedSize,
  type StageRun,
  TaskPhase,
} from "./dispatch_state.ts";
import { priorityOfRank } from "./turn_order.ts";

/**
 * Share of a pool's capacity that must be in use for its backlog to count. While
 * less is in use, jobs wait for something other than room, such as permits, and
 * the work that waits says nothing about the time that a new job would wait.
 */
const MIN_USED_SHARE = 0.7;

/** Fills in how much work waits in each full pool, by priority. */
export function addBacklog(update: Update, draft: SummaryDraft): void {
  const { jobs, waiting } = update.read(DISPATCH_STATE);
  const work = new Map<string, Map<number, Resources>>();
  for (const { stage, rank } of waiting.inOrder()) {
    const priority = priorityOfRank(rank);
    if (priority !== undefined) {
      const { pool } = stage.job.record.queue;
      const byPriority = work.get(pool) ?? new Map<number, Resources>();
      work.set(pool, byPriority);
      byPriority.set(
        priority,
        addResources(
          byPriority.get(priority) ?? NO_RESOURCES,
          waitingWork(stage),
        ),
      );
    }
  }
  draft.openJobs = jobs.size;
  const index = update.read(CANDIDATES);
  for (const [pool, byPriority] of work) {
    if (index.usedShareOf(pool) < MIN_USED_SHARE) {
      continue;
    }
    const waits: Record<string, number> = {};
    for (const [priority, amount] of byPriority) {
      waits[priority] = Math.round(busyMs(amount, index.capacityOf(pool)));
    }
    draft.waits[pool] = waits;
  }
}

/** Returns resources times milliseconds that the stage's tasks still need. */
function waitingWork(stage: StageRun): Resources {
  const { tasks, ranCount, ranMs, spec } = stage;
  const runMs = ranCount > 0 ? ranMs / ranCount : spec.estimateMs;
  const waiting = tasks.filter(({ phase }) => phase === TaskPhase.Waiting);
  return scaleResources(reservedSize(stage), waiting.length * runMs);
}

/** Returns how long workers of this capacity are busy with the work. */
function busyMs(work: Resources, capacity: Resources): number {
  return Math.max(
    work.cpuMillis / Math.max(capacity.cpuMillis, 1),
    work.memoryMb / Math.max(capacity.memoryMb, 1),
    capacity.accelerators > 0 ? work.accelerators / capacity.accelerators : 0,
  );
}
