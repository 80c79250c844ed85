import type { Update } from "@mustardweir/kernel";
import { isFinal, StagedJobState } from "@mustardweir/model";
import {
  logChange,
  NODE_IDENTITY,
  PeerMessageKind,
  sendPeer,
} from "@mustardweir/protocol";
import { dropPermits } from "@mustardweir/permits";
import {
  applyProgress,
  recordKey,
  RecordKind,
  storeNow,
} from "@mustardweir/replica";
import { stopAttempt } from "@mustardweir/sessions";
import { liveStandbys, queueChange } from "@mustardweir/tenure";
import {
  DISPATCH_STATE,
  type JobRun,
  progressOf,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { removeWaitingJob } from "./waiting.ts";

/** Queues the job's current progress to be recorded. */
export function writeProgress(update: Update, job: JobRun): void {
  const { jobId } = job;
  const progress = progressOf(job);
  if (isFinal(job.state)) {
    progress.endedMs = storeNow(update);
  }
  const ticket = queueChange(
    update,
    recordKey(RecordKind.Progress, jobId),
    JSON.stringify(progress),
  );
  if (isFinal(job.state)) {
    update.write(DISPATCH_STATE).pendingEnds.push({ ticket, jobId, progress });
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
