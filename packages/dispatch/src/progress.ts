import type { Update } from "@mustardweir/kernel";
import { isFinal, type JobProgress, StagedJobState } from "@mustardweir/model";
import {
  logChange,
  NODE_IDENTITY,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import { dropPermits } from "@mustardweir/permits";
import {
  applyProgress,
  parseKey,
  parsePartName,
  progressKey,
  RecordKind,
  storeNow,
} from "@mustardweir/replica";
import { stopAttempt } from "@mustardweir/sessions";
import { allReadSettled, liveStandbys, queueChange } from "@mustardweir/tenure";
import {
  DISPATCH_STATE,
  findFirstOpenPart,
  type JobRun,
  progressOf,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { noteEndedWork } from "./inherited_work.ts";
import { removeWaitingJob } from "./waiting.ts";

/** Largest value of a record unless the settings tell another, in bytes. */
const DEFAULT_MAX_RECORD_BYTES = 65_536;

/**
 * Queues those parts of the job's progress to be recorded that have changed. The
 * first part, with the job's state, comes last: it replaces the record of an
 * earlier version, which held them all.
 */
export function writeProgress(update: Update, job: JobRun): void {
  if (isFinal(job.state)) {
    writeEnd(update, job);
    return;
  }
  const parts = [...job.changedParts].sort((a, b) => b - a);
  job.changedParts.clear();
  for (const part of parts) {
    if (part > 0) {
      job.recordedParts.add(part);
    }
    queueProgress(update, { job, part, progress: progressOf(job, part) });
  }
  removeSettledParts(update, job);
}

/**
 * Removes the records of later parts all of whose tasks are done, after the
 * first part that tells so. They stay while a node might become the owner that
 * goes by the marks alone.
 */
function removeSettledParts(update: Update, job: JobRun): void {
  const firstOpenPart = findFirstOpenPart(job);
  if (firstOpenPart <= job.firstOpenPart || !allReadSettled(update)) {
    return;
  }
  job.firstOpenPart = firstOpenPart;
  queueProgress(update, { job, part: 0, progress: progressOf(job, 0) });
  for (const part of job.recordedParts) {
    if (part < firstOpenPart) {
      queueChange(update, progressKey(job.jobId, part), undefined);
      job.recordedParts.delete(part);
    }
  }
}

/** Queues the end of the job to be recorded, after which its state says all. */
function writeEnd(update: Update, job: JobRun): void {
  const { jobId } = job;
  const progress = { ...progressOf(job, 0), endedMs: storeNow(update) };
  const ticket = queueProgress(update, { job, part: 0, progress });
  for (const part of job.recordedParts) {
    queueChange(update, progressKey(jobId, part), undefined);
  }
  job.changedParts.clear();
  job.recordedParts.clear();
  update.write(DISPATCH_STATE).pendingEnds.push({ ticket, jobId, progress });
}

/**
 * Queues the record of a part. Checkpoints that make it too large are left out:
 * they save work, but the tasks can do without.
 */
function queueProgress(
  update: Update,
  { job: { jobId }, part, progress }: {
    readonly job: JobRun;
    readonly part: number;
    readonly progress: JobProgress;
  },
): number {
  const { maxRecordBytes = DEFAULT_MAX_RECORD_BYTES } = update.service(
    NODE_IDENTITY,
  );
  let value = JSON.stringify(progress);
  const bytes = Buffer.byteLength(value);
  if (bytes > maxRecordBytes) {
    value = JSON.stringify({ ...progress, checkpoints: {} });
    update.emit(logChange("Checkpoints not recorded", {
      job: jobId,
      part,
      bytes,
      maxBytes: maxRecordBytes,
    }));
  }
  return queueChange(update, progressKey(jobId, part), value);
}

/**
 * Ends a job whose progress the store has rejected for good: what its tasks do
 * can't be recorded any more.
 */
export function handleChangeRejected(update: Update, key: string): void {
  const parsed = parseKey(key);
  if (
    parsed?.kind !== RecordKind.Progress &&
    parsed?.kind !== RecordKind.ProgressPart
  ) {
    return;
  }
  const jobId = parsed.kind === RecordKind.Progress
    ? parsed.name
    : parsePartName(parsed.name).jobId;
  const job = update.write(DISPATCH_STATE).jobs.get(jobId);
  if (job !== undefined) {
    endJob(update, job, StagedJobState.Failed);
  }
}

/**
 * Announces ends of jobs that are durable to the standbys, before they read the
 * records.
 */
export function announceEnds(update: Update, upToTicket: number): void {
  const state = update.write(DISPATCH_STATE);
  const jobs = state.pendingEnds.filter(({ ticket }) => ticket <= upToTicket)
    .map(({ jobId, progress }) => ({ jobId, progress }));
  if (jobs.length === 0) {
    return;
  }
  state.pendingEnds = state.pendingEnds.filter(({ ticket }) =>
    ticket > upToTicket
  );
  jobs.forEach((job) => applyProgress(update, job));
  const { nodeId } = update.service(NODE_IDENTITY);
  for (const peer of liveStandbys(update)) {
    if (peer.nodeId !== nodeId) {
      update.emit(
        sendPeer(peer.nodeId, { kind: PeerMessageKind.JobsProgressed, jobs }),
      );
    }
  }
}

/** Ends the job and stops its running tasks. */
export function endJob(
  update: Update,
  job: JobRun,
  state: StagedJobState,
): void {
  if (isFinal(job.state)) {
    return;
  }
  noteEndedWork(update, job);
  job.state = state;
  update.write(DISPATCH_STATE).ended.add(job.jobId);
  writeProgress(update, job);
  update.write(DISPATCH_STATE).scheduled.delete(job);
  removeWaitingJob(update, job);
  for (const stage of job.stages.values()) {
    dropPermits(update, stage.name);
    stage.tasks.forEach((task) => stopTask(update, task));
  }
  update.emit(logChange("Job ended", {
    job: job.jobId,
    queue: job.record.queue.name,
    team: job.record.team,
    state,
    ageMs: storeNow(update) - job.record.acceptedMs,
  }));
}

/**
 * Orders a placed task to stop; the task waits again once its attempt has
 * ended.
 */
export function stopTask(update: Update, task: TaskRun): void {
  if (task.phase === TaskPhase.Placed && !task.isStopping) {
    task.isStopping = true;
    stopAttempt(update, {
      workerId: task.workerId,
      task: taskName(task),
      attempt: task.attempt,
    });
  }
}
