import {
  CommandPriority,
  createCommand,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import {
  isFinal,
  StagedJobState,
  tasksPerOccurrence,
} from "@mustardweir/model";
import {
  EffectKind,
  type EffectReply,
  gauge,
  GAUGE_INTERVAL_MS,
  NODE_IDENTITY,
  RecordCommitKind,
  type RecordCommitResult,
  replyTo,
} from "@mustardweir/protocol";
import { invalidateWorkerPermits, PERMITS_CHANGED } from "@mustardweir/permits";
import {
  DESIRED_CHANGED,
  FOLLOWER_INTERVAL_MS,
  isFollower,
  JOB_CHANGED,
  type KnownJob,
  progressKey,
  recordKey,
  RecordKind,
  REPLICA,
  storeNow,
  SUMMARY_WANTED,
  wholeProgress,
} from "@mustardweir/replica";
import {
  ATTEMPT_ENDED,
  ATTEMPT_FOUND,
  ATTEMPT_LISTED,
  ATTEMPT_REFUSED,
  ATTEMPT_RUNNING,
  ATTEMPT_VANISHED,
  LISTING_HANDLED,
  WORKER_CRASHED,
  WORKER_RECONCILED,
  WORKER_RESTARTED,
} from "@mustardweir/sessions";
import {
  CHANGE_REJECTED,
  CHANGES_DURABLE,
  queueChange,
  TENURE_GAINED,
  TENURE_LOST,
} from "@mustardweir/tenure";
import { callStore } from "@mustardweir/store-route";
import {
  handleAttemptEnded,
  handleAttemptFound,
  handleAttemptListed,
  handleAttemptRefused,
  handleAttemptRunning,
  handleAttemptVanished,
} from "./attempts.ts";
import {
  createJobRun,
  DISPATCH_STATE,
  findStage,
  isOpen,
  type JobRun,
  markMisplacedParts,
  TaskPhase,
  type TaskRun,
} from "./dispatch_state.ts";
import { addBacklog } from "./backlog.ts";
import { CandidateIndex, CANDIDATES } from "./candidate_index.ts";
import { handleWorkerCrashed } from "./crashes.ts";
import { WORKER_HEALTH, WorkerHealth } from "./health.ts";
import { LinkBudget } from "./link_budget.ts";
import { noteWorkEndedBefore } from "./inherited_work.ts";
import { openDueOccurrences, openFirstOccurrences } from "./occurrences.ts";
import { announceEnds, endJob, handleChangeRejected } from "./progress.ts";
import {
  requestPlacementPass,
  runPlacementPass,
  runRequestedPass,
} from "./placement_pass.ts";
import { RateMeter } from "./rates.ts";
import { removeUnwantedAttempt } from "./unwanted_attempts.ts";
import { addWaiting, addWaitingJob } from "./waiting.ts";
import { WaitingStages } from "./waiting_stages.ts";

/**
 * Interval at which a placement pass runs if anything may have changed, in
 * milliseconds.
 */
const PASS_INTERVAL_MS = 20;
/**
 * Interval after which a pass runs even if nothing has changed, in
 * milliseconds.
 */
const RESCAN_INTERVAL_MS = 100;
/**
 * Interval at which all workers are judged anew, for what depends on the time:
 * stalled tasks, refused starts and quarantine, in milliseconds.
 */
const WORKER_RESCAN_INTERVAL_MS = 200;
/**
 * Interval at which schedules are checked for due occurrences, in milliseconds.
 */
const OCCURRENCE_SCAN_INTERVAL_MS = 50;
/** Interval at which the records of ended jobs are removed, in milliseconds. */
const REMOVAL_INTERVAL_MS = 5_000;
/**
 * Shortest time for which the state of an ended job can be queried, in
 * milliseconds.
 */
const ENDED_JOB_RETENTION_MS = 180_000;
const REMOVAL_TIMEOUT_MS = 2_000;

const JOB_RECORDS_REMOVED = createCommand<
  EffectReply<RemovedJob, RecordCommitResult>
>(
  "job-forgotten",
);

/** A job whose records in one part of the store are being removed. */
interface RemovedJob {
  readonly jobId: string;
  readonly part: string;
}

/** Places and runs the stages of all jobs while this node owns the domain. */
export class DispatchPlugin extends Plugin {
  override readonly name = "dispatch";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(WORKER_HEALTH, new WorkerHealth()),
      kernel.registerState(CANDIDATES, new CandidateIndex()),
      kernel.registerState(DISPATCH_STATE, {
        isActive: false,
        epoch: 0,
        jobs: new Map(),
        scheduled: new Set<JobRun>(),
        waiting: new WaitingStages(),
        suspects: new Set<TaskRun>(),
        holds: new Map(),
        ended: new Set<string>(),
        rates: new RateMeter(),
        link: new LinkBudget(undefined),
        pendingEnds: [],
        used: new Map(),
        unwanted: new Map(),
        endedWork: [],
        unseenTasks: undefined,
        isDirty: false,
        lastPassMs: 0,
      }),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => activate(update, epoch),
        Normal,
      ),
      kernel.registerCommand(
        TENURE_LOST,
        (_, update) => deactivate(update),
        Normal,
      ),
      kernel.registerCommand(
        JOB_CHANGED,
        ({ jobId }, update) => handleJobChange(update, jobId),
        Normal,
      ),
      kernel.registerCommand(
        JOB_RECORDS_REMOVED,
        (reply, update) => handleRemovalResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        CHANGE_REJECTED,
        ({ key }, update) => handleChangeRejected(update, key),
        Normal,
      ),
      kernel.registerCommand(
        CHANGES_DURABLE,
        ({ upToTicket }, update) => announceEnds(update, upToTicket),
        Normal,
      ),
      kernel.registerCommand(
        SUMMARY_WANTED,
        (draft, update) => addBacklog(update, draft),
        Normal,
      ),
      ...registerAttempts(kernel),
      kernel.registerCommand(
        PERMITS_CHANGED,
        ({ stage: name }, update) => {
          const stage = findStage(update, name);
          if (stage !== undefined) {
            addWaiting(update, stage);
          }
          requestPlacementPass(update);
        },
        Normal,
      ),
      kernel.registerCommand(
        WORKER_RECONCILED,
        (_, update) => requestPlacementPass(update),
        Normal,
      ),
      kernel.registerCommand(
        WORKER_RESTARTED,
        ({ workerId }, update) => invalidateWorkerPermits(update, workerId),
        Normal,
      ),
      kernel.registerCommand(
        DESIRED_CHANGED,
        (_, update) => {
          update.write(CANDIDATES).invalidate(update);
          requestPlacementPass(update);
        },
        Normal,
      ),
      kernel.registerCommand(
        LISTING_HANDLED,
        (_, update) => runRequestedPass(update),
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: PASS_INTERVAL_MS,
        run: runPlacementPass,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: RESCAN_INTERVAL_MS,
        run: (update) => {
          update.write(DISPATCH_STATE).isDirty = true;
        },
      }),
      kernel.registerPeriodic({
        intervalMs: WORKER_RESCAN_INTERVAL_MS,
        run: (update) => update.write(CANDIDATES).invalidate(update),
      }),
      kernel.registerPeriodic({
        intervalMs: OCCURRENCE_SCAN_INTERVAL_MS,
        run: runDueOccurrences,
        isIdle: isFollower,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
      }),
      kernel.registerPeriodic({
        intervalMs: REMOVAL_INTERVAL_MS,
        run: removeOldJobRecords,
      }),
      kernel.registerPeriodic({
        intervalMs: GAUGE_INTERVAL_MS,
        run: emitTaskGauges,
      }),
    );
  }
}

function registerAttempts(kernel: Kernel): Undo[] {
  const { Normal } = CommandPriority;
  return [
    kernel.registerCommand(
      ATTEMPT_RUNNING,
      (placed, update) => handleAttemptRunning(update, placed),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_REFUSED,
      (refused, update) => handleAttemptRefused(update, refused),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_ENDED,
      (ended, update) => {
        removeUnwantedAttempt(update, ended);
        handleAttemptEnded(update, ended);
      },
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_VANISHED,
      (vanished, update) => {
        removeUnwantedAttempt(update, vanished);
        handleAttemptVanished(update, vanished);
      },
      Normal,
    ),
    kernel.registerCommand(
      WORKER_CRASHED,
      (crashed, update) => handleWorkerCrashed(update, crashed),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_FOUND,
      ({ workerId, found }, update) =>
        handleAttemptFound(update, workerId, found),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_LISTED,
      ({ workerId, listed }, update) =>
        handleAttemptListed(update, workerId, listed),
      Normal,
    ),
  ];
}

function activate(update: Update, epoch: number): void {
  const state = update.write(DISPATCH_STATE);
  state.isActive = true;
  state.epoch = epoch;
  clearState(update);
  state.rates.clear();
  state.link = new LinkBudget(update.service(NODE_IDENTITY).linkMbps);
  update.write(WORKER_HEALTH).clear();
  const jobs = [...update.read(REPLICA).jobs.values()]
    .sort((a, b) => a.record.acceptedMs - b.record.acceptedMs);
  for (const job of jobs) {
    addJob(update, job, true);
  }
  openDueOccurrences(update);
  requestPlacementPass(update);
}

function deactivate(update: Update): void {
  const state = update.write(DISPATCH_STATE);
  state.isActive = false;
  clearState(update);
}

function clearState(update: Update): void {
  const state = update.write(DISPATCH_STATE);
  state.jobs.clear();
  state.scheduled.clear();
  state.waiting.clear();
  state.suspects.clear();
  state.holds.clear();
  state.ended.clear();
  state.pendingEnds = [];
  state.used.clear();
  state.unwanted.clear();
  state.endedWork = [];
  state.unseenTasks = undefined;
  update.write(CANDIDATES).clear();
}

function addJob(
  update: Update,
  known: Readonly<KnownJob>,
  isInherited: boolean,
): void {
  const { record, progress } = known;
  const { team, acceptedMs } = record;
  const jobsPerS = update.read(REPLICA).desired?.teams
    .find(({ name }) => name === team)?.jobsPerS ?? 0;
  const isOverRate = update.write(DISPATCH_STATE).rates
    .isOverRate(team, { jobsPerS, acceptedMs });
  if (isFinal(progress?.state ?? StagedJobState.Pending)) {
    if (isInherited) {
      noteWorkEndedBefore(update, known);
    }
    return;
  }
  const replica = update.read(REPLICA);
  const job = createJobRun(known.jobId, {
    record,
    progress: wholeProgress(replica, known.jobId),
    recordedParts: replica.progressParts.get(known.jobId)?.keys() ?? [],
    isInherited,
    isOverRate,
  });
  update.write(DISPATCH_STATE).jobs.set(known.jobId, job);
  if (known.isCancelled) {
    endJob(update, job, StagedJobState.Cancelled);
    return;
  }
  if (progress !== undefined) {
    markMisplacedParts(job, progress);
  }
  if (record.spec.schedule !== undefined) {
    update.write(DISPATCH_STATE).scheduled.add(job);
    // Those of inherited jobs are opened in turn, a few at a time.
    if (!isInherited) {
      openFirstOccurrences(update, job);
    }
    return;
  }
  addWaitingJob(update, job);
  for (const { tasks } of job.stages.values()) {
    for (const task of tasks) {
      if (task.crashes > 0) {
        update.write(DISPATCH_STATE).suspects.add(task);
      }
    }
  }
}

function handleJobChange(update: Update, jobId: string): void {
  const state = update.write(DISPATCH_STATE);
  if (!state.isActive) {
    return;
  }
  const known = update.read(REPLICA).jobs.get(jobId);
  const job = state.jobs.get(jobId);
  if (known === undefined) {
    return;
  }
  if (job === undefined && !state.ended.has(jobId)) {
    addJob(update, known, false);
    requestPlacementPass(update);
  } else if (job !== undefined && known.isCancelled && isOpen(job)) {
    endJob(update, job, StagedJobState.Cancelled);
  }
}

function runDueOccurrences(update: Update): void {
  if (openDueOccurrences(update)) {
    requestPlacementPass(update);
  }
}

function emitTaskGauges(update: Update): void {
  const { jobs, link } = update.read(DISPATCH_STATE);
  let waiting = 0;
  let placed = 0;
  for (const { occurrences, record, stages } of jobs.values()) {
    waiting += occurrences.unopened * tasksPerOccurrence(record.spec);
    for (const { tasks } of stages.values()) {
      for (const { phase } of tasks) {
        waiting += phase === TaskPhase.Waiting ? 1 : 0;
        placed += phase === TaskPhase.Placed ? 1 : 0;
      }
    }
  }
  update.emit(
    gauge("starts-backlog-ms", Math.round(link.backlogMs(update.now))),
  );
  update.emit(gauge("jobs-open", jobs.size));
  update.emit(gauge("tasks-waiting", waiting));
  update.emit(gauge("tasks-placed", placed));
}

function removeOldJobRecords(update: Update): void {
  if (!update.read(DISPATCH_STATE).isActive) {
    return;
  }
  const before = storeNow(update) - ENDED_JOB_RETENTION_MS;
  for (const { jobId, parts, progress } of update.read(REPLICA).jobs.values()) {
    if (progress?.endedMs === undefined || progress.endedMs >= before) {
      continue;
    }
    for (const part of parts) {
      callStore(update, {
        kind: EffectKind.CommitRecords,
        transaction: {
          expected: [],
          puts: [],
          removes: [RecordKind.Job, RecordKind.Cancel].map((kind) => ({
            ...recordKey(kind, jobId),
            part,
          })),
        },
        timeoutMs: REMOVAL_TIMEOUT_MS,
        replyTo: replyTo(JOB_RECORDS_REMOVED, { jobId, part }),
      });
    }
  }
}

/** Removes the progress record last: a job without one would run again. */
function handleRemovalResult(
  update: Update,
  { context: { jobId, part }, result }: EffectReply<
    RemovedJob,
    RecordCommitResult
  >,
): void {
  if (
    result.kind !== RecordCommitKind.Committed ||
    !update.read(DISPATCH_STATE).isActive
  ) {
    return;
  }
  const known = update.write(REPLICA).jobs.get(jobId);
  known?.parts.delete(part);
  if (known === undefined || known.parts.size === 0) {
    const parts = update.read(REPLICA).progressParts.get(jobId) ?? new Map();
    for (const part of parts.keys()) {
      queueChange(update, progressKey(jobId, part), undefined);
    }
    queueChange(update, recordKey(RecordKind.Progress, jobId), undefined);
  }
}

registerPlugin({
  name: "dispatch",
  roles: [Role.Combined],
  create: () => new DispatchPlugin(),
});
