import type { Update } from "@mustardweir/kernel";
import { OWNERSHIP, resolveOwner, sliceUnit } from "@mustardweir/membership";
import {
  EndReason,
  JobKind,
  jobSpecSchema,
  NO_RESOURCES,
} from "@mustardweir/model";
import {
  type HomeInventory,
  logChange,
  PeerMessageKind,
  sendPeer,
  StopMode,
  TaskPhase,
  type TaskReport,
  type TaskSpec,
} from "@mustardweir/protocol";
import { acknowledge } from "./acknowledge.ts";
import { endTask } from "./ending.ts";
import { outlineSlices } from "./fleet_view.ts";
import { noteGangLoss } from "./gang.ts";
import {
  type Home,
  type HomeJob,
  HomePhase,
  type HomeTask,
  type SliceView,
  takesRoom,
  TaskState,
} from "./home_state.ts";
import { ANY_SPEC, createJob, taskIndexOf } from "./job_factory.ts";
import { addJob, requeueFirst, resetAttempt, setTaskState } from "./queue.ts";
import { markStarted, settleEnd } from "./task_progress.ts";
import { TightRoom } from "./tight_room.ts";

/** Allowance for clocks that run at different rates, in milliseconds. */
const CLOCK_MARGIN_MS = 100;

/** Time between fences sent to a slice that has not answered. */
const FENCE_RETRY_MS = 400;

/** Shows the home's epoch to every slice that doesn't know it yet. */
export function fenceSlices(update: Update, home: Home): void {
  syncViews(update, home);
  if (!knowsOwners(update, home)) {
    return;
  }
  for (const view of home.slices.values()) {
    fenceSlice(update, home, view);
  }
}

/**
 * True when the owners are known that the slices had when this home was taken
 * over. Those that come later know of this home from the table.
 */
function knowsOwners(update: Update, home: Home): boolean {
  return update.read(OWNERSHIP).scannedAt >= home.acquiredAt;
}

/** Keeps one view for each slice of the inventory. */
function syncViews(update: Update, home: Home): void {
  const outlines = outlineSlices(update);
  for (const { spec } of outlines) {
    if (!home.slices.has(spec.sliceId)) {
      home.slices.set(spec.sliceId, createView(spec.sliceId));
    }
  }
  if (home.slices.size > outlines.length) {
    dropViews(home, new Set(outlines.map(({ spec }) => spec.sliceId)));
  }
}

function dropViews(home: Home, present: ReadonlySet<string>): void {
  for (const [sliceId, view] of home.slices) {
    if (!present.has(sliceId) && view.outstanding === 0) {
      home.slices.delete(sliceId);
    }
  }
}

function createView(sliceId: string): SliceView {
  return {
    sliceId,
    fencedEpoch: 0,
    complete: false,
    fenceSentAt: -Infinity,
    outstanding: 0,
    askedSince: NO_RESOURCES,
    heardEpoch: 0,
    heardAt: -Infinity,
    notBefore: 0,
    tight: new TightRoom(),
  };
}

function fenceSlice(update: Update, home: Home, view: SliceView): void {
  const owner = resolveOwner(update, sliceUnit(view.sliceId));
  if (owner === undefined) {
    return;
  }
  const isFenced = view.fencedEpoch === owner.epoch && view.complete;
  const sentLately = update.now - view.fenceSentAt < FENCE_RETRY_MS;
  if (isFenced || sentLately) {
    return;
  }
  view.fenceSentAt = update.now;
  update.emit(sendPeer(owner.nodeId, {
    kind: PeerMessageKind.FenceHome,
    team: home.team,
    homeEpoch: home.epoch,
    sliceId: view.sliceId,
    sliceEpoch: owner.epoch,
  }));
}

/** Takes in what a slice runs for the team. */
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
    settleMissing(update, home, inventory);
  }
  activateWhenComplete(update, home);
}

interface Reported {
  readonly inventory: HomeInventory;
  readonly report: TaskReport;
}

function adopt(update: Update, home: Home, reported: Reported): void {
  const { report, inventory } = reported;
  const job = home.jobs.get(report.task.jobId) ??
    rebuildRequest(update, home, report.task);
  const task = job?.tasks[taskIndexOf(report.task.taskId)];
  if (task === undefined || task.state === TaskState.Ended) {
    disown(update, home, reported);
    return;
  }
  const isOther = takesRoom(task) && task.taskId !== report.task.taskId;
  if (isOther) {
    disown(update, home, reported);
    return;
  }
  attach(home, task, reported);
  if (report.phase === TaskPhase.Ended && report.end !== undefined) {
    const { instanceId, end } = report;
    settleEnd(update, home, { task, instanceId, end });
  } else if (report.phase === TaskPhase.Running) {
    markStarted(update, home, { task, instanceId: report.instanceId });
  }
  task.sliceEpoch = inventory.sliceEpoch;
}

/** Makes a reported attempt the one in force of its task. */
function attach(
  home: Home,
  task: HomeTask,
  { inventory, report }: Reported,
): void {
  if (task.taskId === report.task.taskId) {
    return;
  }
  task.seq = 0; // The ask was of another epoch, which counted for itself.
  task.taskId = report.task.taskId;
  task.sliceId = inventory.sliceId;
  task.instanceId = report.instanceId;
  home.byTaskId.set(task.taskId, task);
  setTaskState(home, task, TaskState.Started);
}

/** A request that an earlier home took without a record. */
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
    specHash: ANY_SPEC,
    now: update.now,
  });
  addJob(home, job);
  return job;
}

/** Stops, or lets be forgotten, what the home has no use for. */
function disown(
  update: Update,
  home: Home,
  { inventory, report }: Reported,
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

/** What an earlier epoch of the slice had and this one has not is over. */
function settleMissing(
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
    loseAttempt(update, home, { task, mayHaveRun });
  }
}

interface LostAttempt {
  readonly task: HomeTask;
  /** False when every worker that could have run it says it did not. */
  readonly mayHaveRun: boolean;
}

/** Starts the task again, unless it must not run twice. */
export function loseAttempt(
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
  requeueFirst(home, task);
}

function activateWhenComplete(update: Update, home: Home): void {
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
