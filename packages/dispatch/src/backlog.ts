import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  NO_RESOURCES,
  type Resources,
  scaleResources,
  type StageSpec,
} from "@mustardweir/model";
import { type SummaryDraft, unixNow } from "@mustardweir/replica";
import { expectedRun } from "@mustardweir/run-times";
import { CANDIDATES } from "./candidate_index.ts";
import {
  DISPATCH_STATE,
  type JobRun,
  reservedSize,
  type StageRun,
  TaskPhase,
} from "./dispatch_state.ts";
import { priorityOfRank, usefulMs } from "./turn_order.ts";

/**
 * Share of a pool's capacity that must be in use for its backlog to count. While
 * less is in use, jobs wait for something other than room, such as permits, and
 * the work that waits says nothing about the time that a new job would wait.
 */
const MIN_USED_SHARE = 0.7;

/** Fills in how much work waits in each full pool, by priority. */
export function addBacklog(update: Update, draft: SummaryDraft): void {
  const { jobs, scheduled, waiting } = update.read(DISPATCH_STATE);
  const work = new Map<string, Map<number, Resources>>();
  const addWork = (pool: string, priority: number, added: Resources) => {
    const byPriority = work.get(pool) ?? new Map<number, Resources>();
    work.set(pool, byPriority);
    const known = byPriority.get(priority) ?? NO_RESOURCES;
    byPriority.set(priority, addResources(known, added));
  };
  for (const { stage, rank } of waiting.inOrder()) {
    const priority = priorityOfRank(rank);
    if (priority !== undefined) {
      addWork(
        stage.job.record.queue.pool,
        priority,
        waitingWork(update, stage),
      );
    }
  }
  const nowMs = unixNow(update);
  for (const job of scheduled) {
    if (!job.isOverRate && nowMs !== undefined) {
      const { pool, priority } = job.record.queue;
      addWork(pool, priority, unopenedWork(update, job, nowMs));
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

/**
 * Returns the same for the due occurrences that haven't been opened and are
 * still useful, as far as their first stages go.
 */
function unopenedWork(update: Update, job: JobRun, nowMs: number): Resources {
  const { occurrences: { due, unopened }, record: { spec } } = job;
  const { firstDueMs = 0, intervalMs = 0 } = spec.schedule ?? {};
  const lastDueMs = firstDueMs + (due - 1) * intervalMs;
  const leftMs = lastDueMs - nowMs + usefulMs(
    job,
    (queue, estimateMs) => expectedRun(update, { queue, estimateMs }).meanMs,
  );
  if (unopened === 0 || leftMs < 0) {
    return NO_RESOURCES;
  }
  const count = intervalMs > 0
    ? Math.min(unopened, Math.floor(leftMs / intervalMs) + 1)
    : unopened;
  return spec.stages.filter(({ dependsOn }) => dependsOn.length === 0)
    .map((stage) =>
      scaleResources(
        reservedSize({ spec: stage }),
        count * stage.tasks * meanRunMs(update, job, stage),
      )
    )
    .reduce(addResources, NO_RESOURCES);
}

/**
 * Returns resources times milliseconds that the stage's tasks still need, by the
 * mean of those that have ended or else by what its queue's runs tell.
 */
function waitingWork(update: Update, stage: StageRun): Resources {
  const { tasks, ranCount, ranMs, spec } = stage;
  const runMs = ranCount > 0
    ? ranMs / ranCount
    : meanRunMs(update, stage.job, spec);
  const waiting = tasks.filter(({ phase }) => phase === TaskPhase.Waiting);
  return scaleResources(reservedSize(stage), waiting.length * runMs);
}

function meanRunMs(
  update: Update,
  { record }: JobRun,
  { estimateMs }: StageSpec,
): number {
  return expectedRun(update, { queue: record.queue.name, estimateMs }).meanMs;
}

/** Returns how long workers of this capacity are busy with the work. */
function busyMs(work: Resources, capacity: Resources): number {
  return Math.max(
    work.cpuMillis / Math.max(capacity.cpuMillis, 1),
    work.memoryMb / Math.max(capacity.memoryMb, 1),
    capacity.accelerators > 0 ? work.accelerators / capacity.accelerators : 0,
  );
}
