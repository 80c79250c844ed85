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
  learnProgress,
  recordKey,
  RecordKind,
  storeNow,
} from "@mustardweir/replica";
import { stopAttempt } from "@mustardweir/sessions";
import { livePeers, queueChange } from "@mustardweir/tenure";
import {
  BOOK,
  type JobRun,
  progressOf,
  taskName,
  TaskPhase,
  type TaskRun,
} from "./book.ts";

/** Has the job's progress recorded as it is now. */
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
    update.write(BOOK).ending.push({ ticket, jobId, progress });
  }
}

/** Tells all nodes of ends that are durable now, ahead of the records. */
export function announceEnds(update: Update, upToTicket: number): void {
  const book = update.write(BOOK);
  const jobs = book.ending.filter(({ ticket }) => ticket <= upToTicket)
    .map(({ jobId, progress }) => ({ jobId, progress }));
  if (jobs.length === 0) {
    return;
  }
  book.ending = book.ending.filter(({ ticket }) => ticket > upToTicket);
  jobs.forEach((job) => learnProgress(update, job));
  const { nodeId } = update.service(NODE_IDENTITY);
  for (const peer of livePeers(update)) {
    if (peer.nodeId !== nodeId) {
      update.emit(
        sendPeer(peer.nodeId, { kind: PeerMessageKind.JobsProgressed, jobs }),
      );
    }
  }
}

/** Ends the job and stops what still runs of it. */
export function endJob(
  update: Update,
  job: JobRun,
  state: StagedJobState,
): void {
  if (isFinal(job.state)) {
    return;
  }
  job.state = state;
  update.write(BOOK).ended.add(job.jobId);
  writeProgress(update, job);
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

/** Orders a placed task to stop; it waits again once it has ended. */
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
