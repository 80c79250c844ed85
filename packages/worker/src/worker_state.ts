import type { Undo } from "@mustardweir/kernel";
import {
  addResources,
  EndReason,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import {
  LEASE_MS,
  type RefusedStart,
  type RunningTask,
  StartRefusal,
  StopMode,
  type SyncCall,
  type Synced,
  type SyncResult,
  SyncResultKind,
  type TargetStart,
  type TargetStop,
  type TaskEnd,
  type TaskSpec,
} from "@mustardweir/protocol";
import {
  formatLeaseToken,
  type LeaseToken,
  parseLeaseToken,
} from "./lease_token.ts";
import {
  PayloadTaskModel,
  type TaskModel,
  type TaskPlan,
} from "./task_model.ts";
import { TaskRun } from "./task_run.ts";
import { NO_FAULTS, type WorkerFaults } from "./worker_faults.ts";
import type { WorkerListener } from "./worker_listener.ts";
import { WorkerSlice } from "./worker_slice.ts";

/** Run time of a task under the `failEverything` fault, in milliseconds. */
const FAIL_EVERYTHING_AFTER_MS = 5;

/** The capacity of a worker and the behaviour of its tasks. */
export interface WorkerStateOptions {
  readonly capacity: Resources;
  /** Prefix of the incarnation; must differ between processes. */
  readonly incarnation?: string;
  /** A {@link PayloadTaskModel} with its defaults by default. */
  readonly model?: TaskModel;
  /** Age of the reported usage, in milliseconds; 0 by default. */
  readonly usageLagMs?: number;
}

/**
 * The logic of one worker: fencing, leases, starts and stops. It reads no
 * clock; times are passed in, in milliseconds, and must not decrease.
 *
 * @example
 * ```ts
 * const worker = new WorkerState({ capacity });
 * const first = worker.sync(call, 0);
 * worker.advance(worker.nextDue(0));
 * ```
 */
export class WorkerState {
  readonly capacity: Resources;
  readonly #namePrefix: string;
  readonly #model: TaskModel;
  readonly #usageLagMs: number;
  readonly #listeners = new Set<WorkerListener>();
  readonly #slices = new Map<string, WorkerSlice>();
  #restartCount = 0;
  #startedMs = 0;
  #stateSeq = 0;
  #used = NO_RESOURCES;
  #faults = NO_FAULTS;

  constructor(options: WorkerStateOptions) {
    this.capacity = options.capacity;
    this.#namePrefix = options.incarnation ?? "worker";
    this.#model = options.model ?? new PayloadTaskModel();
    this.#usageLagMs = options.usageLagMs ?? 0;
  }

  /** Identifies this start of the worker; changes at each restart. */
  get incarnation(): string {
    return `${this.#namePrefix}-${this.#restartCount}`;
  }

  /** The active faults. */
  get faults(): WorkerFaults {
    return this.#faults;
  }

  /** Total resources allocated to the running tasks. */
  get used(): Resources {
    return this.#used;
  }

  /** Sets the given faults and leaves the others unchanged. */
  setFaults(faults: Partial<WorkerFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Notifies `listener` of starts and ends until the result is called. */
  registerListener(listener: WorkerListener): Undo {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Executes a call of a slice owner. It is idempotent. */
  sync(call: SyncCall, now: number): SyncResult {
    this.advance(now);
    const slice = this.#getOrCreateSlice(call);
    if (call.epoch < slice.epoch) {
      return { kind: SyncResultKind.Fenced, epoch: slice.epoch };
    }
    this.#adoptEpoch(slice, call.epoch);
    slice.floor = Math.max(slice.floor, call.floor);
    const leased = this.#extendLease(slice, call.leaseToken, now);
    this.#removeAcknowledged(slice, call.acks);
    this.#stop(slice, call.stops, now);
    this.#throttle(slice, call, now);
    const refused = this.#startAll(slice, call, { leased, now });
    return this.#createResult(slice, refused, now);
  }

  /**
   * Returns whether there is a change that the sender of `call` has not
   * received: an ended task, a newer epoch or a restart. The lease token of the
   * call shows the newest reply that reached the sender, so changes in a lost
   * reply count as unreported.
   */
  hasUnreportedChanges(call: SyncCall): boolean {
    const slice = this.#slices.get(call.sliceId);
    const token = this.#parseOwnToken(call.leaseToken);
    if (slice === undefined || token === undefined) {
      return true;
    }
    return slice.epoch !== call.epoch || slice.lastChangeSeq > token.stateSeq;
  }

  /** Ends the tasks whose run time or lease is over at `now`. */
  advance(now: number): void {
    for (const slice of this.#slices.values()) {
      this.#finishTasks(slice, now);
      if (slice.leaseUntilMs <= now) {
        this.#loseTasks(slice, slice.leaseUntilMs);
      }
    }
  }

  /**
   * Returns when `advance` has to be called next, `now` at the earliest;
   * `Infinity` if it does not have to be.
   */
  nextDue(now: number): number {
    let next = Infinity;
    for (const slice of this.#slices.values()) {
      next = Math.min(next, slice.nextDueMs);
    }
    return Math.max(next, now);
  }

  /** The running tasks of all slices. */
  runningTasks(): TaskRun[] {
    return [...this.#slices.values()].flatMap(
      (slice) => [...slice.running.values()],
    );
  }

  /** Discards all tasks and state, as when the instance fails. */
  restart(now: number): void {
    this.advance(now);
    for (const slice of this.#slices.values()) {
      this.#loseTasks(slice, now);
    }
    this.#slices.clear();
    this.#restartCount += 1;
    this.#startedMs = now;
    this.#stateSeq = 0;
  }

  #getOrCreateSlice(call: SyncCall): WorkerSlice {
    let slice = this.#slices.get(call.sliceId);
    if (slice === undefined) {
      const changeSeq = this.#nextSeq();
      slice = new WorkerSlice(call.sliceId, { epoch: call.epoch, changeSeq });
      this.#slices.set(call.sliceId, slice);
    }
    return slice;
  }

  #adoptEpoch(slice: WorkerSlice, epoch: number): void {
    if (epoch > slice.epoch) {
      slice.epoch = epoch;
      slice.floor = 0;
      slice.lastChangeSeq = this.#nextSeq();
    }
  }

  #extendLease(
    slice: WorkerSlice,
    text: string | undefined,
    now: number,
  ): boolean {
    const token = this.#parseOwnToken(text);
    if (token === undefined || !(token.createdMs <= now)) {
      return false;
    }
    const untilMs = token.createdMs + LEASE_MS;
    slice.leaseUntilMs = Math.max(slice.leaseUntilMs, untilMs);
    return untilMs > now;
  }

  #parseOwnToken(text: string | undefined): LeaseToken | undefined {
    const token = text === undefined ? undefined : parseLeaseToken(text);
    return token?.incarnation === this.incarnation ? token : undefined;
  }

  #removeAcknowledged(slice: WorkerSlice, taskIds: readonly string[]): void {
    for (const taskId of taskIds) {
      slice.ended.delete(taskId);
    }
  }

  #stop(slice: WorkerSlice, stops: readonly TargetStop[], now: number): void {
    for (const { taskId, mode } of stops) {
      const run = slice.running.get(taskId);
      if (run !== undefined) {
        this.#end(slice, run, {
          end: createStopEnd(run, mode, now),
          endedMs: now,
        });
      }
    }
  }

  #throttle(slice: WorkerSlice, call: SyncCall, now: number): void {
    for (const { taskId, cpuMillis } of call.throttles) {
      slice.running.get(taskId)?.throttle(cpuMillis, now);
    }
  }

  #startAll(
    slice: WorkerSlice,
    call: SyncCall,
    context: { readonly leased: boolean; readonly now: number },
  ): RefusedStart[] {
    const stopping = new Set(call.stops.map((stop) => stop.taskId));
    const refused: RefusedStart[] = [];
    for (const start of call.starts) {
      const { taskId } = start.task;
      if (slice.running.has(taskId) || slice.ended.has(taskId)) {
        continue;
      }
      const refusal = stopping.has(taskId)
        ? StartRefusal.Stopping
        : this.#findRefusal(slice, start, context.leased);
      if (refusal === undefined) {
        this.#start(slice, start.task, context.now);
      } else {
        refused.push({ taskId, refusal });
      }
    }
    return refused;
  }

  #findRefusal(
    slice: WorkerSlice,
    start: TargetStart,
    leased: boolean,
  ): StartRefusal | undefined {
    if (
      start.seq < slice.floor || this.#isKnownToAnotherSlice(start.task.taskId)
    ) {
      return StartRefusal.Settled;
    }
    if (!leased) {
      return StartRefusal.NoLease;
    }
    const wanted = addResources(this.#used, start.task.size);
    return fitsWithin(wanted, this.capacity)
      ? undefined
      : StartRefusal.NoCapacity;
  }

  #isKnownToAnotherSlice(taskId: string): boolean {
    return [...this.#slices.values()].some(
      (slice) => slice.running.has(taskId) || slice.ended.has(taskId),
    );
  }

  #start(slice: WorkerSlice, task: TaskSpec, now: number): void {
    const run = new TaskRun({
      sliceId: slice.sliceId,
      task,
      plan: this.#plan(task),
      startedMs: now,
    });
    slice.running.set(task.taskId, run);
    this.#used = addResources(this.#used, task.size);
    for (const listener of this.#listeners) {
      listener.taskStarted(run);
    }
  }

  #plan(task: TaskSpec): TaskPlan {
    const plan = this.#model.plan(task);
    return this.#faults.failEverything
      ? { ...plan, runMs: FAIL_EVERYTHING_AFTER_MS, fails: true }
      : plan;
  }

  #finishTasks(slice: WorkerSlice, now: number): void {
    const untilMs = Math.min(now, slice.leaseUntilMs);
    for (const run of [...slice.running.values()]) {
      if (run.endsAtMs <= untilMs) {
        const done = { end: run.finish(), endedMs: run.endsAtMs };
        this.#end(slice, run, done);
        slice.lastChangeSeq = this.#nextSeq();
      }
    }
  }

  #loseTasks(slice: WorkerSlice, endedMs: number): void {
    for (const run of [...slice.running.values()]) {
      this.#end(slice, run, { end: { reason: EndReason.Lost }, endedMs });
      slice.lastChangeSeq = this.#nextSeq();
    }
  }

  #end(
    slice: WorkerSlice,
    run: TaskRun,
    options: { readonly end: TaskEnd; readonly endedMs: number },
  ): void {
    const { sliceId, task, startedMs } = run;
    slice.running.delete(task.taskId);
    slice.ended.set(task.taskId, { task, end: options.end });
    this.#used = subtractResources(this.#used, task.size);
    for (const listener of this.#listeners) {
      listener.taskEnded({ sliceId, task, startedMs, ...options });
    }
  }

  #createResult(
    slice: WorkerSlice,
    refused: readonly RefusedStart[],
    now: number,
  ): Synced {
    const { incarnation } = this;
    const stateSeq = this.#nextSeq();
    return {
      kind: SyncResultKind.Synced,
      incarnation,
      uptimeMs: now - this.#startedMs,
      stateSeq,
      leaseToken: formatLeaseToken({ incarnation, createdMs: now, stateSeq }),
      running: [...slice.running.values()].map((run) =>
        this.#createRunningTask(run, now)
      ),
      ended: [...slice.ended.values()],
      refused,
    };
  }

  #createRunningTask(run: TaskRun, now: number): RunningTask {
    const usage = run.laggedUsage(now, this.#usageLagMs);
    const factor = this.#faults.lieFactor;
    return {
      task: run.task,
      usage: {
        cpuMillis: usage.cpuMillis * factor,
        memoryMb: usage.memoryMb * factor,
      },
    };
  }

  #nextSeq(): number {
    this.#stateSeq += 1;
    return this.#stateSeq;
  }
}

function createStopEnd(run: TaskRun, mode: StopMode, now: number): TaskEnd {
  switch (mode) {
    case StopMode.Cancel:
      return { reason: EndReason.Cancelled };
    case StopMode.Preempt:
      return { reason: EndReason.Preempted, checkpoint: run.checkpoint(now) };
  }
}
