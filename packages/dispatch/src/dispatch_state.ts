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
  type StagedJobSpec,
  StagedJobState,
  stageKey,
  type StageSpec,
  subtractResources,
  type TaskFailures,
  taskKey,
  TASKS_PER_PART,
  tasksPerOccurrence,
} from "@mustardweir/model";
import type { DurableProgress } from "@mustardweir/protocol";
import { AttemptStart } from "@mustardweir/run-times";
import type { PreviousAttempt } from "@mustardweir/sessions";
import { FailureLog } from "./failure_log.ts";
import type { LinkBudget } from "./link_budget.ts";
import {
  type OccurrenceOptions,
  OccurrenceTracker,
} from "./occurrence_tracker.ts";
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
  /** How the latest attempt came to run. */
  start: AttemptStart;
  /**
   * Time at which the worker confirmed the start of the latest attempt, in
   * milliseconds; undefined if it didn't.
   */
  confirmedMs: number | undefined;
  /** Its failed attempts; those of a gang are with its first task. */
  readonly failures: FailureLog;
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
  /** Its latest attempt that this owner knew of and that is over. */
  previous: PreviousAttempt | undefined;
  /** Earliest time at which the task can be placed, in milliseconds. */
  notBeforeMs: number;
  /** Number of times that the task was preempted. */
  preemptions: number;
  /** Number of times that the task was moved off a departing worker. */
  moves: number;
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
  /** The stages of the open occurrences. */
  readonly stages: Map<string, StageRun>;
  /** Parts of the progress that differ from their records. */
  readonly changedParts: Set<number>;
  /** Later parts of the progress that have records. */
  readonly recordedParts: Set<number>;
  readonly occurrences: OccurrenceTracker;
  /**
   * Recorded progress of the occurrences that haven't been opened; undefined if
   * none of them has any.
   */
  recorded: Readonly<JobProgress> | undefined;
  /** First part of the progress whose record is still needed. */
  firstOpenPart: number;
  state: StagedJobState;
  isInherited: boolean;
  /** Whether the job was submitted beyond its team's entitled rate. */
  readonly isOverRate: boolean;
}

/** The end of a job whose record is not durable yet. */
export interface PendingEnd extends DurableProgress {
  readonly ticket: number;
}

/** An attempt that was found and that no task wants. */
export interface UnwantedAttempt {
  readonly team: string;
  readonly size: Resources;
}

/** Sizes of tasks. */
export interface TaskSizes {
  /** What the tasks reserve on their workers. */
  readonly reserved: Resources;
  /** What they use beyond that. */
  readonly unreserved: Resources;
}

/** Tasks of a job that has ended, which may run unseen. */
export interface EndedWork {
  readonly team: string;
  readonly pool: string;
  /** Store version of the job's record. */
  readonly version: number;
  readonly tasks: TaskSizes;
}

/** Tasks of predecessors that aren't found yet and may run. */
export interface UnseenTasks {
  /** Time at which they were summed, in milliseconds. */
  readonly atMs: number;
  /** Their sizes by team and pool. */
  readonly byTeam: ReadonlyMap<string, ReadonlyMap<string, TaskSizes>>;
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
  /** Attempts that were found and are being stopped, by worker and name. */
  readonly unwanted: Map<string, UnwantedAttempt>;
  /**
   * Jobs that a predecessor may have started and that have ended, until all
   * workers have reported.
   */
  endedWork: EndedWork[];
  /** Sizes of tasks that may run unseen; undefined before they are summed. */
  unseenTasks: UnseenTasks | undefined;
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
  const isScheduled = record.spec.schedule !== undefined;
  const job: JobRun = {
    jobId,
    record,
    stages: new Map(),
    changedParts: new Set(),
    recordedParts: new Set(recordedParts),
    occurrences: new OccurrenceTracker({
      total: occurrenceCount(record),
      ...(isScheduled ? listOccurrences(record, progress) : {}),
    }),
    recorded: progress,
    firstOpenPart: 0,
    state: progress?.state ?? StagedJobState.Pending,
    isInherited,
    isOverRate,
  };
  if (!isScheduled) {
    openOccurrence(job, 0);
    job.recorded = undefined;
  }
  return job;
}

/** Returns the occurrences of a scheduled job that the progress tells of. */
function listOccurrences(
  { spec: { stages } }: JobRecord,
  progress: Readonly<JobProgress> | undefined,
): Pick<OccurrenceOptions, "settled" | "done" | "recorded"> {
  if (progress === undefined) {
    return {};
  }
  const { settled = 0, marks, checkpoints, crashes = {}, failures = {} } =
    progress;
  const doneStages = new Map<number, number>();
  for (const [key, text] of Object.entries(marks)) {
    const { occurrence, stage } = parseStageKey(key);
    const tasks = stages[stage]?.tasks;
    const isDone = tasks !== undefined && text === DONE_MARK.repeat(tasks);
    const count = doneStages.get(occurrence) ?? 0;
    doneStages.set(occurrence, count + (isDone ? 1 : 0));
  }
  const others = [checkpoints, crashes, failures].flatMap(Object.keys);
  for (const key of others) {
    const { occurrence } = parseStageKey(key);
    doneStages.set(occurrence, doneStages.get(occurrence) ?? 0);
  }
  const found = [...doneStages.keys()]
    .filter((occurrence) => occurrence >= settled)
    .sort((a, b) => a - b);
  const isDone = (occurrence: number) =>
    doneStages.get(occurrence) === stages.length;
  return {
    settled,
    done: found.filter(isDone),
    recorded: found.filter((occurrence) => !isDone(occurrence)),
  };
}

/** Parses the key of a stage, or of one of its tasks. */
function parseStageKey(
  key: string,
): { readonly occurrence: number; readonly stage: number } {
  const [occurrence, stage] = key.split(".");
  return { occurrence: Number(occurrence), stage: Number(stage) };
}

/** Adds the stages of an occurrence to the job and returns them. */
export function openOccurrence(job: JobRun, occurrence: number): StageRun[] {
  let firstTask = occurrence * tasksPerOccurrence(job.record.spec);
  job.occurrences.open(occurrence);
  return job.record.spec.stages.map((spec, number) => {
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
    for (let index = 0; index < spec.tasks; index++) {
      const task = createTaskRun(
        stage,
        index,
        recordedTask(job.recorded, key, index),
      );
      stage.doneCount += task.phase === TaskPhase.Done ? 1 : 0;
      stage.tasks.push(task);
    }
    job.stages.set(key, stage);
    firstTask += spec.tasks;
    return stage;
  });
}

/** What the records tell of a task. */
interface TaskProgress {
  readonly mark: string;
  readonly checkpoint: string;
  readonly crashes: number;
  readonly failures: TaskFailures | undefined;
}

const DONE_TASK: TaskProgress = {
  mark: DONE_MARK,
  checkpoint: "",
  crashes: 0,
  failures: undefined,
};

function recordedTask(
  progress: Readonly<JobProgress> | undefined,
  key: string,
  index: number,
): TaskProgress {
  const mark = progress?.marks[key]?.[index] ?? OPEN_MARK;
  return mark === DONE_MARK ? DONE_TASK : {
    mark,
    checkpoint: progress?.checkpoints[taskKey(key, index)] ?? "",
    crashes: progress?.crashes?.[taskKey(key, index)] ?? 0,
    failures: progress?.failures?.[taskKey(key, index)],
  };
}

function createTaskRun(
  stage: StageRun,
  index: number,
  { mark, checkpoint, crashes, failures }: TaskProgress,
): TaskRun {
  const isDone = mark === DONE_MARK;
  const marked = isDone ? 0 : Number(mark);
  return {
    stage,
    index,
    phase: isDone ? TaskPhase.Done : TaskPhase.Waiting,
    attempt: 0,
    workerId: "",
    placedMs: 0,
    isStopping: false,
    isRunning: false,
    start: AttemptStart.Fresh,
    confirmedMs: undefined,
    failures: new FailureLog(failures ?? { count: marked, attempts: [] }),
    crashes,
    isolatedSinceMs: undefined,
    isIsolationWaived: false,
    checkpoint,
    percent: 0,
    progressedMs: 0,
    failedOn: new Set(),
    isInherited: stage.job.isInherited,
    abandonedAttempt: 0,
    previous: undefined,
    notBeforeMs: 0,
    preemptions: 0,
    moves: 0,
  };
}

/**
 * Removes the stages of an occurrence all of whose tasks are done, so that
 * finished occurrences cost nothing.
 */
export function closeOccurrence(job: JobRun, occurrence: number): void {
  job.occurrences.finish(occurrence);
  job.record.spec.stages.forEach((_, number) =>
    job.stages.delete(stageKey(occurrence, number))
  );
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
  const { spec } = job.record;
  const noteTasks = (key: string, from: number, to: number) => {
    const { occurrence, stage } = parseStageKey(key);
    const firstTask = occurrence * tasksPerOccurrence(spec) +
      tasksBefore(spec, stage);
    const last = progressPartOf(firstTask + to);
    for (let part = progressPartOf(firstTask + from); part <= last; part++) {
      if (part > 0) {
        job.changedParts.add(part);
      }
    }
  };
  for (const [key, { length }] of Object.entries(first.marks)) {
    noteTasks(key, first.offsets?.[key] ?? 0, length - 1);
  }
  for (const key of Object.keys(first.checkpoints)) {
    const index = Number(key.slice(key.lastIndexOf(".") + 1));
    noteTasks(key, index, index);
  }
}

/** Returns the number of tasks in the stages before the given one. */
function tasksBefore({ stages }: StagedJobSpec, stage: number): number {
  return stages.slice(0, stage).reduce((sum, { tasks }) => sum + tasks, 0);
}

/** Returns the first part of the progress with a task that isn't done. */
export function findFirstOpenPart({ record, occurrences }: JobRun): number {
  return progressPartOf(
    occurrences.settled * tasksPerOccurrence(record.spec),
  );
}

/** Returns a part of the progress of the job to be recorded. */
export function progressOf(job: Readonly<JobRun>, part: number): JobProgress {
  const progress: JobProgress = {
    state: job.state,
    marks: {},
    checkpoints: {},
  };
  const { settled } = job.occurrences;
  if (part === 0 && settled > 0 && job.record.spec.schedule !== undefined) {
    progress.settled = settled;
  }
  for (const { occurrence, key, from, to } of slicesInPart(job, part)) {
    const marks: string[] = [];
    for (let index = from; index < to; index++) {
      const { mark, checkpoint, crashes, failures } = taskProgress(
        job,
        { occurrence, key, index },
      );
      marks.push(mark);
      if (checkpoint !== "") {
        progress.checkpoints[taskKey(key, index)] = checkpoint;
      }
      if (failures !== undefined) {
        progress.failures ??= {};
        progress.failures[taskKey(key, index)] = failures;
      }
      if (crashes > 0) {
        progress.crashes ??= {};
        progress.crashes[taskKey(key, index)] = crashes;
      }
    }
    if (marks.some((mark) => mark !== OPEN_MARK)) {
      progress.marks[key] = marks.join("");
      if (from > 0) {
        progress.offsets ??= {};
        progress.offsets[key] = from;
      }
    }
  }
  return progress;
}

/** Consecutive tasks of a stage of one occurrence. */
interface TaskSlice {
  readonly occurrence: number;
  readonly key: string;
  readonly from: number;
  /** Index after the last task. */
  readonly to: number;
}

/** Returns the tasks of a part of the job's progress, by their stages. */
function* slicesInPart(
  { record }: Readonly<JobRun>,
  part: number,
): Generator<TaskSlice> {
  const { spec } = record;
  const begin = part * TASKS_PER_PART;
  const end = begin + TASKS_PER_PART;
  const perOccurrence = tasksPerOccurrence(spec);
  let occurrence = Math.floor(begin / perOccurrence);
  let firstTask = occurrence * perOccurrence;
  for (
    ;
    occurrence < occurrenceCount(record) && firstTask < end;
    occurrence++
  ) {
    for (const [number, { tasks }] of spec.stages.entries()) {
      const from = Math.max(0, begin - firstTask);
      const to = Math.min(tasks, end - firstTask);
      if (from < to) {
        yield { occurrence, key: stageKey(occurrence, number), from, to };
      }
      firstTask += tasks;
    }
  }
}

function taskProgress(
  { occurrences, stages, recorded }: Readonly<JobRun>,
  { occurrence, key, index }: {
    readonly occurrence: number;
    readonly key: string;
    readonly index: number;
  },
): TaskProgress {
  if (occurrences.isDone(occurrence)) {
    return DONE_TASK;
  }
  const task = stages.get(key)?.tasks[index];
  if (task === undefined) {
    return recordedTask(recorded, key, index);
  }
  const { checkpoint, crashes, failures } = task;
  return task.phase === TaskPhase.Done ? DONE_TASK : {
    mark: String(Math.min(failures.count, MAX_MARKED_FAILURES)),
    checkpoint,
    crashes,
    failures: failures.count > 0 ? failures.record : undefined,
  };
}

/** Finds a stage by its name. */
export function findStage(update: Update, name: string): StageRun | undefined {
  const end = name.indexOf(".");
  return update.read(DISPATCH_STATE).jobs.get(name.slice(0, end))
    ?.stages.get(name.slice(end + 1));
}

/** The numbers in the name of a task. */
interface ParsedTaskName {
  readonly jobId: string;
  readonly occurrence: number;
  readonly stage: number;
}

/** Parses the name of a task; undefined if it isn't one. */
export function parseTaskName(name: string): ParsedTaskName | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.\d+$/.exec(name);
  return match === null ? undefined : {
    jobId: match[1]!,
    occurrence: Number(match[2]),
    stage: Number(match[3]),
  };
}

/** Finds the specification of the stage that a task's name belongs to. */
export function findStageSpec(
  update: Update,
  task: string,
): StageSpec | undefined {
  const { jobId, stage } = parseTaskName(task) ?? { jobId: "", stage: 0 };
  return update.read(DISPATCH_STATE).jobs.get(jobId)
    ?.record.spec.stages[stage];
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

/** Returns whether every task of the stage's occurrence succeeded. */
export function isOccurrenceDone({ job, occurrence }: StageRun): boolean {
  return job.record.spec.stages.every((_, number) => {
    const stage = job.stages.get(stageKey(occurrence, number));
    return stage !== undefined && isStageDone(stage);
  });
}

/** Returns whether the job has not ended, so that its tasks can start. */
export function isOpen(job: JobRun): boolean {
  return !isFinal(job.state);
}

/** Returns the resources that a task of the stage reserves on a worker. */
export function reservedSize(
  { spec }: { readonly spec: StageSpec },
): Resources {
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
