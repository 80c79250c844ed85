import type { Resources } from "./resources.ts";

/** Costs of asking the external placement policy, in milliseconds. */
export interface PermitPolicy {
  /** Time of a call before the first worker is judged. */
  readonly decideMs: number;
  /** Time for each worker named. */
  readonly perWorkerMs: number;
  /** How long a permit holds. */
  readonly validMs: number;
}

/** Where jobs of one kind are handed in. */
export interface JobQueue {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Pool whose workers run the jobs. */
  readonly pool: string;
  /** 0 is the most urgent and may preempt others. */
  readonly priority: number;
  /** Failures of a task after which its job has failed. */
  readonly maxAttempts: number;
  /** Allowance over the job's own run time, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Allowed multiple of the job's own run time. */
  readonly stretch: number;
  /** Callers need no key. */
  readonly isPublic: boolean;
  /** Given when workers need a permit for each stage. */
  readonly permits?: PermitPolicy;
}

/** Workers that serve the same queues. */
export interface WorkerPool {
  readonly name: string;
  /** The workers refuse what doesn't fit by themselves. */
  readonly guardsCapacity: boolean;
  /** Switched off: its machines run no worker. */
  readonly isSpare: boolean;
}

/** Who shares the workers. */
export interface FleetTeam {
  readonly name: string;
  readonly keys: readonly string[];
  readonly share: number;
  /** Jobs a second that go before what other teams hand in; 0 for no limit. */
  readonly jobsPerS: number;
  /** Most that may run at once; 0 in a dimension for no limit. */
  readonly ceiling: Resources;
}

/** One version of what operators want, in full. */
export interface DesiredState {
  readonly version: number;
  readonly queues: readonly JobQueue[];
  readonly pools: readonly WorkerPool[];
  readonly teams: readonly FleetTeam[];
}

/** Whether a worker takes work. */
export enum WorkerState {
  Ready = "ready",
  Draining = "draining",
}

/** A worker as it registered itself. */
export interface WorkerInfo {
  readonly id: string;
  /** Start time of this life, Unix milliseconds; 0 when it isn't told. */
  readonly incarnation: number;
  readonly pool: string;
  /** host:port */
  readonly address: string;
  readonly zone: string;
  readonly state: WorkerState;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
}

/** A request that each of these machines is serviced once. */
export interface MaintenanceWave {
  readonly wave: number;
  readonly machines: readonly string[];
  readonly withinMs: number;
  /** Most machines that may be down at once. */
  readonly concurrency: number;
}
