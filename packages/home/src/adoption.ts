import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import { EndReason, JobKind, jobSpecSchema } from "@mustardweir/model";
import {
  type HomeInventory,
  PeerMessageKind,
  sendPeer,
  StopMode,
  TaskPhase,
  type TaskReport,
  type TaskSpec,
} from "@mustardweir/protocol";
import { acknowledge } from "./acknowledge.ts";
import { activateWhenComplete } from "./activation.ts";
import { endTask } from "./ending.ts";
import {
  type Home,
  type HomeJob,
  type HomeTask,
  takesRoom,
  TaskState,
} from "./home_state.ts";
import { createJob, taskIndexOf, UNKNOWN_SPEC_HASH } from "./job_factory.ts";
import { addJob, requeueAtFront, resetAttempt, setTaskState } from "./queue.ts";
import { handleAttemptEnd, markStarted } from "./task_progress.ts";

/** Allowance for clocks that run at different rates, in milliseconds. */
const CLOCK_MARGIN_MS = 100;

/** Applies a slice's report of the tasks that it runs for the team. */
export function applyInventory(
  update: Update,
  home: Home,
  inventory: HomeInventory,
): void {
  const view = home.slices.get(inventory.sliceId);
  if (view === undefined || inventory.sliceEpoch < view.fencedEpoch) {
    return;
  }
  const wasComplete = view.complete &&
    view.fencedEpoch === inventory.sliceEpoch;
  view.fencedEpoch = inventory.sliceEpoch;
  view.complete = inventory.complete || wasComplete;
  for (const report of inventory.tasks) {
    adopt(update, home, { inventory, report });
  }
  if (inventory.complete && !wasComplete) {
    handleMissingAttempts(update, home, inventory);
  }
  activateWhenComplete(update, home);
}

interface ReportedAttempt {
  readonly inventory: HomeInventory;
  readonly report: TaskReport;
}

function adopt(update: Update, home: Home, reported: ReportedAttempt): void {
  const { report, inventory } = reported;
  const job = home.jobs.get(report.task.jobId) ??
    rebuildRequest(update, home, report.task);
  const task = job?.tasks[taskIndexOf(report.task.taskId)];
  if (task === undefined || task.state === TaskState.Ended) {
    discardAttempt(update, home, reported);
    return;
  }
  const hasOtherAttempt = takesRoom(task) && task.taskId !== report.task.taskId;
  if (hasOtherAttempt) {
    discardAttempt(update, home, reported);
    return;
  }
  attach(home, task, reported);
  if (report.phase === TaskPhase.Ended && report.end !== undefined) {
    const { instanceId, end } = report;
    handleAttemptEnd(update, home, { task, instanceId, end });
  } else if (report.phase === TaskPhase.Running) {
    markStarted(update, home, { task, instanceId: report.instanceId });
  }
  task.sliceEpoch = inventory.sliceEpoch;
}

/** Makes a reported attempt the current one of its task. */
function attach(
  home: Home,
  task: HomeTask,
  { inventory, report }: ReportedAttempt,
): void {
  if (task.taskId === report.task.taskId) {
    return;
  }
  task.seq = 0; // The ask came from another epoch, with its own numbers.
  task.taskId = report.task.taskId;
  task.sliceId = inventory.sliceId;
  task.instanceId = report.instanceId;
  home.byTaskId.set(task.taskId, task);
  setTaskState(home, task, TaskState.Started);
}

/** Recreates a request that an earlier home accepted without a record. */
function rebuildRequest(
  update: Update,
  home: Home,
  task: TaskSpec,
): HomeJob | undefined {
  if (task.kind !== JobKind.Request || !task.idempotent) {
    return undefined;
  }
  const spec = jobSpecSchema.parse({
    kind: task.kind,
    cpu: task.size.cpuMillis / 1000,
    memoryMb: task.size.memoryMb,
    accelerators: task.size.accelerators,
    priority: task.priority,
    idempotent: true,
    durationMs: task.durationMs,
    payload: task.payload,
  });
  const { jobId } = task;
  const job = createJob({
    jobId,
    spec,
    specHash: UNKNOWN_SPEC_HASH,
    now: update.now,
  });
  addJob(home, job);
  return job;
}

/**
 * Stops an attempt that the home has no use for; acknowledges it if it has
 * ended.
 */
function discardAttempt(
  update: Update,
  home: Home,
  { inventory, report }: ReportedAttempt,
): void {
  const { sliceId, sliceEpoch } = inventory;
  if (report.phase === TaskPhase.Ended) {
    const taskIds = [report.task.taskId];
    acknowledge(update, home, { sliceId, taskIds });
    return;
  }
  const owner = resolveOwner(update, sliceUnit(sliceId));
  if (owner === undefined) {
    return;
  }
  update.emit(sendPeer(owner.nodeId, {
    kind: PeerMessageKind.StopTasks,
    team: home.team,
    homeEpoch: home.epoch,
    sliceId,
    sliceEpoch,
    taskIds: [report.task.taskId],
    mode: StopMode.Cancel,
  }));
}

/**
 * Treats attempts asked of an earlier epoch of the slice as lost if the current
 * epoch doesn't report them.
 */
function handleMissingAttempts(
  update: Update,
  home: Home,
  { sliceId, sliceEpoch, tasks, knownForMs }: HomeInventory,
): void {
  const knownSince = update.now - knownForMs + CLOCK_MARGIN_MS;
  const reported = new Set(tasks.map(({ task }) => task.taskId));
  const missing = [...home.byTaskId.values()].filter((task) =>
    task.sliceId === sliceId && task.sliceEpoch < sliceEpoch &&
    !reported.has(task.taskId)
  );
  for (const task of missing) {
    const mayHaveRun = task.askedAt < knownSince;
    handleLostAttempt(update, home, { task, mayHaveRun });
  }
}

interface LostAttempt {
  readonly task: HomeTask;
  /** False if every worker that could have run it reports that it did not. */
  readonly mayHaveRun: boolean;
}

/**
 * Queues the task again, or ends it if it was cancelled or must not run twice.
 */
export function handleLostAttempt(
  update: Update,
  home: Home,
  { task, mayHaveRun }: LostAttempt,
): void {
  if (!task.job.spec.idempotent && mayHaveRun) {
    task.job.firstStartAt ??= update.now;
    endTask(update, home, { task, reason: EndReason.Lost });
    return;
  }
  resetAttempt(home, task);
  if (task.stopping && task.job.cancelled) {
    endTask(update, home, { task, reason: EndReason.Cancelled });
    return;
  }
  task.stopping = false;
  requeueAtFront(home, task);
}
