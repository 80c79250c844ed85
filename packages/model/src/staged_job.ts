import type { JobQueue } from "./desired_state.ts";
import { NO_RESOURCES, type Resources } from "./resources.ts";

/** Where a staged job stands, as callers are told. */
export enum StagedJobState {
  Pending = "pending",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Tasks of one size that become ready together. */
export interface StageSpec {
  readonly tasks: number;
  readonly size: Resources;
  /** The caller's rough guess of a task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** Earlier stages whose tasks must all be done first. */
  readonly dependsOn: readonly number[];
  readonly checkpoints: boolean;
  /** All tasks run together or not at all. */
  readonly gang: boolean;
  /** The tasks of a gang are slow when they span racks. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for any worker. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for none. */
  readonly preferredRack: string;
  /** Most tasks of one occurrence on one worker; 0 for no limit. */
  readonly maxPerWorker: number;
  /** Copies of a task may run side by side. */
  readonly speculative: boolean;
  /** Runs until the job is cancelled and is restarted however it ends. */
  readonly lasting: boolean;
  /** Names what the tasks run; tasks of one image behave alike. */
  readonly image: string;
  /** Tail latency that a serving task must stay below; 0 for none. */
  readonly latencyObjectiveMs: number;
  /** Runs on what other tasks leave unused; its processors aren't counted. */
  readonly bestEffort: boolean;
  /** Lasting tasks that the scheduler may take down at the same time. */
  readonly disruptionBudget: number;
}

/**
 * A stage of one task with nothing but what `options` names.
 *
 * @example
 * ```ts
 * plainStage({ tasks: 8, estimateMs: 900 });
 * ```
 */
export function plainStage(options: Partial<StageSpec> = {}): StageSpec {
  return {
    tasks: 1,
    size: NO_RESOURCES,
    estimateMs: 0,
    dependsOn: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: "",
    preferredRack: "",
    maxPerWorker: 0,
    speculative: false,
    lasting: false,
    image: "",
    latencyObjectiveMs: 0,
    bestEffort: false,
    disruptionBudget: 0,
    ...options,
  };
}

/** Occurrences of a scheduled job. */
export interface JobSchedule {
  /** Due time of the first occurrence, Unix milliseconds. */
  readonly firstDueMs: number;
  readonly intervalMs: number;
  readonly occurrences: number;
}

/** What a caller hands in. */
export interface StagedJobSpec {
  /** Passed to the workers unread. */
  readonly payload: string;
  readonly stages: readonly StageSpec[];
  readonly schedule?: JobSchedule;
}

/** A job as it is recorded when it is accepted; never changed afterwards. */
export interface JobRecord {
  /** The queue as it was at the acceptance; it may be removed later. */
  readonly queue: JobQueue;
  readonly team: string;
  readonly spec: StagedJobSpec;
  /** Store clock at the acceptance, in milliseconds. */
  readonly acceptedMs: number;
}

/** What is durable of a job's run. */
export interface JobProgress {
  state: StagedJobState;
  /** Marks of the tasks of each stage, by {@link stageKey}. */
  marks: Record<string, string>;
  /** Newest checkpoint of tasks that are not done, by {@link taskKey}. */
  checkpoints: Record<string, string>;
  /** Store clock when the job reached a final state, in milliseconds. */
  endedMs?: number;
}

/** Mark of a task that is done. */
export const DONE_MARK = "d";
/** Mark of a task that never failed and is not done; failures are counted. */
export const OPEN_MARK = "0";
/** Highest count of failures that a mark can hold. */
export const MAX_MARKED_FAILURES = 9;

/**
 * True when a job of this state changes no more.
 *
 * @example
 * ```ts
 * isFinal(StagedJobState.Cancelled); // true
 * ```
 */
export function isFinal(state: StagedJobState): boolean {
  return state !== StagedJobState.Pending && state !== StagedJobState.Running;
}

/**
 * Names a stage of an occurrence within its job.
 *
 * @example
 * ```ts
 * stageKey(0, 1); // "0.1"
 * ```
 */
export function stageKey(occurrence: number, stage: number): string {
  return `${occurrence}.${stage}`;
}

/**
 * Names a task within its job.
 *
 * @example
 * ```ts
 * taskKey("0.1", 17); // "0.1.17"
 * ```
 */
export function taskKey(stage: string, index: number): string {
  return `${stage}.${index}`;
}
