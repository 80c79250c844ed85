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
  progressPartOf,
  type Resources,
  StagedJobState,
  stageKey,
  type StageSpec,
  subtractResources,
  taskKey,
  TASKS_PER_PART,
  tasksPerOccurrence,
} from "@mustardweir/model";
import type { DurableProgress } from "@mustardweir/protocol";
import type { LinkBudget } from "./link_budget.ts";
import type { RateMeter } from "./rates.ts";
import type { WaitingStages } from "./waiting_stages.ts";

/** Phase of a task. */
export enum TaskPhase {
  Waiting = "waiting",
  /** Has an attempt that uses room on a worker. */
  Placed = "placed",
  Done = "done",
}

/** One task of a stage. */
export interface TaskRun {
  readonly stage: StageRun;
  readonly index: number;
  phase: TaskPhase;
  /** Number of the latest known attempt. */
  attempt: number;
  workerId: string;
  placedMs: number;
  /**
   * Whether the attempt was ordered to stop; once it has ended, the task waits
   * again.
   */
  isStopping: boolean;
  /** Whether the worker has confirmed the start. */
  isRunning: boolean;
  failures: number;
  /** Number of workers that crashed in the first moments of its attempts. */
  crashes: number;
  /**
   * Time since which it waits for a worker to be alone on, in milliseconds;
   * undefined if it doesn't.
   */
  isolatedSinceMs: number | undefined;
  /** Whether it has waited too long for that and may start anywhere. */
  isIsolationWaived: boolean;
  checkpoint: string;
  /** Progress that the worker last reported, 0 to 100. */
  percent: number;
  /** Time at which `percent` last increased, in milliseconds. */
  progressedMs: number;
  /** Workers on which the task failed; avoided while others are available. */
  readonly failedOn: Set<string>;
  /**
   * Whether the job predates this tenure; the task may then still run on a
   * worker that hasn't reported yet.
   */
  isInherited: boolean;
  /**
   * Attempts up to this number were abandoned; their late reports are ignored.
   */
  abandonedAttempt: number;
  /** Earliest time at which the task can be placed, in milliseconds. */
  notBeforeMs: number;
  /** Number of times that the task was preempted. */
  preemptions: number;
}

/** A stage in one occurrence of its job. */
export interface StageRun {
  readonly job: JobRun;
  /** Unique within the job: `occurrence.stage`. */
  readonly key: string;
  /** Unique among all jobs: `jobId.occurrence.stage`. */
  readonly name: string;
  readonly occurrence: number;
  readonly number: number;
  readonly spec: StageSpec;
  /** Number of its first task among all tasks of all occurrences. */
  readonly firstTask: number;
  readonly tasks: TaskRun[];
  doneCount: number;
  /**
   * Total run time of the stage's successful tasks, in milliseconds; `ranCount`
   * is their number.
   */
  ranMs: number;
  ranCount: number;
}

/** A job that has not ended. */
export interface JobRun {
  readonly jobId: string;
  readonly record: JobRecord;
  readonly stages: Map<string, StageRun>;
  /** Parts of the progress that differ from their records. */
  readonly changedParts: Set<number>;
  /** Later parts of the progress that have records. */
  readonly recordedParts: Set<number>;
  /** Number of occurrences that have become due. */
  dueOccurrences: number;
  state: StagedJobState;
  isInherited: boolean;
  /** Whether the job was submitted beyond its team's entitled rate. */
  readonly isOverRate: boolean;
}

/** The end of a job whose record is not durable yet. */
export interface PendingEnd extends DurableProgress {
  readonly ticket: number;
}

/** Keeps a worker free of other starts for a task. */
export interface WorkerHold {
  readonly task: TaskRun;
  /** Time at which the hold ends, in milliseconds. */
  readonly untilMs: number;
}

/**
 * State of the dispatch plug-in: the jobs of the domain that have not ended.
 */
export interface DispatchState {
  isActive: boolean;
  epoch: number;
  readonly jobs: Map<string, JobRun>;
  /** Jobs with a schedule, of which occurrences become due. */
  readonly scheduled: Set<JobRun>;
  readonly waiting: WaitingStages;
  /** Tasks that have crashed workers, until they are done. */
  readonly suspects: Set<TaskRun>;
  /** Workers that are held for a suspect, by their id. */
  readonly holds: Map<string, WorkerHold>;
  /** Jobs that ended in this tenure; their records may not show it yet. */
  readonly ended: Set<string>;
  readonly rates: RateMeter;
  /** Bytes of starts that this node's link can carry. */
  link: LinkBudget;
  /** Ends of jobs that are being recorded, oldest first. */
  pendingEnds: PendingEnd[];
  /** Resources that each team uses, including tasks that are being stopped. */
  readonly used: Map<string, Resources>;
  isDirty: boolean;
  lastPassMs: number;
}

/** State of the dispatch plug-in. */
export const DISPATCH_STATE = createStateKey<DispatchState>("book");

/**
 * Size of each epoch's range of attempt numbers; later epochs have higher
 * numbers.
 */
const ATTEMPTS_PER_EPOCH = 1_000;

/** Returns the lowest attempt number of the epoch. */
export function firstAttemptNumber(epoch: number): number {
  return (epoch - 1) * ATTEMPTS_PER_EPOCH + 1;
}

/** Returns the number of occurrences of a job; 1 without a schedule. */
export function occurrenceCount({ spec }: JobRecord): number {
  return spec.schedule?.occurrences ?? 1;
}

/**
 * Returns when an occurrence of the job is due, in Unix milliseconds; undefined
 * without a schedule.
 */
export function dueTimeMs(
  { spec: { schedule } }: JobRecord,
  occurrence: number,
): number | undefined {
  return schedule && schedule.firstDueMs + occurrence * schedule.intervalMs;
}

/** Creates a job's run from its recorded progress. */
export function createJobRun(
  jobId: string,
  { record, progress, recordedParts = [], isInherited, isOverRate }: {
    readonly record: JobRecord;
    readonly progress: Readonly<JobProgress> | undefined;
    /** Later parts of the progress that have records; none by default. */
    readonly recordedParts?: Iterable<number>;
    readonly isInherited: boolean;
    readonly isOverRate: boolean;
  },
): JobRun {
  const job: JobRun = {
    jobId,
    record,
    stages: new Map(),
    changedParts: new Set(),
    recordedParts: new Set(recordedParts),
    dueOccurrences: 0,
    state: progress?.state ?? StagedJobState.Pending,
    isInherited,
    isOverRate,
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
  let firstTask = occurrence * tasksPerOccurrence(job.record.spec);
  job.record.spec.stages.forEach((spec, number) => {
    const key = stageKey(occurrence, number);
    const stage: StageRun = {
      job,
      key,
      name: `${job.jobId}.${key}`,
      occurrence,
      number,
      spec,
      firstTask,
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
        crashes: isDone ? 0 : progress?.crashes?.[taskKey(key, index)] ?? 0,
        isolatedSinceMs: undefined,
        isIsolationWaived: false,
        checkpoint: progress?.checkpoints[taskKey(key, index)] ?? "",
        percent: 0,
        progressedMs: 0,
        failedOn: new Set(),
        isInherited: job.isInherited,
        abandonedAttempt: 0,
        notBeforeMs: 0,
        preemptions: 0,
      });
    }
    job.stages.set(key, stage);
    firstTask += spec.tasks;
  });
}

/** Returns the part of the job's progress that holds the task. */
export function partOfTask({ stage, index }: TaskRun): number {
  return progressPartOf(stage.firstTask + index);
}

/** Notes that the recorded progress of the task is out of date. */
export function markProgressed(task: TaskRun): void {
  task.stage.job.changedParts.add(partOfTask(task));
}

/**
 * Notes the later parts of the job's progress that the given record holds, which
 * an earlier version of this system has written for all tasks.
 */
export function markMisplacedParts(
  job: JobRun,
  first: Readonly<JobProgress>,
): void {
  for (const { key, tasks } of job.stages.values()) {
    const marks = first.marks[key]?.length ?? 0;
    tasks.filter((task) =>
      partOfTask(task) > 0 &&
      (task.index < marks || taskKey(key, task.index) in first.checkpoints)
    ).forEach(markProgressed);
  }
}

/** Returns a part of the progress of the job to be recorded. */
export function progressOf(job: Readonly<JobRun>, part: number): JobProgress {
  const progress: JobProgress = {
    state: job.state,
    marks: {},
    checkpoints: {},
  };
  for (const { stage, tasks } of tasksInPart(job, part)) {
    if (tasks.some((task) => markOf(task) !== OPEN_MARK)) {
      progress.marks[stage.key] = tasks.map(markOf).join("");
      const [{ index: offset } = { index: 0 }] = tasks;
      if (offset > 0) {
        progress.offsets ??= {};
        progress.offsets[stage.key] = offset;
      }
    }
    for (const task of tasks) {
      if (task.checkpoint !== "" && task.phase !== TaskPhase.Done) {
        progress.checkpoints[taskKey(stage.key, task.index)] = task.checkpoint;
      }
      if (task.crashes > 0 && task.phase !== TaskPhase.Done) {
        progress.crashes ??= {};
        progress.crashes[taskKey(stage.key, task.index)] = task.crashes;
      }
    }
  }
  return progress;
}

/** Returns the tasks of a part of the job's progress, by their stages. */
function tasksInPart(
  { record: { spec }, stages }: Readonly<JobRun>,
  part: number,
): { readonly stage: StageRun; readonly tasks: readonly TaskRun[] }[] {
  const from = part * TASKS_PER_PART;
  const to = from + TASKS_PER_PART;
  const found = [];
  let occurrence = Math.floor(from / tasksPerOccurrence(spec));
  while (occurrence >= 0) {
    for (let number = 0; number < spec.stages.length; number++) {
      const stage = stages.get(stageKey(occurrence, number));
      if (stage === undefined || stage.firstTask >= to) {
        return found;
      }
      const tasks = stage.tasks.slice(
        Math.max(0, from - stage.firstTask),
        Math.max(0, to - stage.firstTask),
      );
      if (tasks.length > 0) {
        found.push({ stage, tasks });
      }
    }
    occurrence++;
  }
  return found;
}

function markOf({ phase, failures }: TaskRun): string {
  return phase === TaskPhase.Done
    ? DONE_MARK
    : String(Math.min(failures, MAX_MARKED_FAILURES));
}

/** Finds a stage by its name. */
export function findStage(update: Update, name: string): StageRun | undefined {
  const end = name.indexOf(".");
  return update.write(DISPATCH_STATE).jobs.get(name.slice(0, end))
    ?.stages.get(name.slice(end + 1));
}

/** Parses the name of a task; undefined if it isn't one. */
export function parseTaskName(
  name: string,
): { readonly jobId: string; readonly occurrence: number } | undefined {
  const [jobId = "", occurrence = "", stage, index, ...others] = name
    .split(".");
  return stage === undefined || index === undefined || others.length > 0 ||
      !/^\d+$/.test(occurrence)
    ? undefined
    : { jobId, occurrence: Number(occurrence) };
}

/** Finds a task by the name that attempts carry. */
export function findTask(
  update: Update,
  name: string,
): TaskRun | undefined {
  const end = name.lastIndexOf(".");
  return findStage(update, name.slice(0, end))
    ?.tasks[Number(name.slice(end + 1))];
}

/** Returns the name by which workers identify the task. */
export function taskName({ stage, index }: TaskRun): string {
  return taskKey(stage.name, index);
}

/** Returns whether all stages that this one depends on are done. */
export function isReady(stage: StageRun): boolean {
  return stage.spec.dependsOn.every((number) => {
    const earlier = stage.job.stages.get(stageKey(stage.occurrence, number));
    return earlier !== undefined && isStageDone(earlier);
  });
}

/** Returns whether every task of the stage succeeded. */
export function isStageDone(stage: StageRun): boolean {
  return stage.doneCount === stage.tasks.length;
}

/** Returns whether every occurrence of the job is done. */
export function isJobDone(job: JobRun): boolean {
  return job.dueOccurrences === occurrenceCount(job.record) &&
    [...job.stages.values()].every(isStageDone);
}

/** Returns whether the job has not ended, so that its tasks can start. */
export function isOpen(job: JobRun): boolean {
  return !isFinal(job.state);
}

/** Returns the resources that a task of the stage reserves on a worker. */
export function reservedSize({ spec }: StageRun): Resources {
  return spec.bestEffort ? { ...spec.size, cpuMillis: 0 } : spec.size;
}

/** Adds a task that is being placed to its team's resource usage. */
export function addTeamUsage(state: DispatchState, { stage }: TaskRun): void {
  const { team } = stage.job.record;
  const used = state.used.get(team) ?? NO_RESOURCES;
  state.used.set(team, addResources(used, stage.spec.size));
}

/** Subtracts a task whose attempt has ended from its team's resource usage. */
export function subtractTeamUsage(
  state: DispatchState,
  { stage }: TaskRun,
): void {
  const { team } = stage.job.record;
  const used = state.used.get(team) ?? NO_RESOURCES;
  state.used.set(team, subtractResources(used, stage.spec.size));
}
