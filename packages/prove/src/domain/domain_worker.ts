import type { Random } from "@mustardweir/kernel";
import type { WorkerInfo, WorkerState } from "@mustardweir/model";
import {
  AttemptEnd,
  type EndedAttempt,
  OrderKind,
  OrderOutcome,
  type OrderResult,
  type WorkerOrder,
} from "@mustardweir/protocol";
import type { VirtualClock } from "../simulation/virtual_clock.ts";

const MAX_LEASE_MS = 10_000;
const DEFAULT_STOP_MS = 100;
/** Time after its start at which a deadly task crashes its worker, in ms. */
const DEADLY_MS = 10;
const LEASE_CHECK_INTERVAL_MS = 20;
/** Range of the delay of orders that are executed late, in milliseconds. */
const MIN_LATE_DELAY_MS = 2_000;
const MAX_LATE_DELAY_MS = 12_000;

/** Stands for the sender of an order that is executed late. */
const LATE_SENDER = "late";

/** One attempt of a task as a worker ran it; in virtual milliseconds. */
export interface RunRecord {
  readonly task: string;
  readonly attempt: number;
  readonly workerId: string;
  readonly startMs: number;
  readonly orderedBy: string;
  endMs: number | undefined;
  end: AttemptEnd | undefined;
  /**
   * Whether the lease expired before the end was acknowledged; such an end
   * does not count.
   */
  isVoid: boolean;
  /** Whether the task crashed its worker. */
  hasCrashedWorker: boolean;
  /** Time at which the owner acknowledged the end. */
  acknowledgedMs: number | undefined;
}

/** What a task lists of its work. */
export enum WorkReport {
  /** A percentage that doesn't change. */
  Fixed = "fixed",
  /** Its real percentage. */
  Percent = "percent",
  /** The same and, as checkpoint, the time worked, from which it resumes. */
  Checkpoint = "checkpoint",
}

/** How long a task runs and how it ends; taken from its payload. */
export interface TaskBehaviour {
  readonly runMs: number;
  /** Number of failures before the task completes. */
  readonly failures: number;
  /**
   * How the members of a gang end when the first of them fails, by their index;
   * broken by default.
   */
  readonly memberEnds?: readonly AttemptEnd[];
  /** Tasks that crash their worker, as `stage.index`; none by default. */
  readonly deadlyTasks?: readonly string[];
  /** Checkpoint that its tasks list; none by default. */
  readonly checkpoint?: string;
  /** Rack of its data, and how many times as long it runs elsewhere. */
  readonly data?: { readonly rack: string; readonly remoteFactor: number };
  /**
   * What its tasks list of their work; by default their real percentage if they
   * have data, else a fixed one.
   */
  readonly workReport?: WorkReport;
}

/** The current faults of a worker. */
export interface WorkerFaults {
  /** Nodes whose orders are lost. */
  readonly unreachableFrom: Set<string>;
  /** Fraction of the orders that get no reply and are executed late. */
  lateShare: number;
  failsAll: boolean;
  /** Whether another worker replies at the address of this one. */
  isReplaced: boolean;
  /** Whether starts are turned away by a worker that says it is healthy. */
  isBusy: boolean;
  /** Whether starts are lost on their way. */
  losesStarts: boolean;
  /** Whether starts are executed and their replies are lost. */
  losesStartReplies: boolean;
  /** Whether stops are executed and their replies are lost. */
  losesStopReplies: boolean;
  /** Time by which renewals arrive later than other orders, in milliseconds. */
  renewalDelayMs: number;
  /** Time that a stop takes, in milliseconds. */
  stopMs: number;
  /** Most ends that the worker lists at a time. */
  endsPerList: number;
  /** Largest addition to the run time of its tasks, in milliseconds. */
  runSpreadMs: number;
  /** Whether listings tell how far each run is; half of it otherwise. */
  listsProgress: boolean;
}

interface Running {
  readonly record: RunRecord;
  /** Time worked by the checkpoint that it resumed, in milliseconds. */
  readonly resumedMs: number;
  /** Duration of the run if nothing ends it earlier, in milliseconds. */
  readonly durationMs: number;
  /** Time that all its work takes near its data, in milliseconds. */
  readonly runMs: number;
  isStopping: boolean;
}

/** An order that a worker rejected because of a newer owner's epoch. */
export interface FencedOrder {
  readonly node: string;
  readonly token: number;
  readonly atMs: number;
}

/** Options of a simulated worker. */
export interface DomainWorkerOptions {
  readonly info: WorkerInfo;
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Receives the runs, for the oracles. */
  readonly runs: RunRecord[];
  readonly fencedOrders: FencedOrder[];
  /** Called after an attempt has failed. */
  readonly onFailed: (record: RunRecord) => void;
  readonly behaviourOf: (task: string) => TaskBehaviour;
  /** Called when a task has crashed the worker. */
  readonly onCrashed: (worker: DomainWorker, record: RunRecord) => void;
}

/** A worker of the simulated platform. */
export class DomainWorker {
  readonly faults: WorkerFaults = {
    unreachableFrom: new Set(),
    lateShare: 0,
    failsAll: false,
    isReplaced: false,
    isBusy: false,
    losesStarts: false,
    losesStartReplies: false,
    losesStopReplies: false,
    renewalDelayMs: 0,
    stopMs: DEFAULT_STOP_MS,
    endsPerList: 500,
    runSpreadMs: 0,
    listsProgress: false,
  };
  info: WorkerInfo;
  isUp = true;
  /** Number of starts that were lost on their way. */
  lostStarts = 0;
  /** Its capacities so far, with the time from which each holds. */
  readonly capacities: {
    readonly sinceMs: number;
    readonly cpuMillis: number;
  }[];
  readonly #options: DomainWorkerOptions;
  #processNumber = 0;
  #processStartMs = 0;
  #token = 0;
  #leaseUntilMs = 0;
  #lastEnd = 0;
  #running = new Map<string, Running>();
  #ended: (EndedAttempt & { readonly record: RunRecord })[] = [];
  #waiting: (() => void)[] = [];
  /** Attempts that were stopped before they started; they never start. */
  #stopped = new Set<string>();

  constructor(options: DomainWorkerOptions) {
    this.#options = options;
    this.info = options.info;
    this.capacities = [{
      sinceMs: options.clock.now,
      cpuMillis: options.info.capacity.cpuMillis,
    }];
    this.#watchLease();
  }

  /** Ends the process and all its attempts; no state survives a restart. */
  crash(): void {
    const { now } = this.#options.clock;
    for (const { record } of this.#running.values()) {
      record.endMs = now;
    }
    this.isUp = false;
    this.#processNumber++;
    this.#running.clear();
    this.#ended = [];
    this.#stopped.clear();
    this.#token = 0;
    this.#lastEnd = 0;
    this.#leaseUntilMs = 0;
  }

  /** Ends the local members of a gang after its first member has failed. */
  breakGang(stage: string, attempt: number): void {
    for (const [key, { record }] of [...this.#running]) {
      const { task } = record;
      if (task.startsWith(stage) && record.attempt === attempt) {
        const { memberEnds = [] } = this.#options.behaviourOf(task);
        const index = Number(task.slice(task.lastIndexOf(".") + 1));
        this.#end(key, memberEnds[index] ?? AttemptEnd.Broken);
      }
    }
  }

  /** Changes the capacity; what runs goes on. */
  setCapacity(cpuMillis: number): void {
    const { capacity } = this.info;
    this.info = { ...this.info, capacity: { ...capacity, cpuMillis } };
    this.capacities.push({ sinceMs: this.#options.clock.now, cpuMillis });
  }

  /**
   * Announces that it leaves, or with a state of `Ready` that it stays after
   * all.
   */
  setState(state: WorkerState, remainingMs?: number): void {
    const { remainingMs: _, ...info } = this.info;
    this.info = {
      ...info,
      state,
      ...(remainingMs === undefined ? {} : { remainingMs }),
    };
  }

  restart(): void {
    this.isUp = true;
    this.#processStartMs = this.#options.clock.now;
    this.info = {
      ...this.info,
      incarnation: Math.round(this.#processStartMs) + 1,
    };
  }

  /** Handles an order; calls `answer` with its result or a timeout. */
  order(
    order: WorkerOrder,
    from: string,
    { timeoutMs, answer }: {
      readonly timeoutMs: number;
      readonly answer: (result: OrderResult) => void;
    },
  ): void {
    const { clock, random } = this.#options;
    const timeOut = () =>
      clock.after(timeoutMs, () => answer({ outcome: OrderOutcome.NoAnswer }));
    if (this.faults.isReplaced) {
      const outcome = OrderOutcome.OtherIncarnation;
      clock.after(2, () => answer({ outcome }));
      return;
    }
    if (!this.isUp || this.faults.unreachableFrom.has(from)) {
      timeOut();
      return;
    }
    if (this.faults.losesStarts && order.kind === OrderKind.Start) {
      this.lostStarts++;
      timeOut();
      return;
    }
    if (random.fraction() < this.faults.lateShare) {
      const delayMs = MIN_LATE_DELAY_MS +
        random.below(MAX_LATE_DELAY_MS - MIN_LATE_DELAY_MS);
      clock.after(delayMs, () => this.#execute(order, LATE_SENDER, () => {}));
      timeOut();
      return;
    }
    // A worker that crashes meanwhile sends no reply.
    let hasResponded = false;
    const respondOnce = (result: OrderResult) => {
      if (!hasResponded) {
        hasResponded = true;
        answer(result);
      }
    };
    clock.after(
      timeoutMs,
      () => respondOnce({ outcome: OrderOutcome.NoAnswer }),
    );
    const sendMs = 1 +
      (order.kind === OrderKind.Renew ? this.faults.renewalDelayMs : 0);
    clock.after(sendMs, () =>
      this.#execute(order, from, (result) => {
        const isReplyLost = this.faults.unreachableFrom.has(from) ||
          (this.faults.losesStartReplies && order.kind === OrderKind.Start) ||
          (this.faults.losesStopReplies && order.kind === OrderKind.Stop);
        if (!isReplyLost) {
          clock.after(1, () => respondOnce(result));
        }
      }));
  }

  #execute(
    order: WorkerOrder,
    from: string,
    answer: (result: OrderResult) => void,
  ): void {
    const respondWith = (outcome: OrderOutcome) =>
      answer({ outcome, clockMs: this.#clockMs() });
    if (!this.isUp) {
      return;
    }
    if (order.token < this.#token) {
      const { clock, fencedOrders } = this.#options;
      // A late order was sent earlier; its sender may have stopped since.
      if (from !== LATE_SENDER && epochOf(order.token) < epochOf(this.#token)) {
        fencedOrders.push({ node: from, token: order.token, atMs: clock.now });
      }
      respondWith(OrderOutcome.Fenced);
      return;
    }
    this.#token = order.token;
    switch (order.kind) {
      case OrderKind.Start:
        respondWith(
          this.faults.isBusy
            ? OrderOutcome.Unhealthy
            : this.#start(order, from),
        );
        break;
      case OrderKind.Stop:
        this.#stop(order.task, order.attempt);
        respondWith(OrderOutcome.Obeyed);
        break;
      case OrderKind.Renew:
        this.#renew(order, answer);
        break;
    }
  }

  #start(
    order: Extract<WorkerOrder, { kind: OrderKind.Start }>,
    from: string,
  ): OrderOutcome {
    const { clock, behaviourOf, random, runs } = this.#options;
    this.#extend(order.leaseUntilMs);
    const key = `${order.task}#${order.attempt}`;
    if (this.#running.has(key)) {
      return OrderOutcome.Obeyed;
    }
    if (this.#clockMs() > order.leaseUntilMs) {
      return OrderOutcome.Late;
    }
    const isOld = this.#stopped.has(key) ||
      this.#ended.some(({ task, attempt }) =>
        task === order.task && attempt >= order.attempt
      );
    if (isOld) {
      return OrderOutcome.Stale;
    }
    const record: RunRecord = {
      task: order.task,
      attempt: order.attempt,
      workerId: this.info.id,
      startMs: clock.now,
      orderedBy: from,
      endMs: undefined,
      end: undefined,
      isVoid: false,
      hasCrashedWorker: false,
      acknowledgedMs: undefined,
    };
    runs.push(record);
    const { runMs, failures, deadlyTasks, data, workReport } = behaviourOf(
      order.task,
    );
    const resumedMs = workReport === WorkReport.Checkpoint
      ? Number(order.checkpoint ?? 0)
      : 0;
    const { runSpreadMs } = this.faults;
    const addedMs = runSpreadMs > 0 ? random.below(runSpreadMs) : 0;
    const factor = data === undefined || data.rack === this.info.rack
      ? 1
      : data.remoteFactor;
    const durationMs = factor * (runMs - resumedMs + addedMs);
    this.#running.set(key, {
      record,
      resumedMs,
      durationMs,
      runMs: runMs + addedMs,
      isStopping: false,
    });
    const failed =
      runs.filter(({ task, end }) =>
        task === order.task && end === AttemptEnd.Failed
      ).length;
    const fails = this.faults.failsAll || failed < failures;
    const processNumber = this.#processNumber;
    if (deadlyTasks?.includes(order.task.split(".").slice(2).join("."))) {
      clock.after(DEADLY_MS, () => {
        if (processNumber === this.#processNumber && this.#running.has(key)) {
          record.hasCrashedWorker = true;
          this.crash();
          this.#options.onCrashed(this, record);
        }
      });
    }
    clock.after(durationMs, () => {
      if (processNumber === this.#processNumber) {
        this.#end(key, fails ? AttemptEnd.Failed : AttemptEnd.Done);
      }
    });
    return OrderOutcome.Obeyed;
  }

  #stop(task: string, attempt: number): void {
    const key = `${task}#${attempt}`;
    if (this.#running.has(key)) {
      const processNumber = this.#processNumber;
      this.#options.clock.after(this.faults.stopMs, () => {
        if (processNumber === this.#processNumber) {
          this.#end(key, AttemptEnd.Stopped);
        }
      });
    } else {
      this.#stopped.add(key);
    }
  }

  #end(key: string, end: AttemptEnd): void {
    const running = this.#running.get(key);
    if (running === undefined) {
      return;
    }
    const { record } = running;
    const { workReport } = this.#options.behaviourOf(record.task);
    this.#running.delete(key);
    record.endMs = this.#options.clock.now;
    record.end = end;
    this.#ended.push({
      number: ++this.#lastEnd,
      task: record.task,
      attempt: record.attempt,
      end,
      checkpoint: workReport === WorkReport.Checkpoint &&
          end !== AttemptEnd.Done
        ? String(this.#workedMs(running))
        : "",
      record,
    });
    this.#wake();
    if (end === AttemptEnd.Failed) {
      // The ends of the other members find nothing left to break.
      this.#options.onFailed(record);
    }
  }

  #renew(
    order: Extract<WorkerOrder, { kind: OrderKind.Renew }>,
    answer: (result: OrderResult) => void,
  ): void {
    const { clock } = this.#options;
    if (order.leaseUntilMs !== undefined) {
      this.#extend(order.leaseUntilMs);
    }
    for (const { number, record } of this.#ended) {
      if (number <= order.acknowledged && !record.isVoid) {
        record.acknowledgedMs ??= clock.now;
      }
    }
    this.#ended = this.#ended.filter(({ number }) =>
      number > order.acknowledged
    );
    const processNumber = this.#processNumber;
    let isOver = false;
    const finish = () => {
      if (!isOver && processNumber === this.#processNumber) {
        isOver = true;
        answer({
          outcome: OrderOutcome.Obeyed,
          clockMs: this.#clockMs(),
          listing: this.#list(),
        });
      }
    };
    if (order.waitMs === 0 || this.#ended.length > 0) {
      finish();
    } else {
      this.#waiting.push(finish);
      clock.after(order.waitMs, finish);
    }
  }

  #list() {
    return {
      incarnation: this.info.incarnation,
      running: [...this.#running.values()].map((running) => {
        const { task, attempt } = running.record;
        const { checkpoint = "" } = this.#options.behaviourOf(task);
        return {
          task,
          attempt,
          checkpoint: this.#reportOf(task) === WorkReport.Checkpoint
            ? String(this.#workedMs(running))
            : checkpoint,
          percent: this.#percentOf(running),
          load: 0,
        };
      }),
      ended: this.#ended.slice(0, this.faults.endsPerList)
        .map(({ record: _, ...ended }) => ended),
      ...(this.#ended.length >= this.faults.endsPerList
        ? { hasMoreEnds: true }
        : {}),
    };
  }

  #reportOf(task: string): WorkReport {
    const { data, workReport } = this.#options.behaviourOf(task);
    const listsPercent = data !== undefined || this.faults.listsProgress;
    return workReport ??
      (listsPercent ? WorkReport.Percent : WorkReport.Fixed);
  }

  #percentOf(running: Running): number {
    const { record, durationMs, runMs } = running;
    if (this.#reportOf(record.task) === WorkReport.Fixed) {
      return 50;
    }
    const { data } = this.#options.behaviourOf(record.task);
    const share = data === undefined
      ? this.#workedMs(running) / runMs
      : (this.#options.clock.now - record.startMs) / durationMs;
    return Math.floor(100 * Math.min(1, share));
  }

  #workedMs({ record, resumedMs }: Running): number {
    return Math.floor(resumedMs + this.#options.clock.now - record.startMs);
  }

  #wake(): void {
    for (const finish of this.#waiting.splice(0)) {
      finish();
    }
  }

  #extend(untilMs: number): void {
    const longest = this.#clockMs() + MAX_LEASE_MS;
    this.#leaseUntilMs = Math.max(
      this.#leaseUntilMs,
      Math.min(untilMs, longest),
    );
  }

  #watchLease(): void {
    if (this.#clockMs() > this.#leaseUntilMs) {
      this.#ended.forEach(({ record }) => record.isVoid = true);
      for (const key of [...this.#running.keys()]) {
        this.#end(key, AttemptEnd.Lapsed);
      }
    }
    this.#options.clock.after(
      LEASE_CHECK_INTERVAL_MS,
      () => this.#watchLease(),
    );
  }

  #clockMs(): number {
    return Math.floor(this.#options.clock.now - this.#processStartMs);
  }
}

function epochOf(token: number): number {
  return Math.floor(token / 2 ** 24);
}
