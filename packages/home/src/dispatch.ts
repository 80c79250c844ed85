import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION, isConfirmed } from "@mustardweir/configuration";
import { JournalRecordKind } from "@mustardweir/journal";
import { isOwnershipConfirmed, isStopping } from "@mustardweir/membership";
import {
  addResources,
  JobKind,
  NO_RESOURCES,
  type TeamRule,
} from "@mustardweir/model";
import { sendAsks } from "./slice_messages.ts";
import { findRule, isBelowCeiling } from "./ceiling.ts";
import { appendRecords } from "./ending.ts";
import {
  GangPhase,
  type Home,
  type HomeJob,
  HomePhase,
  type HomeTask,
  TaskState,
} from "./home_state.ts";
import { formatTaskId } from "./job_factory.ts";
import type { JobQueue } from "./job_queue.ts";
import { setTaskState } from "./queue.ts";
import { SliceChooser } from "./slice_chooser.ts";

/**
 * Time in milliseconds that a gang waits for room for all its tasks. After it,
 * the gang accumulates holds in one slice, or has its part of the ceiling
 * reserved.
 */
const GANG_ACCUMULATION_DELAY_MS = 500;

/** A pass stops once more jobs than this had to be left waiting. */
const MAX_SKIPPED_JOBS = 64;

/**
 * Asks slices for room for waiting tasks, as far as the ceiling and the slices
 * allow.
 */
export function askForRoom(update: Update, home: Home): void {
  if (home.urgent.isEmpty && home.normal.isEmpty) {
    return;
  }
  const rule = findRule(update, home.team);
  if (rule === undefined || !mayStart(update, home)) {
    return;
  }
  const pass = new AskPass(update, home, rule);
  pass.run(home.urgent);
  pass.run(home.normal);
  pass.send();
}

function mayStart(update: Update, home: Home): boolean {
  return home.phase === HomePhase.Active &&
    isOwnershipConfirmed(update) &&
    isConfirmed(update.read(CONFIGURATION), update.now) &&
    !isStopping(update);
}

/** One pass over the queues of a home that asks for room for their tasks. */
class AskPass {
  readonly #update: Update;
  readonly #home: Home;
  readonly #rule: TeamRule;
  readonly #chooser: SliceChooser;
  readonly #askedBySlice = new Map<string, HomeTask[]>();
  #skippedJobs = 0;
  /** Part of the ceiling that is reserved for a waiting gang. */
  #reservedForGang = NO_RESOURCES;

  constructor(update: Update, home: Home, rule: TeamRule) {
    this.#update = update;
    this.#home = home;
    this.#rule = rule;
    this.#chooser = new SliceChooser(update, home);
  }

  /** Asks for room for queued tasks and removes those tasks from the queue. */
  run(queue: JobQueue): void {
    for (const job of queue.jobs()) {
      if (this.#skippedJobs > MAX_SKIPPED_JOBS) {
        return;
      }
      this.#processJob(queue, job);
    }
  }

  /**
   * Asks for the tasks of a job, which have the same size, until one has to
   * wait.
   */
  #processJob(queue: JobQueue, job: HomeJob): void {
    for (let task = queue.peek(job); task !== undefined;) {
      if (!this.#askFor(task)) {
        this.#skippedJobs += 1;
        return;
      }
      queue.shift(job);
      task = queue.peek(job);
    }
  }

  /** Sends the collected asks, one message per slice. */
  send(): void {
    for (const [sliceId, tasks] of this.#askedBySlice) {
      sendAsks(this.#update, this.#home, { sliceId, tasks });
    }
  }

  #askFor(task: HomeTask): boolean {
    return task.job.spec.kind === JobKind.Gang
      ? this.#askForGang(task.job)
      : this.#askForTask(task);
  }

  #askForTask(task: HomeTask): boolean {
    if (!this.#isBelowCeiling(task)) {
      return false;
    }
    const sliceId = this.#chooser.choose(task);
    if (sliceId === undefined) {
      return false;
    }
    if (!task.job.spec.idempotent && !task.startRecorded) {
      this.#recordStart(task);
      return true;
    }
    this.#assign(task, sliceId);
    return true;
  }

  #askForGang(job: HomeJob): boolean {
    const isReady = job.gang === GangPhase.Idle &&
      this.#update.now >= job.gangRetryAt &&
      job.tasks.every(isIdle);
    if (!isReady) {
      return false;
    }
    const members = job.tasks.filter(isPending);
    const isOld =
      this.#update.now - job.createdAt >= GANG_ACCUMULATION_DELAY_MS;
    if (!this.#fitsBelowCeiling(job, members)) {
      this.#reserveForGang(isOld ? members : []);
      return false;
    }
    const atOnce = this.#chooser.chooseAll(members);
    const plan = atOnce ??
      (isOld ? this.#chooser.chooseSingleSlice(members) : undefined);
    if (plan === undefined) {
      return false;
    }
    job.accumulatesHolds = atOnce === undefined;
    if (!job.spec.idempotent && !members[0]?.startRecorded) {
      members.forEach((task) => this.#recordStart(task));
      return true;
    }
    job.gang = GangPhase.Holding;
    this.#home.activeGangs.add(job);
    plan.forEach((sliceId, index) => {
      const task = members[index];
      if (task !== undefined) {
        this.#assign(task, sliceId);
      }
    });
    return true;
  }

  #isBelowCeiling({ job }: HomeTask): boolean {
    const used = addResources(this.#home.used, this.#reservedForGang);
    const { ceiling } = this.#rule;
    return isBelowCeiling({ ...this.#home, used }, job.size, ceiling);
  }

  /**
   * Reserves the part of the ceiling that a gang with a long wait needs, so
   * that later work can't use it. Only one gang at a time has a reservation.
   */
  #reserveForGang(members: readonly HomeTask[]): void {
    if (this.#reservedForGang === NO_RESOURCES) {
      this.#reservedForGang = members.reduce(
        (sum, { job }) => addResources(sum, job.size),
        NO_RESOURCES,
      );
    }
  }

  #fitsBelowCeiling(job: HomeJob, members: readonly HomeTask[]): boolean {
    const { ceiling } = this.#rule;
    const home = this.#home;
    const others = members.slice(1).reduce(
      (sum) => addResources(sum, job.size),
      home.used,
    );
    return isBelowCeiling({ ...home, used: others }, job.size, ceiling);
  }

  /**
   * Records the start in the journal; a task that must not run twice starts
   * only after that.
   */
  #recordStart(task: HomeTask): void {
    setTaskState(this.#home, task, TaskState.Recording);
    appendRecords(this.#update, this.#home, [{
      kind: JournalRecordKind.Starting,
      jobId: task.job.jobId,
      taskIndex: task.index,
    }]);
  }

  #assign(task: HomeTask, sliceId: string): void {
    const home = this.#home;
    task.seq = home.nextSeq;
    home.nextSeq += 1;
    task.taskId = formatTaskId(task, home.epoch);
    task.sliceId = sliceId;
    task.sliceEpoch = home.slices.get(sliceId)?.fencedEpoch ?? 0;
    task.askedAt = this.#update.now;
    task.withdrawn = false;
    home.bySeq.set(task.seq, task);
    home.byTaskId.set(task.taskId, task);
    setTaskState(home, task, TaskState.Asked);
    this.#chooser.recordAsk(task);
    const tasks = this.#askedBySlice.get(sliceId);
    if (tasks === undefined) {
      this.#askedBySlice.set(sliceId, [task]);
    } else {
      tasks.push(task);
    }
  }
}

function isPending({ state }: HomeTask): boolean {
  return state === TaskState.Pending;
}

/**
 * True if the member waits or has ended; ended members don't run again with the
 * others.
 */
function isIdle({ state }: HomeTask): boolean {
  return state === TaskState.Pending || state === TaskState.Ended;
}
