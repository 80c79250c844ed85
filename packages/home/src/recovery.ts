import type { Update } from "@mustardweir/kernel";
import {
  CLOSE_JOURNAL,
  type JournalRecord,
  JournalRecordKind,
  OPEN_JOURNAL,
} from "@mustardweir/journal";
import type { Owned } from "@mustardweir/membership";
import { JobKind, NO_RESOURCES } from "@mustardweir/model";
import { logChange } from "@mustardweir/protocol";
import { continueCancel } from "./cancel.ts";
import { activate } from "./activation.ts";
import { fenceSlices } from "./fencing.ts";
import {
  type Home,
  type HomeJob,
  HomePhase,
  HOMES,
  TaskState,
} from "./home_state.ts";
import { createJob } from "./job_factory.ts";
import { EvictedJobIds } from "./evicted_job_ids.ts";
import { JobQueue } from "./job_queue.ts";
import { addJob, enqueue, setTaskState } from "./queue.ts";
import { StartRate } from "./start_rate.ts";
import { TimerHeap } from "./timer_heap.ts";

/** Starts to take over the home of a team: requests its journal. */
export function openHome(
  update: Update,
  team: string,
  owned: Owned,
): void {
  update.write(HOMES).homes.set(team, createHome(update, team, owned));
  update.dispatch(OPEN_JOURNAL, {
    team,
    epoch: owned.epoch,
    ownershipVersion: owned.version,
  });
}

/** Removes a home that another node owns now. */
export function closeHome(update: Update, team: string): void {
  update.write(HOMES).homes.delete(team);
  update.dispatch(CLOSE_JOURNAL, { team });
}

function createHome(update: Update, team: string, owned: Owned): Home {
  return {
    team,
    epoch: owned.epoch,
    acquiredAt: update.now,
    phase: HomePhase.Loading,
    jobs: new Map(),
    bySeq: new Map(),
    byTaskId: new Map(),
    urgent: new JobQueue(),
    normal: new JobQueue(),
    evicted: new EvictedJobIds(),
    requestStarts: new StartRate(),
    backloggedSince: undefined,
    delayed: new TimerHeap(),
    deadlines: new TimerHeap(),
    activeGangs: new Set(),
    cancelling: new Set(),
    stopping: new Set(),
    nextSeq: 1,
    liveJobs: 0,
    used: NO_RESOURCES,
    slices: new Map(),
  };
}

/** Replays the journal, then fences the slices, which report what they run. */
export function loadRecords(
  update: Update,
  home: Home,
  records: readonly JournalRecord[],
): void {
  for (const record of records) {
    replay(update, home, record);
  }
  for (const job of home.jobs.values()) {
    resume(update, home, job);
  }
  home.phase = HomePhase.Fencing;
  update.emit(logChange("Home loaded", {
    team: home.team,
    epoch: home.epoch,
    jobs: home.jobs.size,
  }));
  fenceSlices(update, home);
  if (home.slices.size === 0) {
    activate(update, home);
  }
}

function replay(update: Update, home: Home, record: JournalRecord): void {
  const job = home.jobs.get(record.jobId);
  if (record.kind === JournalRecordKind.Accepted) {
    replayAcceptance(update, home, record);
    return;
  }
  if (job === undefined || job.endRecorded) {
    return;
  }
  switch (record.kind) {
    case JournalRecordKind.Starting: {
      const task = job.tasks[record.taskIndex];
      if (task !== undefined) {
        task.startRecorded = true;
      }
      break;
    }
    case JournalRecordKind.TaskEnded:
      replayTaskEnd(update, home, { job, record });
      break;
    case JournalRecordKind.Cancelled:
      job.cancelled = true;
      home.cancelling.add(job);
      break;
    case JournalRecordKind.JobEnded:
      job.outcome = record.outcome;
      job.reason = record.reason;
      job.answer = record.answer;
      job.endRecorded = true;
      job.endedAt = update.now;
      home.liveJobs -= 1;
      break;
  }
}

function replayAcceptance(
  update: Update,
  home: Home,
  record: Extract<JournalRecord, { kind: JournalRecordKind.Accepted }>,
): void {
  const { jobId, spec, specHash } = record;
  if (home.jobs.has(jobId)) {
    return;
  }
  const job = createJob({ jobId, spec, specHash, now: update.now });
  job.accepted = true;
  job.mayHaveRun = spec.idempotent; // Other starts are recorded first.
  addJob(home, job);
}

interface ReplayedEnd {
  readonly job: HomeJob;
  readonly record: Extract<
    JournalRecord,
    { kind: JournalRecordKind.TaskEnded }
  >;
}

function replayTaskEnd(
  update: Update,
  home: Home,
  { job, record }: ReplayedEnd,
): void {
  const task = job.tasks[record.taskIndex];
  if (task === undefined) {
    return;
  }
  setTaskState(home, task, TaskState.Ended);
  task.endReason = record.reason;
  job.firstStartAt ??= update.now;
}

/**
 * Queues tasks that have not ended; they start once all slices have reported.
 */
function resume(update: Update, home: Home, job: HomeJob): void {
  if (job.endRecorded) {
    job.tasks.length = 0;
    return;
  }
  if (job.spec.kind === JobKind.Gang) {
    job.gangRetryAt = update.now;
  }
  for (const task of job.tasks) {
    if (task.state === TaskState.Pending) {
      enqueue(home, task);
    }
  }
}

/** Continues cancellations that were accepted earlier. */
export function continueCancels(update: Update, home: Home): void {
  for (const job of home.cancelling) {
    if (job.endRecorded) {
      home.cancelling.delete(job);
    } else {
      continueCancel(update, home, job);
    }
  }
}
