import type { Update } from "@mustardweir/kernel";
import {
  type PlacedTask,
  type Preemption,
  PREEMPTION_POLICY,
  type PreemptionPlace,
  type PreemptionPolicy,
  type PreemptionRequest,
  type TeamAllocation,
} from "@mustardweir/fairness";
import {
  addResources,
  dominantShare,
  fitsWithin,
  JobKind,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import { count, StopMode, TaskPhase } from "@mustardweir/protocol";
import { stopTask } from "./home_messages.ts";
import { hasReservation, reserveInstance } from "./reservations.ts";
import { isUrgent, type QueuedAsk } from "./ask_queue.ts";
import { openTotal, usageByTeam } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { findHoldingGang, waitsForGang } from "./holding_gang.ts";
import type { Slice, SliceTask, TeamView, Worker } from "./slice_state.ts";
import { entitledShareByTeam } from "./entitled_shares.ts";

/** Time that urgent asks wait before tasks are preempted, in milliseconds. */
const URGENT_WAIT_MS = 50;

/** The same for asks of teams below their entitlement. */
const ENTITLED_WAIT_MS = 500;

/** Maximum number of asks for which tasks are preempted in one round. */
const MAX_PREEMPTIONS = 16;

/** Maximum number of instances that are considered for one ask. */
const MAX_PLACES = 32;

/** Maximum fraction of a slice's tasks stopped for entitlements in a window. */
const MAX_STOPPED_FRACTION = 0.2;

/** Number of tasks that may be stopped in a window whatever that fraction. */
const MIN_STOPS = 4;

/**
 * Length of a window in milliseconds: the time after which other slices have
 * received the usage that results from the stops.
 */
const WINDOW_MS = 1_000;

/** Work lost by stopping one member of a gang, as a multiple of its own. */
const GANG_COST_FACTOR = 16;

/**
 * Preempts tasks for asks (requests for room) that are urgent or of teams below
 * their entitlement.
 */
export function preempt(update: Update, slice: Slice): void {
  const waiting = listWaiting(update, slice);
  if (waiting.length > 0 && mayGrant(update, slice)) {
    new PreemptionRound(update, slice).run(waiting);
  }
}

interface WaitingAsk {
  readonly view: TeamView;
  readonly queued: QueuedAsk;
}

/** Asks that may preempt tasks now: urgent ones first, then the oldest. */
function listWaiting(update: Update, slice: Slice): WaitingAsk[] {
  const waiting: WaitingAsk[] = [];
  const holdingGang = findHoldingGang(slice);
  for (const view of slice.teams.values()) {
    for (const queued of view.queue.values()) {
      const waitMs = isUrgent(queued) ? URGENT_WAIT_MS : ENTITLED_WAIT_MS;
      const isOld = update.now - queued.receivedAt >= waitMs;
      if (isOld && !waitsForGang(queued, holdingGang)) {
        waiting.push({ view, queued });
      }
    }
  }
  return waiting.sort((a, b) =>
    Number(isUrgent(b.queued)) - Number(isUrgent(a.queued)) ||
    a.queued.receivedAt - b.queued.receivedAt
  );
}

/** One round: chooses which tasks are stopped for which asks. */
class PreemptionRound {
  readonly #update: Update;
  readonly #slice: Slice;
  readonly #policy: PreemptionPolicy;
  readonly #total: Resources;
  readonly #allocations = new Map<string, TeamAllocation>();
  /** Teams for which only urgent asks may still preempt in this round. */
  readonly #refused = new Set<TeamView>();
  readonly #places = new Map<Worker, PreemptionPlace>();
  readonly #workers: readonly Worker[];

  constructor(update: Update, slice: Slice) {
    this.#update = update;
    this.#slice = slice;
    this.#policy = update.service(PREEMPTION_POLICY);
    this.#total = openTotal(update);
    this.#workers = [...slice.workers.values()];
    this.#readAllocations();
    startWindow(update, slice);
  }

  run(waiting: readonly WaitingAsk[]): void {
    let preemptions = 0;
    for (const ask of waiting) {
      if (preemptions >= MAX_PREEMPTIONS) {
        return;
      }
      preemptions += this.#serve(ask) ? 1 : 0;
    }
  }

  /**
   * Reads usage and entitlements, with unfinished preemptions counted in:
   * victims as stopped and reservations as granted.
   */
  #readAllocations(): void {
    const usage = usageByTeam(this.#update);
    const shares = entitledShareByTeam(this.#update);
    for (const [team, entitledShare] of shares) {
      const used = usage.get(team) ?? NO_RESOURCES;
      this.#allocations.set(team, { team, used, entitledShare });
    }
    for (const { view, seq, victims } of this.#slice.reservations.values()) {
      const size = view.queue.get(seq)?.ask.task.size ?? NO_RESOURCES;
      this.#adjustUsage(view.team, size);
      for (const { task, phase } of victims) {
        if (phase !== TaskPhase.Ended) {
          this.#adjustUsage(
            task.team,
            subtractResources(NO_RESOURCES, task.size),
          );
        }
      }
    }
  }

  #adjustUsage(team: string, amount: Resources): void {
    const allocation = this.#allocations.get(team);
    if (allocation !== undefined) {
      const used = addResources(allocation.used, amount);
      this.#allocations.set(team, { ...allocation, used });
    }
  }

  /** Returns whether tasks were stopped for the ask. */
  #serve({ view, queued }: WaitingAsk): boolean {
    const { ask: { seq, task: { size } } } = queued;
    const urgent = isUrgent(queued);
    const isRefused = !urgent && this.#refused.has(view);
    if (isRefused || hasReservation(this.#slice, view, seq)) {
      return false;
    }
    const request: PreemptionRequest = {
      team: view.team,
      size,
      urgent,
      allocations: this.#allocations,
      total: this.#total,
    };
    const mayPreempt = this.#policy.mayPreempt(request) &&
      (urgent || this.#isWithinWindowShare(view.team, size));
    if (!mayPreempt) {
      this.#refused.add(view);
      return false;
    }
    const places = this.#findPlaces(size);
    const preemption = this.#policy.pick({ ...request, places });
    if (
      preemption === undefined || !this.#isWithinStopLimit(request, preemption)
    ) {
      this.#refused.add(view);
      return false;
    }
    this.#execute({ view, queued }, preemption);
    return true;
  }

  /**
   * Whether the slice may make this much more room for the team in the window.
   * Several slices may do so at a time: each closes a part of the gap to the
   * entitlement in proportion to its capacity, but serves at least one ask.
   */
  #isWithinWindowShare(team: string, size: Resources): boolean {
    const { window, table } = this.#slice;
    const allocation = this.#allocations.get(team);
    const granted = window.granted.get(team);
    if (allocation === undefined || granted === undefined) {
      return allocation !== undefined;
    }
    const fraction = dominantShare(table.totalCapacity(), this.#total);
    const gap = window.gaps.get(team) ??
      allocation.entitledShare - dominantShare(allocation.used, this.#total);
    window.gaps.set(team, gap);
    const after = addResources(granted, size);
    return dominantShare(after, this.#total) <= gap * fraction;
  }

  #isWithinStopLimit(
    { urgent }: PreemptionRequest,
    { victims }: Preemption,
  ): boolean {
    const { window, tasks } = this.#slice;
    const allowed = Math.max(MIN_STOPS, tasks.size * MAX_STOPPED_FRACTION);
    const isFirst = window.stops === 0; // A single ask may exceed the limit.
    return urgent === true || isFirst ||
      window.stops + victims.length <= allowed;
  }

  #execute(
    { view, queued }: WaitingAsk,
    { instanceId, victims }: Preemption,
  ): void {
    const slice = this.#slice;
    const stopped = victims.flatMap(({ taskId }) => {
      const task = slice.tasks.get(taskId);
      return task === undefined ? [] : [task];
    });
    const { size } = queued.ask.task;
    for (const task of stopped) {
      stopTask(task, StopMode.Preempt);
      this.#adjustUsage(
        task.task.team,
        subtractResources(NO_RESOURCES, task.task.size),
      );
    }
    this.#adjustUsage(view.team, size);
    const { now } = this.#update;
    reserveInstance(slice, { instanceId, view, queued, victims: stopped, now });
    this.#recordInWindow(view.team, size, stopped.length);
    this.#update.emit(count("tasks_preempted", stopped.length));
  }

  #recordInWindow(team: string, size: Resources, stops: number): void {
    const { window } = this.#slice;
    const granted = window.granted.get(team) ?? NO_RESOURCES;
    window.granted.set(team, addResources(granted, size));
    window.stops += stops;
  }

  /** Eligible instances with enough capacity, from a random one onwards. */
  #findPlaces(size: Resources): PreemptionPlace[] {
    const places: PreemptionPlace[] = [];
    const workers = this.#workers;
    const { table } = this.#slice;
    const start = this.#update.random.below(Math.max(workers.length, 1));
    for (let step = 0; step < workers.length; step++) {
      const worker = workers[(start + step) % workers.length]!;
      const isOpen = table.isEligible(worker.index) &&
        fitsWithin(size, table.capacityAt(worker.index));
      if (isOpen) {
        places.push(this.#placeOf(worker));
      }
      if (places.length >= MAX_PLACES) {
        break;
      }
    }
    return places;
  }

  #placeOf(worker: Worker): PreemptionPlace {
    const known = this.#places.get(worker);
    if (known !== undefined) {
      return known;
    }
    const place: PreemptionPlace = {
      instanceId: worker.instanceId,
      free: this.#slice.table.freeAt(worker.index),
      tasks: [...worker.tasks].filter(isRunning).map((task) =>
        toPlacedTask(task, this.#update.now)
      ),
    };
    this.#places.set(worker, place);
    return place;
  }
}

/** Whether the task runs; one that is already being stopped does not count. */
function isRunning({ phase, stop }: SliceTask): boolean {
  return phase === TaskPhase.Running && stop === undefined;
}

function toPlacedTask(
  { task, runningSince }: SliceTask,
  now: number,
): PlacedTask {
  const { taskId, team, kind, priority, idempotent, size } = task;
  const ranMs = now - runningSince;
  const lostMs = kind === JobKind.Gang ? GANG_COST_FACTOR * ranMs : ranMs;
  return { taskId, team, kind, priority, idempotent, size, lostMs };
}

function startWindow(update: Update, slice: Slice): void {
  if (update.now - slice.window.startedAt >= WINDOW_MS) {
    slice.window = {
      startedAt: update.now,
      stops: 0,
      granted: new Map(),
      gaps: new Map(),
    };
  }
}
