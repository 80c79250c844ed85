import { z } from "zod";
import type { Resources } from "./resources.ts";

/** The kinds of work. */
export enum JobKind {
  /** Runs until it is cancelled. */
  Service = "service",
  /** Runs to its end; its tasks start one by one. */
  Batch = "batch",
  /** All tasks start together or none does. */
  Gang = "gang",
  /** One task whose answer returns on the caller's connection. */
  Request = "request",
}

/** How soon a job's tasks have their turn. */
export enum Priority {
  Normal = "normal",
  /** May take the place of work that is not urgent. */
  Urgent = "urgent",
}

/** What became of work that a caller submitted. */
export enum Outcome {
  /** It ran; see the end reason for how it ended. */
  Done = "done",
  /** No part of it has run, nor will. */
  NotRun = "not-run",
  /** It may or may not have run. */
  Unknown = "unknown",
}

/** How far a job has come. */
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
  /** Stopped to give its place away; it will run again. */
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
  /** False: the work runs at most once, whatever fails. */
  idempotent: z.boolean().default(true),
  /** Declared run time in milliseconds; often wrong. */
  durationMs: z.int().positive().max(MAX_DURATION_MS).optional(),
  /** The work is of no use when it has not started within this time. */
  startWithinMs: z.int().positive().max(MAX_DURATION_MS).optional(),
  /** Handed to the task as it is. */
  payload: z.string().max(MAX_PAYLOAD_CHARS).default(""),
}).refine((spec) => spec.kind !== JobKind.Request || spec.tasks === 1, {
  message: "a request has one task",
  path: ["tasks"],
});

/** A job as it was submitted, checked and with defaults filled in. */
export type JobSpec = z.infer<typeof jobSpecSchema>;

/**
 * What one task of `spec` takes from an instance.
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

/** A job as callers see it. */
export interface JobStatus {
  readonly jobId: string;
  readonly team: string;
  readonly state: JobState;
  readonly outcome?: Outcome;
  readonly reason?: EndReason;
  readonly tasksTotal: number;
  readonly tasksRunning: number;
  readonly tasksEnded: number;
  /** What the job waits for, or why it can't run. */
  readonly explanation?: string;
  /** The answer of a request. */
  readonly answer?: string;
  /** Time from acceptance to the first start, in milliseconds. */
  readonly waitedMs?: number;
}

/**
 * Makes the id of a job; the team is part of it so that it can be routed.
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
 * The team in a job id; empty when the id is malformed.
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
