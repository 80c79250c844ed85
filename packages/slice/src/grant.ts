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
import { reportHeld } from "./home_messages.ts";
import { takeReadyReservations } from "./reservations.ts";
import type { QueuedAsk } from "./ask_queue.ts";
import { describeDemand, fleetTotal, usageOf } from "./demand.ts";
import { findHoldingGang, waitsForGang } from "./holding_gang.ts";
import { recordProbeStart } from "./health.ts";
import {
  markCommandsPending,
  type Slice,
  type SliceTask,
  type TeamView,
  type Worker,
  WorkerReachability,
} from "./slice_state.ts";
import { addTask } from "./tasks.ts";

/** Number of a team's sizes that may find no room before a round skips it. */
const MAX_MISSES = 8;

/** Grants room to waiting asks (requests for room) until none of them fits. */
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

/** Whether the slice may start new work. */
export function mayGrant(update: Update, slice: Slice): boolean {
  const configuration = update.read(CONFIGURATION);
  return isConfirmed(configuration, update.now) &&
    isZoneOpen(update, slice) &&
    isOwnershipConfirmed(update) &&
    !isStopping(update);
}

/** Whether the availability zone of the slice takes new work. */
export function isZoneOpen(update: Update, slice: Slice): boolean {
  const { zones } = update.read(CONFIGURATION).current;
  return (zones[slice.availabilityZone] ?? ZoneState.Open) === ZoneState.Open;
}

/** Grants reserved room that has become free to the asks it was kept for. */
export function serveReservations(update: Update, slice: Slice): void {
  if (slice.reservations.size === 0 || !mayGrant(update, slice)) {
    return;
  }
  for (const ready of takeReadyReservations(slice, update.now)) {
    const { view, queued } = ready;
    const worker = slice.workers.get(ready.instanceId);
    if (worker !== undefined && worker.state === WorkerReachability.Reachable) {
      grant(update, slice, { view, queued, worker });
    }
  }
}

/** A team that takes part in a grant round. */
interface Contender {
  readonly view: TeamView;
  /** Its first ask that may find room. */
  next: QueuedAsk;
  used: Resources;
  /** Number of its asks, each of another size, that found no room. */
  misses: number;
}

/** One pass over the asks of all teams. */
class GrantRound {
  readonly #update: Update;
  readonly #slice: Slice;
  readonly #total: Resources;
  readonly #contenders: Contender[] = [];
  readonly #demands: TeamDemand[] = [];
  #holdingGang: string | undefined;

  constructor(update: Update, slice: Slice) {
    this.#update = update;
    this.#slice = slice;
    this.#total = fleetTotal(update);
    this.#holdingGang = findHoldingGang(slice);
    for (const view of slice.teams.values()) {
      const next = this.#nextAsk(view);
      if (next !== undefined) {
        this.#addContender(view, next);
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
      this.#holdingGang = findHoldingGang(this.#slice);
      this.#advance(index, !isServed || mode === AskMode.Hold);
    }
  }

  #addContender(view: TeamView, next: QueuedAsk): void {
    const used = usageOf(this.#update, view.team);
    this.#contenders.push({ view, next, used, misses: 0 });
    this.#demands.push(describeDemand(this.#update, { view, next, used }));
  }

  #nextAsk(view: TeamView): QueuedAsk | undefined {
    const { unplaceable } = this.#slice;
    return view.queue.first((queued) =>
      unplaceable.covers(queued.ask.task.size) ||
      waitsForGang(queued, this.#holdingGang)
    );
  }

  /**
   * Selects the next ask of the team, or of every team when `hasChanged`:
   * the next asks of other teams may not be eligible any more.
   */
  #advance(index: number, hasChanged: boolean): void {
    if (!hasChanged) {
      this.#advanceContender(index);
      return;
    }
    for (let other = this.#contenders.length - 1; other >= 0; other--) {
      this.#advanceContender(other);
    }
  }

  /**
   * Selects the team's next ask; removes the team from the round when it
   * has none that may find room, or too many found none.
   */
  #advanceContender(index: number): void {
    const contender = this.#contenders[index]!;
    const next = this.#nextAsk(contender.view);
    if (next === undefined || contender.misses >= MAX_MISSES) {
      this.#contenders.splice(index, 1);
      this.#demands.splice(index, 1);
    } else {
      contender.next = next;
      this.#demands[index] = describeDemand(this.#update, contender);
    }
  }

  /** Places the team's next ask; returns false when it finds no room. */
  #serve(contender: Contender): boolean {
    const { view, next: queued } = contender;
    const { size } = queued.ask.task;
    const worker = this.#choose(queued);
    if (worker === undefined) {
      contender.misses += 1;
      this.#slice.unplaceable.add(size);
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
  view.tasksBySeq.set(ask.seq, task);
  update.emit(count("placements"));
  if (isHold) {
    slice.held.add(task);
    reportHeld(slice, view, task);
  } else {
    beginStart(update, slice, task);
  }
}

/** Queues the start of a task for the next call to its worker. */
export function beginStart(
  update: Update,
  slice: Slice,
  task: SliceTask,
): void {
  // Numbered here and not at the grant: meanwhile calls carry a higher floor,
  // below which workers refuse starts.
  task.startSeq = slice.nextStartSeq++;
  slice.held.delete(task);
  slice.mayGrantMore = true; // Another gang may now be granted holds.
  task.phase = TaskPhase.Starting;
  markCommandsPending(task.worker);
  recordProbeStart(update, task.worker.instanceId);
}
