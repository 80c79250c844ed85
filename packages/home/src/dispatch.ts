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
import { sendAsks } from "./ask_messages.ts";
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

/** A gang that has waited for longer asks where there is no room yet. */
const GANG_PATIENCE_MS = 500;

/** Tasks looked at past the first that can't be asked for. */
const MAX_LOOKAHEAD = 64;

/** Asks for room for what waits, as far as ceiling and slices allow. */
export function pump(update: Update, home: Home): void {
  if (home.urgent.isEmpty && home.normal.isEmpty) {
    return;
  }
  const rule = findRule(update, home.team);
  if (rule === undefined || !mayStart(update, home)) {
    return;
  }
  const round = new AskRound(update, home, rule);
  round.run(home.urgent);
  round.run(home.normal);
  round.send();
}

function mayStart(update: Update, home: Home): boolean {
  return home.phase === HomePhase.Active &&
    isOwnershipConfirmed(update) &&
    isConfirmed(update.read(CONFIGURATION), update.now) &&
    !isStopping(update);
}

/** One pass over the queues of a home. */
class AskRound {
  readonly #update: Update;
  readonly #home: Home;
  readonly #rule: TeamRule;
  readonly #chooser: SliceChooser;
  readonly #asksBySlice = new Map<string, HomeTask[]>();
  #skipped = 0;
  /** Part of the ceiling that later work leaves to a gang. */
  #kept = NO_RESOURCES;

  constructor(update: Update, home: Home, rule: TeamRule) {
    this.#update = update;
    this.#home = home;
    this.#rule = rule;
    this.#chooser = new SliceChooser(update, home);
  }

  /** Takes what was asked for off the queue. */
  run(queue: JobQueue): void {
    for (const job of queue.jobs()) {
      if (this.#skipped > MAX_LOOKAHEAD) {
        return;
      }
      this.#serve(queue, job);
    }
  }

  /** Asks for the tasks of a job, which are alike, until one has to wait. */
  #serve(queue: JobQueue, job: HomeJob): void {
    for (let task = queue.peek(job); task !== undefined;) {
      if (!this.#ask(task)) {
        this.#skipped += 1;
        return;
      }
      queue.shift(job);
      task = queue.peek(job);
    }
  }

  /** Sends what was asked for, one message a slice. */
  send(): void {
    for (const [sliceId, tasks] of this.#asksBySlice) {
      sendAsks(this.#update, this.#home, { sliceId, tasks });
    }
  }

  #ask(task: HomeTask): boolean {
    return task.job.spec.kind === JobKind.Gang
      ? this.#askGang(task.job)
      : this.#askOne(task);
  }

  #askOne(task: HomeTask): boolean {
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

  #askGang(job: HomeJob): boolean {
    const isReady = job.gang === GangPhase.Idle &&
      this.#update.now >= job.gangNotBefore &&
      job.tasks.every(isIdle);
    if (!isReady) {
      return false;
    }
    const members = job.tasks.filter(isPending);
    const isOld = this.#update.now - job.createdAt >= GANG_PATIENCE_MS;
    if (!this.#fitsBelowCeiling(job, members)) {
      this.#keepBelowCeiling(isOld ? members : []);
      return false;
    }
    const atOnce = this.#chooser.chooseAll(members);
    const plan = atOnce ??
      (isOld ? this.#chooser.chooseWhole(members) : undefined);
    if (plan === undefined) {
      return false;
    }
    job.accumulates = atOnce === undefined;
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
    const used = addResources(this.#home.used, this.#kept);
    const { ceiling } = this.#rule;
    return isBelowCeiling({ ...this.#home, used }, job.size, ceiling);
  }

  /**
   * What is behind a gang that has waited for long leaves it its part of the
   * ceiling, of one gang at a time.
   */
  #keepBelowCeiling(members: readonly HomeTask[]): void {
    if (this.#kept === NO_RESOURCES) {
      this.#kept = members.reduce(
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

  /** A task that must not run twice is started only after a record. */
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
    this.#chooser.noteAsk(task);
    const tasks = this.#asksBySlice.get(sliceId);
    if (tasks === undefined) {
      this.#asksBySlice.set(sliceId, [task]);
    } else {
      tasks.push(task);
    }
  }
}

function isPending({ state }: HomeTask): boolean {
  return state === TaskState.Pending;
}

/** Members of a gang that have ended need not run with the others again. */
function isIdle({ state }: HomeTask): boolean {
  return state === TaskState.Pending || state === TaskState.Ended;
}
