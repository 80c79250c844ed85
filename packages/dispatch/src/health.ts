import { createStateKey } from "@mustardweir/kernel";

/** Failures in a row after which a worker is kept out. */
const MAX_FAILURES = 4;
/** First time for which it is kept out, in milliseconds; doubled each time. */
const FIRST_BAN_MS = 2_000;
const MAX_BAN_MS = 16_000;
/** Refusals as unhealthy keep a worker out for this long, in milliseconds. */
const UNHEALTHY_BAN_MS = 500;

interface Record {
  failures: number;
  /** Jobs whose tasks failed in a row; one bad job is no evidence. */
  readonly jobs: Set<string>;
  bannedUntilMs: number;
  banMs: number;
}

/** Keeps out workers that fail what they are given. */
export class WorkerHealth {
  readonly #records = new Map<string, Record>();

  /** True when the worker may be given work. */
  isUsable(workerId: string, now: number): boolean {
    return (this.#records.get(workerId)?.bannedUntilMs ?? 0) <= now;
  }

  /** A task ended done. */
  succeeded(workerId: string): void {
    this.#records.delete(workerId);
  }

  /** A task failed; true when the worker is kept out from now on. */
  failed(workerId: string, jobId: string, now: number): boolean {
    const record = this.#record(workerId);
    record.failures++;
    record.jobs.add(jobId);
    if (record.failures < MAX_FAILURES || record.jobs.size < 2) {
      return false;
    }
    record.bannedUntilMs = now + record.banMs;
    record.banMs = Math.min(record.banMs * 2, MAX_BAN_MS);
    record.failures = MAX_FAILURES - 1;
    return true;
  }

  /** The worker refused a start as unhealthy. */
  refused(workerId: string, now: number): void {
    const record = this.#record(workerId);
    record.bannedUntilMs = Math.max(
      record.bannedUntilMs,
      now + UNHEALTHY_BAN_MS,
    );
  }

  /** Forgets everything, for a new tenure. */
  clear(): void {
    this.#records.clear();
  }

  #record(workerId: string): Record {
    const known = this.#records.get(workerId);
    if (known !== undefined) {
      return known;
    }
    const created = {
      failures: 0,
      jobs: new Set<string>(),
      bannedUntilMs: 0,
      banMs: FIRST_BAN_MS,
    };
    this.#records.set(workerId, created);
    return created;
  }
}

/** Evidence against workers. */
export const WORKER_HEALTH = createStateKey<WorkerHealth>("worker-health");
