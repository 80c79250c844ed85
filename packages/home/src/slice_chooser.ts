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
  canHold,
  countPlaces,
  isZoneOpen,
  outlineSlices,
  type SliceOutline,
} from "./fleet_view.ts";
import { type Home, type HomeTask, type SliceView } from "./home_state.ts";

/** Most asks without an answer that a home keeps with one slice. */
const MAX_OUTSTANDING = 128;

/** The same when the next one is urgent. */
const MAX_WITH_URGENT = 256;

/** Most of them that wait in a slice that has no room to tell of. */
const MAX_WAITING = 16;

interface SliceOption {
  readonly outline: SliceOutline;
  readonly view: SliceView;
  /** Room that is left as far as is known; it may be out of date. */
  free: Resources;
  readonly waiting: number;
  readonly total: Resources;
}

/** Chooses the slice to ask for room, from what slices last told. */
export class SliceChooser {
  readonly #update: Update;
  readonly #options: readonly SliceOption[];

  constructor(update: Update, home: Home) {
    this.#update = update;
    this.#options = listOptions(update, home);
  }

  /** The slice to ask for one task, if any should be asked now. */
  choose(task: HomeTask): string | undefined {
    const able = this.#listAble(task);
    const roomy = able.filter((option) => this.#hasRoom(option, task));
    const best = roomy.length > 0
      ? this.#pickRoomy(roomy, task)
      : pickShortestQueue(able, task);
    return best?.outline.spec.sliceId;
  }

  /**
   * True when a slice other than the one that was asked has room for the
   * task, which is then reckoned to be taken.
   */
  reserveElsewhere(task: HomeTask): boolean {
    const option = this.#listAble(task).find((candidate) =>
      candidate.outline.spec.sliceId !== task.sliceId &&
      this.#hasRoom(candidate, task)
    );
    if (option === undefined) {
      return false;
    }
    option.free = subtractResources(option.free, task.job.size);
    return true;
  }

  /** A slice for each task of a gang, or nothing when room is missing. */
  chooseAll(tasks: readonly HomeTask[]): string[] | undefined {
    const left = new Map(
      this.#options.map((option) => [option, option.free]),
    );
    const plan: string[] = [];
    for (const task of tasks) {
      const option = this.#options.find((candidate) =>
        isUsable(candidate, task, this.#update.now) &&
        canHold(candidate.outline, task.job.size) &&
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
   * The slice for all tasks of a gang that could hold them, were it empty: the
   * one with the shortest queue. Gangs that wait in one slice only can't wait
   * for each other.
   */
  chooseWhole(tasks: readonly HomeTask[]): string[] | undefined {
    const [first] = tasks;
    if (first === undefined) {
      return undefined;
    }
    const able = this.#listAble(first).filter(({ outline }) =>
      countPlaces(outline, first.job.size) >= tasks.length
    );
    const best = able.sort((a, b) => queueLoad(a) - queueLoad(b))[0];
    return best && tasks.map(() => best.outline.spec.sliceId);
  }

  /** Takes the task's size off the room known of its slice. */
  noteAsk(task: HomeTask): void {
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

  #listAble(task: HomeTask): SliceOption[] {
    return this.#options.filter((option) =>
      isUsable(option, task, this.#update.now) &&
      canHold(option.outline, task.job.size)
    );
  }

  #hasRoom({ free, view }: SliceOption, { job }: HomeTask): boolean {
    return fitsWithin(job.size, free) &&
      !view.tight.covers(job.size, this.#update.now);
  }

  /** Services go where fewest of their own run; other work at random. */
  #pickRoomy(
    roomy: readonly SliceOption[],
    task: HomeTask,
  ): SliceOption | undefined {
    if (task.job.spec.kind !== JobKind.Service) {
      return roomy[this.#update.random.below(roomy.length)];
    }
    const crowding = (option: SliceOption) => countInZone(option, task);
    return [...roomy].sort((a, b) => crowding(a) - crowding(b))[0];
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
  summary: HeardSummary | undefined,
): SliceOption {
  if (summary !== undefined && summary.heardAt > view.heardAt) {
    view.heardAt = summary.heardAt;
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

interface HeardSummary {
  readonly summary: SliceSummary;
  readonly heardAt: number;
}

function collectSummaries(update: Update): Map<string, HeardSummary> {
  const summaries = new Map<string, HeardSummary>();
  for (const { heartbeat, heardAt } of latestHeartbeats(update)) {
    for (const summary of heartbeat.slices) {
      const known = summaries.get(summary.sliceId);
      if (known === undefined || known.summary.epoch < summary.epoch) {
        summaries.set(summary.sliceId, { summary, heardAt });
      }
    }
  }
  return summaries;
}

function isUsable(
  { view }: SliceOption,
  task: HomeTask,
  now: number,
): boolean {
  const limit = isUrgent(task) ? MAX_WITH_URGENT : MAX_OUTSTANDING;
  return view.outstanding < limit && now >= view.notBefore;
}

function isUrgent({ job }: HomeTask): boolean {
  return job.spec.priority === Priority.Urgent;
}

function pickShortestQueue(
  able: readonly SliceOption[],
  task: HomeTask,
): SliceOption | undefined {
  const limit = isUrgent(task) ? MAX_WITH_URGENT : MAX_WAITING;
  return able
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
