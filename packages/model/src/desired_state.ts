import type { Resources } from "./resources.ts";

/** Timing of the external placement policy, in milliseconds. */
export interface PermitPolicy {
  /** Fixed time of a call, without the time for each worker. */
  readonly decideMs: number;
  /** Additional time of a call for each worker that it names. */
  readonly perWorkerMs: number;
  /** Time for which a permit is valid. */
  readonly validMs: number;
}

/** A queue to which jobs of one kind are submitted. */
export interface JobQueue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Pool whose workers run the jobs. */
  readonly pool: string;
  /** 0 is the most urgent and may preempt others. */
  readonly priority: number;
  /** Number of failures of one task after which its job fails. */
  readonly maxAttempts: number;
  /** Time allowed in addition to the job's own run time, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Allowed multiple of the job's own run time. */
  readonly stretch: number;
  /** Whether callers may submit without a key. */
  readonly isPublic: boolean;
  /** Set if starting a stage on a worker requires a permit. */
  readonly permits?: PermitPolicy;
}

/** Workers that serve the same queues. */
export interface WorkerPool {
  readonly name: string;
  /** Whether the workers refuse tasks that exceed their capacity. */
  readonly guardsCapacity: boolean;
  /** Whether the pool is switched off: its machines run no worker. */
  readonly isSpare: boolean;
}

/** A team that shares the workers with the other teams. */
export interface FleetTeam {
  readonly name: string;
  readonly keys: readonly string[];
  readonly share: number;
  /**
   * The team's rate in jobs per second; jobs over this rate wait for the other
   * jobs. 0 for no limit.
   */
  readonly jobsPerS: number;
  /** Limit on resources in use at a time; 0 in a dimension for no limit. */
  readonly ceiling: Resources;
}

/** One complete version of the state that operators request. */
export interface DesiredState {
  readonly version: number;
  readonly queues: readonly JobQueue[];
  readonly pools: readonly WorkerPool[];
  readonly teams: readonly FleetTeam[];
}

/** Whether a worker accepts new work. */
export enum WorkerState {
  Ready = "ready",
  Draining = "draining",
}

/** A worker's properties, as sent in its registration. */
export interface WorkerInfo {
  readonly id: string;
  /** Start time of the worker process, Unix milliseconds; 0 if not reported. */
  readonly incarnation: number;
  readonly pool: string;
  /** host:port */
  readonly address: string;
  readonly zone: string;
  readonly state: WorkerState;
  /**
   * Shortest time that the worker remains, counted from when it wrote this, in
   * milliseconds; absent without a departure notice.
   */
  readonly remainingMs?: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
}

/** A request to take each of these machines down once for maintenance. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly machines: readonly string[];
  readonly withinMs: number;
  /** Maximum number of machines that may be down at the same time. */
  readonly concurrency: number;
}
