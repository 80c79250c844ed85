import { JobKind } from "@mustardweir/model";
import { type HomeJob, type HomeTask, TaskState } from "./home_state.ts";

interface Entry {
  readonly job: HomeJob;
  /**
   * Queued tasks from index `first` on, in the order in which they are taken.
   */
  readonly tasks: HomeTask[];
  first: number;
  previous: Entry | undefined;
  next: Entry | undefined;
}

/**
 * Tasks that wait for room, grouped by job in order of arrival. The cost of
 * adding, taking and putting back doesn't depend on the number of waiting jobs.
 * A task that no longer waits is dropped when it reaches the front.
 *
 * @example
 * ```ts
 * queue.push(task);
 * for (const job of queue.jobs()) {
 *   const next = queue.peek(job);
 *   if (next !== undefined && ask(next)) queue.shift(job);
 * }
 * ```
 */
export class JobQueue {
  readonly #entries = new Map<HomeJob, Entry>();
  #head: Entry | undefined;
  #tail: Entry | undefined;
  #requests = 0;

  /** True when no job is queued. */
  get isEmpty(): boolean {
    return this.#head === undefined;
  }

  /** Number of requests that are queued. */
  get waitingRequests(): number {
    return this.#requests;
  }

  /** Appends a task to its job; a job that is not queued goes to the end. */
  push(task: HomeTask): void {
    const known = this.#entries.get(task.job);
    if (known !== undefined) {
      known.tasks.push(task);
      return;
    }
    const entry = this.#createEntry(task);
    entry.previous = this.#tail;
    if (this.#tail === undefined) {
      this.#head = entry;
    } else {
      this.#tail.next = entry;
    }
    this.#tail = entry;
  }

  /**
   * Puts a task back before the others of its job; a job that is not queued
   * goes to the front.
   */
  unshift(task: HomeTask): void {
    const known = this.#entries.get(task.job);
    if (known !== undefined) {
      putFirst(known, task);
      return;
    }
    const entry = this.#createEntry(task);
    entry.next = this.#head;
    if (this.#head === undefined) {
      this.#tail = entry;
    } else {
      this.#head.previous = entry;
    }
    this.#head = entry;
  }

  /**
   * Iterates over the queued jobs from the front; the queue may change
   * meanwhile.
   */
  *jobs(): Generator<HomeJob> {
    for (let entry = this.#head; entry !== undefined;) {
      const { next } = entry;
      yield entry.job;
      entry = next;
    }
  }

  /**
   * Returns the first task of the job that still waits; undefined if none does.
   */
  peek(job: HomeJob): HomeTask | undefined {
    const entry = this.#entries.get(job);
    if (entry === undefined) {
      return undefined;
    }
    while (entry.first < entry.tasks.length) {
      const task = entry.tasks[entry.first]!;
      if (task.state === TaskState.Pending) {
        return task;
      }
      entry.first += 1;
    }
    this.#remove(entry);
    return undefined;
  }

  /** Removes the first task of the job. */
  shift(job: HomeJob): void {
    const entry = this.#entries.get(job);
    if (entry !== undefined) {
      entry.first += 1;
      if (entry.first >= entry.tasks.length) {
        this.#remove(entry);
      }
    }
  }

  /** Drops a job that has ended. */
  drop(job: HomeJob): void {
    const entry = this.#entries.get(job);
    if (entry !== undefined) {
      this.#remove(entry);
    }
  }

  /** Returns the number of queued tasks. */
  countWaiting(): number {
    let waiting = 0;
    for (const { tasks, first } of this.#entries.values()) {
      waiting += tasks.length - first;
    }
    return waiting;
  }

  #createEntry(task: HomeTask): Entry {
    const entry: Entry = {
      job: task.job,
      tasks: [task],
      first: 0,
      previous: undefined,
      next: undefined,
    };
    this.#entries.set(task.job, entry);
    this.#requests += Number(isRequest(task.job));
    return entry;
  }

  #remove(entry: Entry): void {
    this.#entries.delete(entry.job);
    this.#requests -= Number(isRequest(entry.job));
    if (entry.previous === undefined) {
      this.#head = entry.next;
    } else {
      entry.previous.next = entry.next;
    }
    if (entry.next === undefined) {
      this.#tail = entry.previous;
    } else {
      entry.next.previous = entry.previous;
    }
  }
}

function isRequest({ spec }: HomeJob): boolean {
  return spec.kind === JobKind.Request;
}

function putFirst(entry: Entry, task: HomeTask): void {
  if (entry.first > 0) {
    entry.first -= 1;
    entry.tasks[entry.first] = task;
  } else {
    entry.tasks.unshift(task);
  }
}
