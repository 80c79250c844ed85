import type { JobQueue } from "./desired_state.ts";
import { NO_RESOURCES, type Resources } from "./resources.ts";

/** The state of a staged job, as reported to callers. */
export enum StagedJobState {
  Pending = "pending",
  Running = "running",
  Completed = "completed",
  Failed = "failed",
  Cancelled = "cancelled",
}

/** Tasks of the same size that become ready at the same time. */
export interface StageSpec {
  readonly tasks: number;
  readonly size: Resources;
  /** The caller's rough estimate of a task's run time, in milliseconds. */
  readonly estimateMs: number;
  /** Indices of earlier stages whose tasks must all be done first. */
  readonly dependsOn: readonly number[];
  readonly checkpoints: boolean;
  /** Whether all tasks must run at the same time or not at all. */
  readonly gang: boolean;
  /** Whether the tasks of a gang are slower when they span racks. */
  readonly sameRack: boolean;
  /** Label that a worker must have; empty for any worker. */
  readonly requiredLabel: string;
  /** Rack that stores the data of the stage; empty for none. */
  readonly preferredRack: string;
  /** Maximum number of tasks per occurrence and worker; 0 for no limit. */
  readonly maxPerWorker: number;
  /** Whether several copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Whether tasks run until cancellation and are restarted when they end. */
  readonly lasting: boolean;
  /** Name of the program of the tasks; tasks of one image behave alike. */
  readonly image: string;
  /** Tail latency that a serving task must stay below; 0 for none. */
  readonly latencyObjectiveMs: number;
  /** Whether tasks use only idle resources; their processors aren't counted. */
  readonly bestEffort: boolean;
  /** Maximum number of lasting tasks that the scheduler may stop at a time. */
  readonly disruptionBudget: number;
}

/**
 * Creates a stage from `options`; the default is one task without resources.
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

/** A staged job as a caller submits it. */
export interface StagedJobSpec {
  /** Passed to the workers unchanged. */
  readonly payload: string;
  readonly stages: readonly StageSpec[];
  readonly schedule?: JobSchedule;
}

/** A job as recorded at its acceptance; never changed afterwards. */
export interface JobRecord {
  /** The queue at the time of acceptance; it may be removed later. */
  readonly queue: JobQueue;
  readonly team: string;
  readonly spec: StagedJobSpec;
  /** Store clock at the time of acceptance, in milliseconds. */
  readonly acceptedMs: number;
}

/** Failures of a task, or of a gang. */
export interface TaskFailures {
  readonly count: number;
  /** The latest attempts that were counted, in the order of their counting. */
  readonly attempts: readonly number[];
}

/** The progress of a job that is stored durably. */
export interface JobProgress {
  state: StagedJobState;
  /** Marks of consecutive tasks of each stage, by {@link stageKey}. */
  marks: Record<string, string>;
  /** Index of the first of them, by {@link stageKey}; 0 for those left out. */
  offsets?: Record<string, number>;
  /** Newest checkpoint of tasks that are not done, by {@link taskKey}. */
  checkpoints: Record<string, string>;
  /**
   * Number of workers that crashed just after they had started a task, by
   * {@link taskKey}; absent if none did.
   */
  crashes?: Record<string, number>;
  /**
   * Failures of tasks that are not done, by {@link taskKey}; those of a gang are
   * with its first task. Absent if there are none, and in records of earlier
   * versions, which have the marks alone.
   */
  failures?: Record<string, TaskFailures>;
  /**
   * Number of leading occurrences all of whose tasks are done; later records
   * may leave their marks out. Absent for 0 and without a schedule.
   */
  settled?: number;
  /** Store clock when the job reached a final state, in milliseconds. */
  endedMs?: number;
}

/** Mark of a task that is done. */
export const DONE_MARK = "d";
/** Mark of a task that is not done and has no failures; a digit counts them. */
export const OPEN_MARK = "0";
/** Highest number of failures that a mark can represent. */
export const MAX_MARKED_FAILURES = 9;

/**
 * Returns whether a job in this state can't change any more.
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
 * Returns the key of a stage of one occurrence, unique within its job.
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
 * Returns the key of a task, unique within its job.
 *
 * @example
 * ```ts
 * taskKey("0.1", 17); // "0.1.17"
 * ```
 */
export function taskKey(stage: string, index: number): string {
  return `${stage}.${index}`;
}
