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
import { isFinal, StagedJobState } from "@mustardweir/model";
import {
  type Answered,
  EffectKind,
  gauge,
  GAUGES_MS,
  RecordCommitKind,
  type RecordCommitResult,
  replyTo,
} from "@mustardweir/protocol";
import { PERMITS_CHANGED } from "@mustardweir/permits";
import {
  DESIRED_CHANGED,
  JOB_CHANGED,
  type KnownJob,
  recordKey,
  RecordKind,
  REPLICA,
  storeNow,
  unixNow,
} from "@mustardweir/replica";
import {
  ATTEMPT_ENDED,
  ATTEMPT_FOUND,
  ATTEMPT_LISTED,
  ATTEMPT_REFUSED,
  ATTEMPT_RUNNING,
  ATTEMPT_VANISHED,
  LISTING_HANDLED,
  WORKER_RECONCILED,
} from "@mustardweir/sessions";
import {
  CHANGES_DURABLE,
  queueChange,
  TENURE_GAINED,
  TENURE_LOST,
} from "@mustardweir/tenure";
import { callStore } from "@mustardweir/store-route";
import {
  attemptEnded,
  attemptFound,
  attemptListed,
  attemptRefused,
  attemptRunning,
  attemptVanished,
} from "./attempts.ts";
import {
  addOccurrence,
  BOOK,
  createJobRun,
  isOpen,
  type JobRun,
  occurrencesOf,
  TaskPhase,
} from "./book.ts";
import { WORKER_HEALTH, WorkerHealth } from "./health.ts";
import { announceEnds, endJob } from "./progress.ts";
import { pump, requestPump } from "./pump.ts";
import { RateMeter } from "./rates.ts";

/** How often waiting tasks are looked at in any case, in milliseconds. */
const TICK_MS = 20;
/** How often everything that waits is looked at again, in milliseconds. */
const RETRY_MS = 100;
/** How often due occurrences are looked for, in milliseconds. */
const SCHEDULE_MS = 50;
/** How often records of ended jobs are removed, in milliseconds. */
const FORGET_MS = 5_000;
/** Ended jobs can be asked for at least this long, in milliseconds. */
const KEEP_ENDED_MS = 180_000;
const FORGET_TIMEOUT_MS = 2_000;

const JOB_FORGOTTEN = createCommand<Answered<string, RecordCommitResult>>(
  "job-forgotten",
);

/** Runs the stages of all jobs while this node owns the domain. */
export class DispatchPlugin extends Plugin {
  override readonly name = "dispatch";

  override register(kernel: Kernel): Undo {
    const { Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(WORKER_HEALTH, new WorkerHealth()),
      kernel.registerState(BOOK, {
        isOpen: false,
        epoch: 0,
        jobs: new Map(),
        ended: new Set<string>(),
        rates: new RateMeter(),
        ending: [],
        used: new Map(),
        isDirty: false,
        lastPumpMs: 0,
      }),
      kernel.registerCommand(
        TENURE_GAINED,
        ({ epoch }, update) => open(update, epoch),
        Normal,
      ),
      kernel.registerCommand(TENURE_LOST, (_, update) => close(update), Normal),
      kernel.registerCommand(
        JOB_CHANGED,
        ({ jobId }, update) => jobChanged(update, jobId),
        Normal,
      ),
      kernel.registerCommand(
        JOB_FORGOTTEN,
        (answer, update) => jobForgotten(update, answer),
        Normal,
      ),
      kernel.registerCommand(
        CHANGES_DURABLE,
        ({ upToTicket }, update) => announceEnds(update, upToTicket),
        Normal,
      ),
      ...registerAttempts(kernel),
      ...[PERMITS_CHANGED, WORKER_RECONCILED, DESIRED_CHANGED, LISTING_HANDLED]
        .map((command) =>
          kernel.registerCommand<unknown>(
            command,
            (_, update) => requestPump(update),
            Normal,
          )
        ),
      kernel.registerPeriodic({ intervalMs: TICK_MS, run: pump }),
      kernel.registerPeriodic({
        intervalMs: RETRY_MS,
        run: (update) => {
          update.write(BOOK).isDirty = true;
        },
      }),
      kernel.registerPeriodic({ intervalMs: SCHEDULE_MS, run: addDue }),
      kernel.registerPeriodic({ intervalMs: FORGET_MS, run: forgetOld }),
      kernel.registerPeriodic({ intervalMs: GAUGES_MS, run: showTasks }),
    );
  }
}

function registerAttempts(kernel: Kernel): Undo[] {
  const { Normal } = CommandPriority;
  return [
    kernel.registerCommand(
      ATTEMPT_RUNNING,
      (placed, update) => attemptRunning(update, placed),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_REFUSED,
      (refused, update) => attemptRefused(update, refused),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_ENDED,
      (ended, update) => attemptEnded(update, ended),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_VANISHED,
      (vanished, update) => attemptVanished(update, vanished),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_FOUND,
      ({ workerId, found }, update) => attemptFound(update, workerId, found),
      Normal,
    ),
    kernel.registerCommand(
      ATTEMPT_LISTED,
      ({ workerId, listed }, update) => attemptListed(update, workerId, listed),
      Normal,
    ),
  ];
}

function open(update: Update, epoch: number): void {
  const book = update.write(BOOK);
  book.isOpen = true;
  book.epoch = epoch;
  book.jobs.clear();
  book.ended.clear();
  book.ending = [];
  book.rates.clear();
  book.used.clear();
  update.write(WORKER_HEALTH).clear();
  const jobs = [...update.read(REPLICA).jobs.values()]
    .sort((a, b) => a.record.acceptedMs - b.record.acceptedMs);
  for (const job of jobs) {
    addJob(update, job, true);
  }
  requestPump(update);
}

function close(update: Update): void {
  const book = update.write(BOOK);
  book.isOpen = false;
  book.jobs.clear();
  book.ended.clear();
  book.ending = [];
  book.used.clear();
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
  const isExcess = update.write(BOOK).rates
    .isExcess(team, { jobsPerS, acceptedMs });
  if (isFinal(progress?.state ?? StagedJobState.Pending)) {
    return;
  }
  const job = createJobRun(known.jobId, {
    record,
    progress,
    isInherited,
    isExcess,
  });
  update.write(BOOK).jobs.set(known.jobId, job);
  if (known.isCancelled) {
    endJob(update, job, StagedJobState.Cancelled);
  } else {
    addDueOccurrences(update, job);
  }
}

function jobChanged(update: Update, jobId: string): void {
  const book = update.write(BOOK);
  if (!book.isOpen) {
    return;
  }
  const known = update.read(REPLICA).jobs.get(jobId);
  const job = book.jobs.get(jobId);
  if (known === undefined) {
    return;
  }
  if (job === undefined && !book.ended.has(jobId)) {
    addJob(update, known, false);
    requestPump(update);
  } else if (job !== undefined && known.isCancelled && isOpen(job)) {
    endJob(update, job, StagedJobState.Cancelled);
  }
}

function addDue(update: Update): void {
  for (const job of update.read(BOOK).jobs.values()) {
    if (job.record.spec.schedule !== undefined) {
      addDueOccurrences(update, job as JobRun);
    }
  }
}

function addDueOccurrences(update: Update, job: JobRun): void {
  const { schedule } = job.record.spec;
  if (schedule === undefined || !isOpen(job)) {
    return;
  }
  const now = unixNow(update);
  while (
    job.dueOccurrences < occurrencesOf(job.record) &&
    schedule.firstDueMs + job.dueOccurrences * schedule.intervalMs <= now
  ) {
    addOccurrence(job, update.read(REPLICA).jobs.get(job.jobId)?.progress);
    requestPump(update);
  }
}

function showTasks(update: Update): void {
  const { jobs } = update.read(BOOK);
  const tasks = [...jobs.values()].flatMap((job) =>
    [...job.stages.values()].flatMap((stage) => stage.tasks)
  );
  const inPhase = (phase: TaskPhase) =>
    tasks.filter((task) => task.phase === phase).length;
  update.emit(gauge("jobs-open", jobs.size));
  update.emit(gauge("tasks-waiting", inPhase(TaskPhase.Waiting)));
  update.emit(gauge("tasks-placed", inPhase(TaskPhase.Placed)));
}

function forgetOld(update: Update): void {
  if (!update.read(BOOK).isOpen) {
    return;
  }
  const before = storeNow(update) - KEEP_ENDED_MS;
  for (const { jobId, progress } of update.read(REPLICA).jobs.values()) {
    if (progress?.endedMs !== undefined && progress.endedMs < before) {
      callStore(update, {
        kind: EffectKind.CommitRecords,
        transaction: {
          expected: [],
          puts: [],
          removes: [
            recordKey(RecordKind.Job, jobId),
            recordKey(RecordKind.Cancel, jobId),
          ],
        },
        timeoutMs: FORGET_TIMEOUT_MS,
        replyTo: replyTo(JOB_FORGOTTEN, jobId),
      });
    }
  }
}

/** A job without progress would run again, so that record goes last. */
function jobForgotten(
  update: Update,
  { context: jobId, result }: Answered<string, RecordCommitResult>,
): void {
  if (
    result.kind === RecordCommitKind.Committed && update.read(BOOK).isOpen
  ) {
    queueChange(update, recordKey(RecordKind.Progress, jobId), undefined);
  }
}

registerPlugin({
  name: "dispatch",
  roles: [Role.Combined],
  create: () => new DispatchPlugin(),
});
