import {
  type Configuration,
  type EndReason,
  type JobKind,
  type JobSpec,
  type JobStatus,
  type Resources,
  taskSize,
} from "@mustardweir/model";
import type { Role } from "@mustardweir/kernel";
import type { CallerAnswer, CallerCall } from "@mustardweir/protocol";
import { taskIndexOf } from "./task_ids.ts";
import {
  type RunEnded,
  RunListener,
  type RunStarted,
} from "./simulation/worker_host.ts";

/** One attempt of a task as its worker ran it; in virtual milliseconds. */
export interface Run {
  readonly taskId: string;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly team: string;
  readonly kind: JobKind;
  readonly idempotent: boolean;
  readonly size: Resources;
  /** Name of the submission, taken from the task's payload. */
  readonly submission: string;
  readonly instanceId: string;
  readonly startedAt: number;
  /** Infinity while the attempt runs. */
  endedAt: number;
  reason?: EndReason;
}

/** A job that a caller submits; its name is the idempotency key. */
export interface Submission {
  readonly name: string;
  readonly team: string;
  readonly spec: JobSpec;
}

/** An answer and the virtual time at which it arrived, in milliseconds. */
export interface TimedAnswer {
  readonly at: number;
  readonly answer: CallerAnswer;
}

/** One call of a caller and all answers to it. */
export interface Call {
  readonly requestId: string;
  readonly entryId: string;
  readonly incarnation: string;
  readonly keyId: string;
  /** Team of the key; undefined for the operator's and for unknown keys. */
  readonly team?: string;
  readonly call: CallerCall;
  readonly submission?: Submission;
  readonly sentAt: number;
  readonly ttlMs: number;
  readonly answers: TimedAnswer[];
  /** Whether the entry was killed or paused before it answered the call. */
  isInterrupted: boolean;
}

/** A version of the configuration that was committed to the table. */
export interface Version {
  readonly configuration: Configuration;
  readonly committedAt: number;
}

/** The configuration that a process has in force at a point in time. */
export interface Probe {
  readonly at: number;
  readonly nodeId: string;
  readonly incarnation: string;
  readonly version: number;
  /** Whether the process may act on its configuration. */
  readonly isConfirmed: boolean;
}

/** A planned stop of a process. */
export interface Stop {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly role: Role;
  readonly at: number;
  stoppedAt?: number;
  /** Whether the process was killed or paused before it had stopped. */
  isInterrupted: boolean;
}

/** A period in which the platform lists an instance as leaving. */
export interface Leaving {
  readonly instanceId: string;
  readonly at: number;
  until: number;
}

/** Records the events of a simulation run for the oracles. */
export class History extends RunListener {
  readonly runs: Run[] = [];
  readonly calls = new Map<string, Call>();
  readonly submissions = new Map<string, Submission>();
  readonly versions: Version[] = [];
  /** Number of schedulers in the cluster. */
  schedulers = 0;
  readonly probes: Probe[] = [];
  readonly stops: Stop[] = [];
  readonly leaving: Leaving[] = [];
  /** Times at which faults were injected; planned stops are not faults. */
  readonly faults: number[] = [];
  /** Times at which the faults of the platform changed. */
  readonly platform: { readonly at: number; readonly isFaulty: boolean }[] = [];
  /** Time at which all faults were removed. */
  healedAt = Infinity;
  /** End of the run; answers that were due later are not required. */
  endedAt = Infinity;
  /** The latest listed status of each accepted job, by job id. */
  readonly finalJobs = new Map<string, JobStatus>();
  readonly #open = new Map<string, Run>();

  override started({ task, instanceId, startedMs }: RunStarted): void {
    const spec = submissionSpec(this, task.payload);
    const run: Run = {
      taskId: task.taskId,
      jobId: task.jobId,
      taskIndex: taskIndexOf(task.taskId),
      team: task.team,
      kind: task.kind,
      idempotent: spec?.idempotent ?? task.idempotent,
      size: spec === undefined ? task.size : taskSize(spec),
      submission: submissionName(task.payload),
      instanceId,
      startedAt: startedMs,
      endedAt: Infinity,
    };
    this.runs.push(run);
    this.#open.set(`${instanceId} ${task.taskId}`, run);
  }

  override ended({ task, instanceId, endedMs, end }: RunEnded): void {
    const run = this.#open.get(`${instanceId} ${task.taskId}`);
    if (run !== undefined) {
      run.endedAt = endedMs;
      run.reason = end.reason;
    }
  }

  /** Returns whether the platform had no fault from `from` to `to`. */
  isPlatformHealthy(from: number, to: number): boolean {
    const changes = this.platform.filter(({ at }) => at <= to);
    const before = changes.filter(({ at }) => at <= from).at(-1);
    return !before?.isFaulty &&
      !changes.some(({ at, isFaulty }) => at > from && isFaulty);
  }

  /** Returns the versions that were in force at any time in `from` to `to`. */
  versionsBetween(from: number, to: number): readonly Version[] {
    return this.versions.filter(({ committedAt }, index) => {
      const next = this.versions[index + 1];
      return committedAt <= to &&
        (next === undefined || next.committedAt >= from);
    });
  }
}

/**
 * Creates a payload that names its submission, so that oracles can find the
 * runs of the submission.
 *
 * @example
 * ```ts
 * const payload = createSubmissionPayload(submission.name, 500);
 * ```
 */
export function createSubmissionPayload(name: string, runMs: number): string {
  return JSON.stringify({ answer: name, runMs });
}

function submissionName(payload: string): string {
  return String((JSON.parse(payload) as { answer?: unknown }).answer);
}

function submissionSpec(
  history: History,
  payload: string,
): JobSpec | undefined {
  return history.submissions.get(submissionName(payload))?.spec;
}
