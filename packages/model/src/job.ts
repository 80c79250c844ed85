import * as z from "zod";
import type { Resources } from "./resources.ts";

/** The kinds of work. */
export enum JobKind {
  /** Runs until it is cancelled. */
  Service = "service",
  /** Runs to completion; its tasks start independently of each other. */
  Batch = "batch",
  /** Starts all of its tasks together or none of them. */
  Gang = "gang",
  /** One task whose answer is returned on the caller's connection. */
  Request = "request",
}

/** How urgently a job's tasks are scheduled. */
export enum Priority {
  Normal = "normal",
  /** May preempt work that is not urgent. */
  Urgent = "urgent",
}

/** Whether work that a caller submitted has run. */
export enum Outcome {
  /** It ran; see the end reason for how it ended. */
  Done = "done",
  /** No part of it has run or will run. */
  NotRun = "not-run",
  /** It may or may not have run. */
  Unknown = "unknown",
}

/** The state of a job. */
export enum JobState {
  Waiting = "waiting",
  Running = "running",
  Ended = "ended",
}

/** Why a job or task ended. */
export enum EndReason {
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
  /** It can never run on this fleet. */
  Impossible = "impossible",
  DeadlinePassed = "deadline-passed",
  /** Its instance was lost while it ran. */
  Lost = "lost",
  /** Stopped to free its resources for other work; it will run again. */
  Preempted = "preempted",
}

const MAX_TASKS = 10_000;
const MAX_CORES = 100_000;
const MAX_MEMORY_MB = 1_000_000_000;
const MAX_ACCELERATORS = 10_000;
const MAX_DURATION_MS = 366 * 24 * 60 * 60 * 1000;
const MAX_PAYLOAD_CHARS = 64 * 1024;

/** The body of `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  kind: z.enum(JobKind),
  name: z.string().max(128).default(""),
  /** Cores of one task. */
  cpu: z.number().positive().max(MAX_CORES),
  /** Memory of one task, in megabytes. */
  memoryMb: z.int().positive().max(MAX_MEMORY_MB),
  /** Accelerators of one task. */
  accelerators: z.int().nonnegative().max(MAX_ACCELERATORS).default(0),
  /** Number of tasks. */
  tasks: z.int().positive().max(MAX_TASKS).default(1),
  priority: z.enum(Priority).default(Priority.Normal),
  /** If false, each task runs at most once, even after a failure. */
  idempotent: z.boolean().default(true),
  /** Declared run time in milliseconds; often inaccurate. */
  durationMs: z.int().positive().max(MAX_DURATION_MS).optional(),
  /** Time after which the job is useless if it has not started, in ms. */
  startWithinMs: z.int().positive().max(MAX_DURATION_MS).optional(),
  /** Passed to the task unchanged. */
  payload: z.string().max(MAX_PAYLOAD_CHARS).default(""),
}).refine((spec) => spec.kind !== JobKind.Request || spec.tasks === 1, {
  message: "a request has one task",
  path: ["tasks"],
});

/** A submitted job after validation, with defaults filled in. */
export type JobSpec = z.infer<typeof jobSpecSchema>;

/**
 * Returns the resources that one task of `spec` occupies on an instance.
 *
 * @example
 * ```ts
 * taskSize(jobSpecSchema.parse({ kind: "batch", cpu: 2, memoryMb: 512 }));
 * // { cpuMillis: 2000, memoryMb: 512, accelerators: 0, slots: 1 }
 * ```
 */
export function taskSize(spec: JobSpec): Resources {
  return {
    cpuMillis: Math.ceil(spec.cpu * 1000),
    memoryMb: spec.memoryMb,
    accelerators: spec.accelerators,
    slots: 1,
  };
}

/** The state of a job as reported to callers. */
export interface JobStatus {
  readonly jobId: string;
  readonly team: string;
  readonly state: JobState;
  readonly outcome?: Outcome;
  readonly reason?: EndReason;
  readonly tasksTotal: number;
  readonly tasksRunning: number;
  readonly tasksEnded: number;
  /** Why the job is waiting, or why it can't run. */
  readonly explanation?: string;
  /** The answer of a request. */
  readonly answer?: string;
  /** Time from acceptance to the first start, in milliseconds. */
  readonly waitedMs?: number;
}

/**
 * Formats a job id; calls for the job are routed by the team in it.
 *
 * @example
 * ```ts
 * formatJobId("search", "4f1c"); // "search.4f1c"
 * ```
 */
export function formatJobId(team: string, suffix: string): string {
  return `${team}.${suffix}`;
}

/**
 * Returns the team in a job id; an empty string if the id is malformed.
 *
 * @example
 * ```ts
 * teamOfJobId("search.4f1c"); // "search"
 * ```
 */
export function teamOfJobId(jobId: string): string {
  const dot = jobId.lastIndexOf(".");
  return dot > 0 ? jobId.slice(0, dot) : "";
}
