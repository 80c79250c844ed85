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

/** One attempt of a task, as its worker ran it. Times are virtual. */
export interface Run {
  readonly taskId: string;
  readonly jobId: string;
  readonly taskIndex: number;
  readonly team: string;
  readonly kind: JobKind;
  readonly idempotent: boolean;
  readonly size: Resources;
  /** The submission named in the task's payload. */
  readonly submission: string;
  readonly instanceId: string;
  readonly startedAt: number;
  /** Infinity while it runs. */
  endedAt: number;
  reason?: EndReason;
}

/** Work that a caller submits under one idempotency key. */
export interface Submission {
  readonly name: string;
  readonly team: string;
  readonly spec: JobSpec;
}

/** An answer with its time, in milliseconds of virtual time. */
export interface TimedAnswer {
  readonly at: number;
  readonly answer: CallerAnswer;
}

/** One call with all answers that it got. */
export interface Call {
  readonly requestId: string;
  readonly entryId: string;
  readonly incarnation: string;
  readonly keyId: string;
  /** The team of the key; undefined for the operator's. */
  readonly team?: string;
  readonly call: CallerCall;
  readonly submission?: Submission;
  readonly sentAt: number;
  readonly ttlMs: number;
  readonly answers: TimedAnswer[];
  /** The entry died, or was paused, while the call waited. */
  isCut: boolean;
}

/** A version of the configuration, as the table took it. */
export interface Version {
  readonly configuration: Configuration;
  readonly committedAt: number;
}

/** What a process has in force at a moment. */
export interface Probe {
  readonly at: number;
  readonly nodeId: string;
  readonly incarnation: string;
  readonly version: number;
  /** The process acts on its configuration. */
  readonly isConfirmed: boolean;
}

/** A planned stop. */
export interface Stop {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly role: Role;
  readonly at: number;
  stoppedAt?: number;
  /** The process died otherwise before it had stopped. */
  isCut: boolean;
}

/** An instance that the platform's list shows as leaving, from `at` on. */
export interface Leaving {
  readonly instanceId: string;
  readonly at: number;
  until: number;
}

/** What happened in a run of the model, for the oracles. */
export class History extends RunListener {
  readonly runs: Run[] = [];
  readonly calls = new Map<string, Call>();
  readonly submissions = new Map<string, Submission>();
  readonly versions: Version[] = [];
  /** Schedulers that run when none is down. */
  schedulers = 0;
  readonly probes: Probe[] = [];
  readonly stops: Stop[] = [];
  readonly leaving: Leaving[] = [];
  /** When a fault was brought in; a planned stop is none. */
  readonly faults: number[] = [];
  /** Times at which the platform became, or ceased to be, faulty. */
  readonly platform: { readonly at: number; readonly isFaulty: boolean }[] = [];
  /** When all faults had ceased. */
  healedAt = Infinity;
  /** When the run ended; later answers were not waited for. */
  endedAt = Infinity;
  /** The last status of each job that was accepted. */
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

  /** True when the platform was not faulty from `from` to `to`. */
  isPlatformSound(from: number, to: number): boolean {
    const changes = this.platform.filter(({ at }) => at <= to);
    const before = changes.filter(({ at }) => at <= from).at(-1);
    return !before?.isFaulty &&
      !changes.some(({ at, isFaulty }) => at > from && isFaulty);
  }

  /** The versions in force at some time from `from` to `to`. */
  versionsBetween(from: number, to: number): readonly Version[] {
    return this.versions.filter(({ committedAt }, index) => {
      const next = this.versions[index + 1];
      return committedAt <= to &&
        (next === undefined || next.committedAt >= from);
    });
  }
}

/**
 * Work that names its submission, so that oracles find its runs.
 *
 * @example
 * ```ts
 * const payload = payloadOf(submission.name, 500);
 * ```
 */
export function payloadOf(name: string, runMs: number): string {
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
