import { createStateKey, type Update } from "@mustardweir/kernel";
import {
  addResources,
  DONE_MARK,
  isFinal,
  type JobProgress,
  type JobRecord,
  MAX_MARKED_FAILURES,
  NO_RESOURCES,
  OPEN_MARK,
  type Resources,
  StagedJobState,
  stageKey,
  type StageSpec,
  subtractResources,
  taskKey,
} from "@mustardweir/model";
import type { DurableProgress } from "@mustardweir/protocol";
import type { RateMeter } from "./rates.ts";

/** Where a task stands. */
export enum TaskPhase {
  Waiting = "waiting",
  /** Takes room on a worker. */
  Placed = "placed",
  Done = "done",
}

/** One task of a stage. */
export interface TaskRun {
  readonly stage: StageRun;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the last attempt known. */
  attempt: number;
  workerId: string;
  placedMs: number;
  /** Ordered to stop; it waits again when it has ended. */
  isStopping: boolean;
  /** True once the worker has taken the start. */
  isRunning: boolean;
  failures: number;
  checkpoint: string;
  /** Done so far as last listed, 0 to 100. */
  percent: number;
  /** When that last grew, in milliseconds. */
  progressedMs: number;
  /** Workers that failed the task; avoided while there are others. */
  readonly failedOn: Set<string>;
  /** Known before this tenure; it may run where nobody has looked yet. */
  isInherited: boolean;
  /** Attempts up to this one were given up; what they say later is void. */
  givenUpAttempt: number;
  /** Not placed before this time, in milliseconds. */
  notBeforeMs: number;
  /** How often it was stopped for urgent work. */
  preemptions: number;
}

/** A stage of one occurrence. */
export interface StageRun {
  readonly job: JobRun;
  /** occurrence.stage */
  readonly key: string;
  /** jobId.occurrence.stage */
  readonly name: string;
  readonly occurrence: number;
  readonly number: number;
  readonly spec: StageSpec;
  readonly tasks: TaskRun[];
  doneCount: number;
  /** Run times of tasks that ended done, in milliseconds, and their number. */
  ranMs: number;
  ranCount: number;
}

/** A job that has not ended. */
export interface JobRun {
  readonly jobId: string;
  readonly record: JobRecord;
  readonly stages: Map<string, StageRun>;
  /** Occurrences that have become due. */
  dueOccurrences: number;
  state: StagedJobState;
  isInherited: boolean;
  /** Handed in beyond the rate that its team is entitled to. */
  readonly isExcess: boolean;
}

/** The end of a job that isn't durable yet. */
export interface PendingEnd extends DurableProgress {
  readonly ticket: number;
}

/** All jobs of the domain that have not ended, as its owner runs them. */
export interface Book {
  isOpen: boolean;
  epoch: number;
  readonly jobs: Map<string, JobRun>;
  /** Jobs that ended in this tenure; the records may still lag behind. */
  readonly ended: Set<string>;
  readonly rates: RateMeter;
  /** Ends of jobs that are being recorded, oldest first. */
  ending: PendingEnd[];
  /** What each team takes, with what is being stopped. */
  readonly used: Map<string, Resources>;
  isDirty: boolean;
  lastPumpMs: number;
}

/** State of the dispatch plug-in. */
export const BOOK = createStateKey<Book>("book");

/** Attempts of an epoch are numbered from here, above all of earlier ones. */
const ATTEMPTS_PER_EPOCH = 1_000;

/** The number that a task's next attempt in this epoch has at least. */
export function firstAttempt(epoch: number): number {
  return (epoch - 1) * ATTEMPTS_PER_EPOCH + 1;
}

/** Number of occurrences of a job; 1 for a job without a schedule. */
export function occurrencesOf({ spec }: JobRecord): number {
  return spec.schedule?.occurrences ?? 1;
}

/** A job with its stages as they were recorded. */
export function createJobRun(
  jobId: string,
  { record, progress, isInherited, isExcess }: {
    readonly record: JobRecord;
    readonly progress: Readonly<JobProgress> | undefined;
    readonly isInherited: boolean;
    readonly isExcess: boolean;
  },
): JobRun {
  const job: JobRun = {
    jobId,
    record,
    stages: new Map(),
    dueOccurrences: 0,
    state: progress?.state ?? StagedJobState.Pending,
    isInherited,
    isExcess,
  };
  if (record.spec.schedule === undefined) {
    addOccurrence(job, progress);
  }
  return job;
}

/** Adds the stages of the next occurrence. */
export function addOccurrence(
  job: JobRun,
  progress?: Readonly<JobProgress>,
): void {
  const occurrence = job.dueOccurrences++;
  job.record.spec.stages.forEach((spec, number) => {
    const key = stageKey(occurrence, number);
    const stage: StageRun = {
      job,
      key,
      name: `${job.jobId}.${key}`,
      occurrence,
      number,
      spec,
      tasks: [],
      doneCount: 0,
      ranMs: 0,
      ranCount: 0,
    };
    const marks = progress?.marks[key] ?? "";
    for (let index = 0; index < spec.tasks; index++) {
      const mark = marks[index] ?? OPEN_MARK;
      const isDone = mark === DONE_MARK;
      stage.doneCount += isDone ? 1 : 0;
      stage.tasks.push({
        stage,
        index,
        phase: isDone ? TaskPhase.Done : TaskPhase.Waiting,
        attempt: 0,
        workerId: "",
        placedMs: 0,
        isStopping: false,
        isRunning: false,
        failures: isDone ? 0 : Number(mark),
        checkpoint: progress?.checkpoints[taskKey(key, index)] ?? "",
        percent: 0,
        progressedMs: 0,
        failedOn: new Set(),
        isInherited: job.isInherited,
        givenUpAttempt: 0,
        notBeforeMs: 0,
        preemptions: 0,
      });
    }
    job.stages.set(key, stage);
  });
}

/** What is to be recorded of the job's run. */
export function progressOf(job: Readonly<JobRun>): JobProgress {
  const progress: JobProgress = {
    state: job.state,
    marks: {},
    checkpoints: {},
  };
  for (const stage of job.stages.values()) {
    if (stage.tasks.some((task) => markOf(task) !== OPEN_MARK)) {
      progress.marks[stage.key] = stage.tasks.map(markOf).join("");
    }
    for (const task of stage.tasks) {
      if (task.checkpoint !== "" && task.phase !== TaskPhase.Done) {
        progress.checkpoints[taskKey(stage.key, task.index)] = task.checkpoint;
      }
    }
  }
  return progress;
}

function markOf({ phase, failures }: TaskRun): string {
  return phase === TaskPhase.Done
    ? DONE_MARK
    : String(Math.min(failures, MAX_MARKED_FAILURES));
}

/** The task that an attempt is named after. */
export function findTask(
  update: Update,
  name: string,
): TaskRun | undefined {
  const [jobId, occurrence, stage, index] = name.split(".");
  const job = update.write(BOOK).jobs.get(jobId ?? "");
  return job?.stages.get(stageKey(Number(occurrence), Number(stage)))
    ?.tasks[Number(index)];
}

/** Names a task to a worker. */
export function taskName({ stage, index }: TaskRun): string {
  return taskKey(stage.name, index);
}

/** True when all stages that this one depends on are done. */
export function isReady(stage: StageRun): boolean {
  return stage.spec.dependsOn.every((number) => {
    const earlier = stage.job.stages.get(stageKey(stage.occurrence, number));
    return earlier !== undefined && isStageDone(earlier);
  });
}

/** True when every task of the stage has ended done. */
export function isStageDone(stage: StageRun): boolean {
  return stage.doneCount === stage.tasks.length;
}

/** True when every occurrence has run to its end. */
export function isJobDone(job: JobRun): boolean {
  return job.dueOccurrences === occurrencesOf(job.record) &&
    [...job.stages.values()].every(isStageDone);
}

/** True while the job may start tasks. */
export function isOpen(job: JobRun): boolean {
  return !isFinal(job.state);
}

/** What a task of the stage takes of a worker's capacity. */
export function bookedSize({ spec }: StageRun): Resources {
  return spec.bestEffort ? { ...spec.size, cpuMillis: 0 } : spec.size;
}

/** Counts the room of a task that is being placed. */
export function takeRoom(book: Book, { stage }: TaskRun): void {
  const { team } = stage.job.record;
  const used = book.used.get(team) ?? NO_RESOURCES;
  book.used.set(team, addResources(used, stage.spec.size));
}

/** Frees the room of a task whose attempt is gone. */
export function freeRoom(book: Book, { stage }: TaskRun): void {
  const { team } = stage.job.record;
  const used = book.used.get(team) ?? NO_RESOURCES;
  book.used.set(team, subtractResources(used, stage.spec.size));
}
