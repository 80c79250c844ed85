import type { Update } from "@mustardweir/kernel";
import {
  latestHeartbeats,
  resolveOwner,
  sliceUnit,
} from "@mustardweir/membership";
import {
  addResources,
  fitsWithin,
  JobKind,
  NO_RESOURCES,
  Priority,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import type { SliceSummary } from "@mustardweir/protocol";
import {
  countTasksThatFit,
  fitsOnInstance,
  isZoneOpen,
  outlineSlices,
  type SliceOutline,
} from "./fleet_view.ts";
import { type Home, type HomeTask, type SliceView } from "./home_state.ts";

/** Largest number of unanswered asks of a home at one slice. */
const MAX_OUTSTANDING = 128;

/** The same limit for an urgent task. */
const MAX_OUTSTANDING_URGENT = 256;

/** The same limit at a slice that reports no room; urgent tasks are exempt. */
const MAX_OUTSTANDING_WITHOUT_ROOM = 16;

interface SliceOption {
  readonly outline: SliceOutline;
  readonly view: SliceView;
  /** Estimated free room: the last report less what was asked for since. */
  free: Resources;
  readonly waiting: number;
  readonly total: Resources;
}

/**
 * Chooses the slices to ask for room, by the free room that they last reported.
 */
export class SliceChooser {
  readonly #update: Update;
  readonly #options: readonly SliceOption[];

  constructor(update: Update, home: Home) {
    this.#update = update;
    this.#options = listOptions(update, home);
  }

  /**
   * Returns the slice to ask for one task; undefined if none should be asked
   * now.
   */
  choose(task: HomeTask): string | undefined {
    const eligible = this.#listEligible(task);
    const withRoom = eligible.filter((option) => this.#hasRoom(option, task));
    const best = withRoom.length > 0
      ? this.#pickWithRoom(withRoom, task)
      : pickShortestQueue(eligible, task);
    return best?.outline.spec.sliceId;
  }

  /**
   * Returns whether a slice other than the one that was asked has room for the
   * task. If so, the room is deducted from the estimate.
   */
  reserveElsewhere(task: HomeTask): boolean {
    const option = this.#listEligible(task).find((candidate) =>
      candidate.outline.spec.sliceId !== task.sliceId &&
      this.#hasRoom(candidate, task)
    );
    if (option === undefined) {
      return false;
    }
    option.free = subtractResources(option.free, task.job.size);
    return true;
  }

  /**
   * Returns a slice for each task of a gang; undefined if there is too little
   * room.
   */
  chooseAll(tasks: readonly HomeTask[]): string[] | undefined {
    const left = new Map(
      this.#options.map((option) => [option, option.free]),
    );
    const plan: string[] = [];
    for (const task of tasks) {
      const option = this.#options.find((candidate) =>
        acceptsAsks(candidate, task, this.#update.now) &&
        fitsOnInstance(candidate.outline, task.job.size) &&
        fitsWithin(task.job.size, left.get(candidate) ?? NO_RESOURCES)
      );
      if (option === undefined) {
        return undefined;
      }
      const free = left.get(option) ?? NO_RESOURCES;
      left.set(option, subtractResources(free, task.job.size));
      plan.push(option.outline.spec.sliceId);
    }
    return plan;
  }

  /**
   * Returns a single slice for all tasks of a gang: the one with the shortest
   * queue of those that could run them all if empty. Gangs that each wait in a
   * single slice can't deadlock across slices.
   */
  chooseSingleSlice(tasks: readonly HomeTask[]): string[] | undefined {
    const [first] = tasks;
    if (first === undefined) {
      return undefined;
    }
    const eligible = this.#listEligible(first).filter(({ outline }) =>
      countTasksThatFit(outline, first.job.size) >= tasks.length
    );
    const best = eligible.sort((a, b) => queueLoad(a) - queueLoad(b))[0];
    return best && tasks.map(() => best.outline.spec.sliceId);
  }

  /** Deducts the task's size from the estimated room of its slice. */
  recordAsk(task: HomeTask): void {
    const option = this.#options.find(({ outline }) =>
      outline.spec.sliceId === task.sliceId
    );
    if (option === undefined) {
      return;
    }
    option.view.outstanding += 1;
    option.free = subtractResources(option.free, task.job.size);
    option.view.askedSince = addResources(
      option.view.askedSince,
      task.job.size,
    );
  }

  #listEligible(task: HomeTask): SliceOption[] {
    return this.#options.filter((option) =>
      acceptsAsks(option, task, this.#update.now) &&
      fitsOnInstance(option.outline, task.job.size)
    );
  }

  #hasRoom({ free, view }: SliceOption, { job }: HomeTask): boolean {
    return fitsWithin(job.size, free) &&
      !view.placeability.isUnplaceable(job.size, this.#update.now);
  }

  /**
   * Picks the zone with the fewest tasks of a service; picks at random for
   * other work.
   */
  #pickWithRoom(
    withRoom: readonly SliceOption[],
    task: HomeTask,
  ): SliceOption | undefined {
    if (task.job.spec.kind !== JobKind.Service) {
      return withRoom[this.#update.random.below(withRoom.length)];
    }
    const tasksInZone = (option: SliceOption) => countInZone(option, task);
    return [...withRoom].sort((a, b) => tasksInZone(a) - tasksInZone(b))[0];
  }
}

function listOptions(update: Update, home: Home): SliceOption[] {
  const summaries = collectSummaries(update);
  const options: SliceOption[] = [];
  for (const outline of outlineSlices(update)) {
    const view = home.slices.get(outline.spec.sliceId);
    const owner = resolveOwner(update, sliceUnit(outline.spec.sliceId));
    const isReady = view !== undefined && view.complete &&
      owner !== undefined && owner.epoch === view.fencedEpoch;
    if (isReady && isZoneOpen(update, outline)) {
      const summary = summaries.get(outline.spec.sliceId);
      options.push(toOption(outline, view, summary));
    }
  }
  return options;
}

function toOption(
  outline: SliceOutline,
  view: SliceView,
  summary: ReceivedSummary | undefined,
): SliceOption {
  if (summary !== undefined && summary.receivedAt > view.summaryReceivedAt) {
    view.summaryReceivedAt = summary.receivedAt;
    view.askedSince = NO_RESOURCES;
  }
  const free = summary?.summary.free ?? NO_RESOURCES;
  return {
    outline,
    view,
    free: subtractResources(free, view.askedSince),
    waiting: summary?.summary.waiting ?? 0,
    total: summary?.summary.total ?? NO_RESOURCES,
  };
}

interface ReceivedSummary {
  readonly summary: SliceSummary;
  readonly receivedAt: number;
}

function collectSummaries(update: Update): Map<string, ReceivedSummary> {
  const summaries = new Map<string, ReceivedSummary>();
  for (const { heartbeat, receivedAt } of latestHeartbeats(update)) {
    for (const summary of heartbeat.slices) {
      const known = summaries.get(summary.sliceId);
      if (known === undefined || known.summary.epoch < summary.epoch) {
        summaries.set(summary.sliceId, { summary, receivedAt });
      }
    }
  }
  return summaries;
}

function acceptsAsks(
  { view }: SliceOption,
  task: HomeTask,
  now: number,
): boolean {
  const limit = isUrgent(task) ? MAX_OUTSTANDING_URGENT : MAX_OUTSTANDING;
  return view.outstanding < limit && now >= view.pausedUntil;
}

function isUrgent({ job }: HomeTask): boolean {
  return job.spec.priority === Priority.Urgent;
}

function pickShortestQueue(
  eligible: readonly SliceOption[],
  task: HomeTask,
): SliceOption | undefined {
  const limit = isUrgent(task)
    ? MAX_OUTSTANDING_URGENT
    : MAX_OUTSTANDING_WITHOUT_ROOM;
  return eligible
    .filter(({ view }) => view.outstanding < limit)
    .sort((a, b) => queueLoad(a) - queueLoad(b))[0];
}

function queueLoad(option: SliceOption): number {
  const queued = option.waiting + option.view.outstanding;
  return queued / Math.max(option.total.slots, 1);
}

function countInZone(option: SliceOption, task: HomeTask): number {
  const { availabilityZone } = option.outline.spec;
  let tasks = 0;
  for (const [sliceId, count] of task.job.tasksBySlice) {
    tasks += sliceId.startsWith(`${availabilityZone}/`) ? count : 0;
  }
  return tasks;
}
