import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION, isConfirmed } from "@mustardweir/configuration";
import { QUEUE_ORDER, type TeamDemand } from "@mustardweir/fairness";
import { isOwnershipConfirmed, isStopping } from "@mustardweir/membership";
import {
  addResources,
  JobKind,
  type Resources,
  ZoneState,
} from "@mustardweir/model";
import { NO_INSTANCE, PLACEMENT_POLICY } from "@mustardweir/placement";
import { AskMode, count, TaskPhase } from "@mustardweir/protocol";
import { tellHeld } from "./asks.ts";
import { takeReadyClaims } from "./claims.ts";
import type { QueuedAsk } from "./ask_queue.ts";
import { describeDemand, fleetTotal, usageOf } from "./demand.ts";
import { findHolder, waitsForHolder } from "./holder.ts";
import { noteStart } from "./health.ts";
import {
  noteNews,
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
  /** The first ask that is not known to find no room. */
  next: QueuedAsk;
  used: Resources;
  misses: number;
}

/** One pass over the asks of all teams. */
class GrantRound {
  readonly #update: Update;
  readonly #slice: Slice;
  readonly #total: Resources;
  readonly #contenders: Contender[] = [];
  readonly #demands: TeamDemand[] = [];
  #holder: string | undefined;

  constructor(update: Update, slice: Slice) {
    this.#update = update;
    this.#slice = slice;
    this.#total = fleetTotal(update);
    this.#holder = findHolder(slice);
    for (const view of slice.teams.values()) {
      const next = this.#nextOf(view);
      if (next !== undefined) {
        this.#enter(view, next);
      }
    }
  }

  run(): void {
    const order = this.#update.service(QUEUE_ORDER);
    while (this.#contenders.length > 0) {
      const index = order.pick(this.#demands, this.#total);
      const contender = this.#contenders[index];
      if (contender === undefined) {
        return;
      }
      const { mode } = contender.next.ask;
      const isServed = this.#serve(contender);
      this.#holder = findHolder(this.#slice);
      this.#goOn(index, !isServed || mode === AskMode.Hold);
    }
  }

  #enter(view: TeamView, next: QueuedAsk): void {
    const used = usageOf(this.#update, view.team);
    this.#contenders.push({ view, next, used, misses: 0 });
    this.#demands.push(describeDemand(this.#update, { view, next, used }));
  }

  #nextOf(view: TeamView): QueuedAsk | undefined {
    const { noRoom } = this.#slice;
    return view.queue.first((queued) =>
      noRoom.covers(queued.ask.task.size) ||
      waitsForHolder(queued, this.#holder)
    );
  }

  /** Takes up the next ask of a team, or of all when others may be out. */
  #goOn(index: number, hasChanged: boolean): void {
    if (!hasChanged) {
      this.#takeNext(index);
      return;
    }
    for (let other = this.#contenders.length - 1; other >= 0; other--) {
      this.#takeNext(other);
    }
  }

  /** Leaves the team out when it has no ask that may find room. */
  #takeNext(index: number): void {
    const contender = this.#contenders[index]!;
    const next = this.#nextOf(contender.view);
    if (next === undefined || contender.misses >= MAX_MISSES) {
      this.#contenders.splice(index, 1);
      this.#demands.splice(index, 1);
    } else {
      contender.next = next;
      this.#demands[index] = describeDemand(this.#update, contender);
    }
  }

  /** False when the ask finds no room. */
  #serve(contender: Contender): boolean {
    const { view, next: queued } = contender;
    const { size } = queued.ask.task;
    const worker = this.#choose(queued);
    if (worker === undefined) {
      contender.misses += 1;
      this.#slice.noRoom.note(size);
      return false;
    }
    grant(this.#update, this.#slice, { view, queued, worker });
    contender.used = addResources(contender.used, size);
    return true;
  }

  #choose({ ask }: QueuedAsk): Worker | undefined {
    const { table, workers, spread } = this.#slice;
    const { jobId } = ask.task;
    const isService = ask.task.kind === JobKind.Service;
    const policy = this.#update.service(PLACEMENT_POLICY);
    const index = policy.choose(table, {
      size: ask.task.size,
      ...(isService
        ? { crowding: (at) => spread.crowding(jobId, at, table.rackAt(at)) }
        : {}),
    }, this.#update.random);
    return index === NO_INSTANCE
      ? undefined
      : workers.get(table.instanceIdAt(index));
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
    startBy: expiresAt,
  });
  view.bySeq.set(ask.seq, task);
  update.emit(count("placements"));
  if (isHold) {
    slice.held.add(task);
    tellHeld(slice, view, task);
  } else {
    beginStart(update, slice, task);
  }
}

/** Has the start sent with the next call to the worker. */
export function beginStart(
  update: Update,
  slice: Slice,
  task: SliceTask,
): void {
  // Not before: calls meanwhile tell workers a floor above.
  task.startSeq = slice.nextStartSeq++;
  slice.held.delete(task);
  slice.mayGrantMore = true; // Another gang may be given holds now.
  task.phase = TaskPhase.Starting;
  noteNews(task.worker);
  noteStart(update, task.worker.instanceId);
}
