import { createHash } from "node:crypto";
import {
  formatJobId,
  JobKind,
  type JobSpec,
  taskSize,
} from "@mustardweir/model";
import {
  GangPhase,
  type HomeJob,
  type HomeTask,
  TaskState,
} from "./home_state.ts";

/** Number of hexadecimal digits in a job id, after the team. */
const JOB_ID_DIGITS = 24;

/** Hash of a spec that is only partly known; every repeat is taken as equal. */
export const UNKNOWN_SPEC_HASH = "";

/** Returns the id of the job that `team` submitted under an idempotency key. */
export function jobIdOf(team: string, idempotencyKey: string): string {
  const digest = hash(JSON.stringify([team, idempotencyKey]));
  return formatJobId(team, digest.slice(0, JOB_ID_DIGITS));
}

/** Returns the SHA-256 hash of a spec, in hexadecimal. */
export function hashSpec(spec: JobSpec): string {
  return hash(JSON.stringify(spec));
}

/**
 * False for idempotent requests: their callers wait, and repeat them if lost.
 */
export function needsJournal(spec: JobSpec): boolean {
  return spec.kind !== JobKind.Request || !spec.idempotent;
}

export interface CreateJobOptions {
  readonly jobId: string;
  readonly spec: JobSpec;
  readonly specHash: string;
  readonly now: number;
}

/** Creates a job whose tasks all wait. */
export function createJob(options: CreateJobOptions): HomeJob {
  const { jobId, spec, specHash, now } = options;
  const journaled = needsJournal(spec);
  const job: HomeJob = {
    jobId,
    spec,
    specHash,
    size: taskSize(spec),
    tasks: [],
    endedTasks: 0,
    tasksBySlice: new Map(),
    journaled,
    createdAt: now,
    accepted: !journaled,
    startBy: now + (spec.startWithinMs ?? Infinity),
    firstStartAt: undefined,
    mayHaveRun: false,
    cancelled: false,
    gang: GangPhase.Idle,
    gangRetryAt: 0,
    accumulatesHolds: false,
    outcome: undefined,
    reason: undefined,
    answer: undefined,
    endRecorded: false,
    endedAt: Infinity,
    acceptWaiters: [],
    endWaiters: [],
    cancelWaiters: [],
  };
  for (let index = 0; index < spec.tasks; index++) {
    job.tasks.push(createTask(job, index));
  }
  return job;
}

function createTask(job: HomeJob, index: number): HomeTask {
  return {
    job,
    index,
    state: TaskState.Pending,
    seq: 0,
    taskId: "",
    sliceId: "",
    sliceEpoch: 0,
    instanceId: "",
    askedAt: 0,
    lastSentAt: 0,
    withdrawn: false,
    stopping: false,
    startRecorded: false,
    checkpoint: undefined,
    failures: 0,
    endReason: undefined,
  };
}

/** Returns the id of the current attempt of a task; see {@link taskIndexOf}. */
export function formatTaskId(task: HomeTask, epoch: number): string {
  return `${task.job.jobId}#${task.index}.${epoch}.${task.seq}`;
}

/** Returns the index of the task to which an attempt's task id belongs. */
export function taskIndexOf(taskId: string): number {
  const attempt = taskId.slice(taskId.lastIndexOf("#") + 1);
  return Number.parseInt(attempt, 10);
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
