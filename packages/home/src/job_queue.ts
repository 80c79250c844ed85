import { JobKind } from "@mustardweir/model";
import { type HomeJob, type HomeTask, TaskState } from "./home_state.ts";

interface Entry {
  readonly job: HomeJob;
  /** Tasks from `first` on; the last ones wait the longest to be taken. */
  readonly tasks: HomeTask[];
  first: number;
  previous: Entry | undefined;
  next: Entry | undefined;
}

/**
 * Tasks that wait for room, by job in the order of the jobs' arrival. Taking,
 * adding and putting back cost the same however many wait. A task that no
 * longer waits is dropped when it is met.
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

  /** Adds a task at the end of its job, and the job at the end. */
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

  /** Puts a task back before the others of its job, a new job at the front. */
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

  /** The queued jobs from the front; the queue may be changed meanwhile. */
  *jobs(): Generator<HomeJob> {
    for (let entry = this.#head; entry !== undefined;) {
      const { next } = entry;
      yield entry.job;
      entry = next;
    }
  }

  /** The first task of the job that still waits. */
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

  /** Takes the first task of the job off. */
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

  /** Number of tasks that wait. */
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
