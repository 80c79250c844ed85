import type { Random } from "@mustardweir/kernel";
import type { WorkerInfo } from "@mustardweir/model";
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
const STOP_MS = 100;
const LEASE_LOOK_MS = 20;
/** Range of the delay of orders that are carried out late, in milliseconds. */
const MIN_LATE_MS = 2_000;
const MAX_LATE_MS = 12_000;

/** Stands for the sender of an order that is carried out late. */
const LATE = "late";

/** One run of a task, as a worker saw it. */
export interface RunRecord {
  readonly task: string;
  readonly attempt: number;
  readonly workerId: string;
  readonly startMs: number;
  readonly orderedBy: string;
  endMs: number | undefined;
  end: AttemptEnd | undefined;
  /** The lease was over before the end was acknowledged: it doesn't count. */
  isVoid: boolean;
  /** When the owner acknowledged the end. */
  acknowledgedMs: number | undefined;
}

/** How long a task runs and how it ends, from its payload. */
export interface TaskBehaviour {
  readonly runMs: number;
  /** Fails this many times before it ends done. */
  readonly failures: number;
}

/** What is wrong with a worker now. */
export interface WorkerFaults {
  /** Nodes whose calls don't arrive. */
  readonly cutFrom: Set<string>;
  /** Part of the orders that have no answer and are carried out late. */
  lateShare: number;
  failsAll: boolean;
  /** The worker is gone, and another one answers at its address. */
  isReplaced: boolean;
}

interface Running {
  readonly record: RunRecord;
  isStopping: boolean;
}

/** An order that a worker refused, knowing a newer owner. */
export interface Refusal {
  readonly node: string;
  readonly token: number;
  readonly atMs: number;
}

/** What a simulated worker needs. */
export interface DomainWorkerOptions {
  readonly info: WorkerInfo;
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Taken down for the oracles. */
  readonly runs: RunRecord[];
  readonly refusals: Refusal[];
  /** Called when an attempt has failed. */
  readonly onFailed: (record: RunRecord) => void;
  readonly behave: (task: string) => TaskBehaviour;
}

/** A worker of the simulated platform. */
export class DomainWorker {
  readonly faults: WorkerFaults = {
    cutFrom: new Set(),
    lateShare: 0,
    failsAll: false,
    isReplaced: false,
  };
  info: WorkerInfo;
  isUp = true;
  readonly #options: DomainWorkerOptions;
  #life = 0;
  #bornMs = 0;
  #token = 0;
  #leaseUntilMs = 0;
  #lastEnd = 0;
  #running = new Map<string, Running>();
  #ended: (EndedAttempt & { readonly record: RunRecord })[] = [];
  #waiting: (() => void)[] = [];

  constructor(options: DomainWorkerOptions) {
    this.#options = options;
    this.info = options.info;
    this.#watchLease();
  }

  /** Ends the process; nothing of before is left when it starts again. */
  crash(): void {
    const { now } = this.#options.clock;
    for (const { record } of this.#running.values()) {
      record.endMs = now;
    }
    this.isUp = false;
    this.#life++;
    this.#running.clear();
    this.#ended = [];
    this.#token = 0;
    this.#lastEnd = 0;
    this.#leaseUntilMs = 0;
  }

  /** Ends the other members of a gang of which one has failed. */
  breakGang(stage: string, attempt: number): void {
    for (const [key, { record }] of [...this.#running]) {
      if (record.task.startsWith(stage) && record.attempt === attempt) {
        this.#end(key, AttemptEnd.Broken);
      }
    }
  }

  restart(): void {
    this.isUp = true;
    this.#bornMs = this.#options.clock.now;
    this.info = { ...this.info, incarnation: Math.round(this.#bornMs) + 1 };
  }

  /** Takes an order; answers unless it is lost. */
  order(
    order: WorkerOrder,
    from: string,
    { timeoutMs, answer }: {
      readonly timeoutMs: number;
      readonly answer: (result: OrderResult) => void;
    },
  ): void {
    const { clock, random } = this.#options;
    const noAnswer = () =>
      clock.after(timeoutMs, () => answer({ outcome: OrderOutcome.NoAnswer }));
    if (this.faults.isReplaced) {
      const outcome = OrderOutcome.OtherIncarnation;
      clock.after(2, () => answer({ outcome }));
      return;
    }
    if (!this.isUp || this.faults.cutFrom.has(from)) {
      noAnswer();
      return;
    }
    if (random.fraction() < this.faults.lateShare) {
      const delayMs = MIN_LATE_MS +
        random.below(MAX_LATE_MS - MIN_LATE_MS);
      clock.after(delayMs, () => this.#obey(order, LATE, () => {}));
      noAnswer();
      return;
    }
    // A worker that ends meanwhile answers nothing.
    let isAnswered = false;
    const answerOnce = (result: OrderResult) => {
      if (!isAnswered) {
        isAnswered = true;
        answer(result);
      }
    };
    clock.after(
      timeoutMs,
      () => answerOnce({ outcome: OrderOutcome.NoAnswer }),
    );
    clock.after(1, () =>
      this.#obey(order, from, (result) => {
        if (!this.faults.cutFrom.has(from)) {
          clock.after(1, () => answerOnce(result));
        }
      }));
  }

  #obey(
    order: WorkerOrder,
    from: string,
    answer: (result: OrderResult) => void,
  ): void {
    const say = (outcome: OrderOutcome) =>
      answer({ outcome, clockMs: this.#clockMs() });
    if (!this.isUp) {
      return;
    }
    if (order.token < this.#token) {
      const { clock, refusals } = this.#options;
      // What is only carried out late was ordered before.
      if (from !== LATE && epochOf(order.token) < epochOf(this.#token)) {
        refusals.push({ node: from, token: order.token, atMs: clock.now });
      }
      say(OrderOutcome.Fenced);
      return;
    }
    this.#token = order.token;
    switch (order.kind) {
      case OrderKind.Start:
        say(this.#start(order, from));
        break;
      case OrderKind.Stop:
        this.#stop(order.task, order.attempt);
        say(OrderOutcome.Obeyed);
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
    const { clock, behave, runs } = this.#options;
    this.#extend(order.leaseUntilMs);
    const key = `${order.task}#${order.attempt}`;
    if (this.#running.has(key)) {
      return OrderOutcome.Obeyed;
    }
    if (this.#clockMs() > order.leaseUntilMs) {
      return OrderOutcome.Late;
    }
    const isOld = this.#ended.some(({ task, attempt }) =>
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
      acknowledgedMs: undefined,
    };
    runs.push(record);
    this.#running.set(key, { record, isStopping: false });
    const { runMs, failures } = behave(order.task);
    const failed =
      runs.filter(({ task, end }) =>
        task === order.task && end === AttemptEnd.Failed
      ).length;
    const fails = this.faults.failsAll || failed < failures;
    const life = this.#life;
    clock.after(runMs, () => {
      if (life === this.#life) {
        this.#end(key, fails ? AttemptEnd.Failed : AttemptEnd.Done);
      }
    });
    return OrderOutcome.Obeyed;
  }

  #stop(task: string, attempt: number): void {
    const key = `${task}#${attempt}`;
    if (this.#running.has(key)) {
      const life = this.#life;
      this.#options.clock.after(STOP_MS, () => {
        if (life === this.#life) {
          this.#end(key, AttemptEnd.Stopped);
        }
      });
    }
  }

  #end(key: string, end: AttemptEnd): void {
    const running = this.#running.get(key);
    if (running === undefined) {
      return;
    }
    const { record } = running;
    this.#running.delete(key);
    record.endMs = this.#options.clock.now;
    record.end = end;
    this.#ended.push({
      number: ++this.#lastEnd,
      task: record.task,
      attempt: record.attempt,
      end,
      checkpoint: "",
      record,
    });
    this.#wake();
    if (end === AttemptEnd.Failed) {
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
    const life = this.#life;
    let isOver = false;
    const finish = () => {
      if (!isOver && life === this.#life) {
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
      running: [...this.#running.values()].map(({ record }) => ({
        task: record.task,
        attempt: record.attempt,
        checkpoint: "",
        percent: 50,
        load: 0,
      })),
      ended: this.#ended.map(({ record: _, ...ended }) => ended),
    };
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
    this.#options.clock.after(LEASE_LOOK_MS, () => this.#watchLease());
  }

  #clockMs(): number {
    return Math.floor(this.#options.clock.now - this.#bornMs);
  }
}

function epochOf(token: number): number {
  return Math.floor(token / 2 ** 24);
}
