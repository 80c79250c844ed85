import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION, isConfirmed } from "@mustardweir/configuration";
import { QUEUE_ORDER } from "@mustardweir/fairness";
import { isOwnershipConfirmed, isStopping } from "@mustardweir/membership";
import {
  addResources,
  JobKind,
  NO_RESOURCES,
  type Resources,
  ZoneState,
} from "@mustardweir/model";
import { NO_INSTANCE, PLACEMENT_POLICY } from "@mustardweir/placement";
import { AskMode, count, TaskPhase } from "@mustardweir/protocol";
import { tellHeld } from "./asks.ts";
import { takeReadyClaims } from "./claims.ts";
import {
  describeDemand,
  fleetTotal,
  orderedAsks,
  usageByTeam,
} from "./demand.ts";
import { noteStart } from "./health.ts";
import {
  noteNews,
  type QueuedAsk,
  type Slice,
  type SliceTask,
  type TeamView,
  type Worker,
  WorkerState,
} from "./slice_state.ts";
import { addTask } from "./tasks.ts";

/** Sizes of a team's asks that may find no room before it is passed over. */
const MAX_MISSES = 8;

/** Gives room to waiting asks until none of them fits. */
export function grantRoom(update: Update, slice: Slice): void {
  if (!slice.mayGrantMore || !mayGrant(update, slice)) {
    return;
  }
  slice.mayGrantMore = false;
  const hasAsks = [...slice.teams.values()].some(({ queue }) => queue.size > 0);
  if (hasAsks) {
    new GrantRound(update, slice).run();
  }
}

/** True when the slice may start new work. */
export function mayGrant(update: Update, slice: Slice): boolean {
  const configuration = update.read(CONFIGURATION);
  return isConfirmed(configuration, update.now) &&
    isZoneOpen(update, slice) &&
    isOwnershipConfirmed(update) &&
    !isStopping(update);
}

/** True when the zone of the slice takes new work. */
export function isZoneOpen(update: Update, slice: Slice): boolean {
  const { zones } = update.read(CONFIGURATION).current;
  return (zones[slice.availabilityZone] ?? ZoneState.Open) === ZoneState.Open;
}

/** Gives room that was made for asks to them. */
export function serveClaims(update: Update, slice: Slice): void {
  if (slice.claims.size === 0 || !mayGrant(update, slice)) {
    return;
  }
  for (const ready of takeReadyClaims(slice, update.now)) {
    const { view, queued } = ready;
    const worker = slice.workers.get(ready.instanceId);
    if (worker !== undefined && worker.state === WorkerState.Reachable) {
      grant(update, slice, { view, queued, worker });
    }
  }
}

interface Contender {
  readonly view: TeamView;
  /** The next is at the end. */
  readonly asks: QueuedAsk[];
  used: Resources;
  misses: number;
}

/** One pass over the asks of all teams. */
class GrantRound {
  readonly #update: Update;
  readonly #slice: Slice;
  readonly #total: Resources;
  #contenders: Contender[];

  constructor(update: Update, slice: Slice) {
    this.#update = update;
    this.#slice = slice;
    this.#total = fleetTotal(update);
    const usage = usageByTeam(update);
    this.#contenders = [...slice.teams.values()]
      .filter(({ queue }) => queue.size > 0)
      .map((view) => ({
        view,
        asks: orderedAsks(view).reverse(),
        used: usage.get(view.team) ?? NO_RESOURCES,
        misses: 0,
      }));
    this.#passOver();
  }

  run(): void {
    const order = this.#update.service(QUEUE_ORDER);
    while (this.#contenders.length > 0) {
      const demands = this.#contenders.map((contender) =>
        this.#describe(contender)
      );
      const contender = this.#contenders[order.pick(demands, this.#total)];
      if (contender === undefined) {
        return;
      }
      this.#serve(contender);
      this.#passOver();
    }
  }

  /** Leaves out asks, and then teams, that are known to find no room. */
  #passOver(): void {
    const { noRoom } = this.#slice;
    for (const { asks } of this.#contenders) {
      while (asks.length > 0 && noRoom.covers(asks.at(-1)!.ask.task.size)) {
        asks.pop();
      }
    }
    this.#contenders = this.#contenders.filter(({ asks, misses }) =>
      asks.length > 0 && misses < MAX_MISSES
    );
  }

  #describe(contender: Contender) {
    const next = contender.asks.at(-1);
    const { view, used } = contender;
    return describeDemand(this.#update, { view, used, next: next! });
  }

  #serve(contender: Contender): void {
    const queued = contender.asks.pop();
    if (queued === undefined) {
      return;
    }
    const worker = this.#choose(queued);
    if (worker === undefined) {
      contender.misses += 1;
      this.#slice.noRoom.note(queued.ask.task.size);
      return;
    }
    grant(this.#update, this.#slice, {
      view: contender.view,
      queued,
      worker,
    });
    contender.used = addResources(contender.used, queued.ask.task.size);
  }

  #choose({ ask }: QueuedAsk): Worker | undefined {
    const { table, workers } = this.#slice;
    const isService = ask.task.kind === JobKind.Service;
    const policy = this.#update.service(PLACEMENT_POLICY);
    const index = policy.choose(table, {
      size: ask.task.size,
      ...(isService
        ? { crowding: (at: number) => this.#crowding(at, ask.task.jobId) }
        : {}),
    }, this.#update.random);
    return index === NO_INSTANCE
      ? undefined
      : workers.get(table.instanceIdAt(index));
  }

  #crowding(index: number, jobId: string): number {
    const { table, workers } = this.#slice;
    const worker = workers.get(table.instanceIdAt(index));
    let crowding = 0;
    for (const { task } of worker?.tasks ?? []) {
      crowding += task.jobId === jobId ? 1 : 0;
    }
    return crowding;
  }
}

interface Grant {
  readonly view: TeamView;
  readonly queued: QueuedAsk;
  readonly worker: Worker;
}

function grant(update: Update, slice: Slice, grant: Grant): void {
  const { view, queued, worker } = grant;
  const { ask, expiresAt } = queued;
  view.queue.delete(ask.seq);
  const isHold = ask.mode === AskMode.Hold;
  const task = addTask(slice, {
    task: ask.task,
    worker,
    phase: isHold ? TaskPhase.Held : TaskPhase.Starting,
    startSeq: slice.nextStartSeq++,
    startBy: expiresAt,
  });
  view.bySeq.set(ask.seq, task);
  update.emit(count("placements"));
  if (isHold) {
    tellHeld(slice, view, task);
  } else {
    beginStart(update, task);
  }
}

/** Has the start sent with the next call to the worker. */
export function beginStart(update: Update, task: SliceTask): void {
  task.phase = TaskPhase.Starting;
  noteNews(task.worker);
  noteStart(update, task.worker.instanceId);
}
