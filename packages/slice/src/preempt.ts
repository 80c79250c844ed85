import type { Update } from "@mustardweir/kernel";
import {
  type Preemption,
  PREEMPTION_POLICY,
  type PreemptionPlace,
  type PreemptionPolicy,
  type PreemptionRequest,
  type RunningTask,
  type TeamStanding,
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
import { stopTask } from "./asks.ts";
import { claimRoom, hasClaim } from "./claims.ts";
import { isUrgent, type QueuedAsk } from "./ask_queue.ts";
import { openTotal, usageByTeam } from "./demand.ts";
import { mayGrant } from "./grant.ts";
import { findHolder, waitsForHolder } from "./holder.ts";
import type { Slice, SliceTask, TeamView, Worker } from "./slice_state.ts";
import { duesByTeam } from "./standings.ts";

/** Urgent work waits this long for room that comes free, in milliseconds. */
const URGENT_PATIENCE_MS = 50;

/** Work of a team below its entitlement, likewise. */
const PATIENCE_MS = 500;

/** Asks that room is made for in one step. */
const MAX_PICKS = 16;

/** Instances looked at for one ask. */
const MAX_PLACES = 32;

/** Part of a slice's tasks that is stopped for teams' shares in a window. */
const MAX_STOPPED_PART = 0.2;

/** Least of them that may be stopped. */
const MIN_STOPS = 4;

/** Time after which other slices know of what was stopped. */
const WINDOW_MS = 1_000;

/** What stopping a member of a gang costs, in members. */
const GANG_COST = 16;

/** Makes room for urgent work and for teams below their entitlement. */
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

/** Asks that have waited for long enough, urgent ones and old ones first. */
function listWaiting(update: Update, slice: Slice): WaitingAsk[] {
  const waiting: WaitingAsk[] = [];
  const holder = findHolder(slice);
  for (const view of slice.teams.values()) {
    for (const queued of view.queue.values()) {
      const patienceMs = isUrgent(queued) ? URGENT_PATIENCE_MS : PATIENCE_MS;
      const isOld = update.now - queued.receivedAt >= patienceMs;
      if (isOld && !waitsForHolder(queued, holder)) {
        waiting.push({ view, queued });
      }
    }
  }
  return waiting.sort((a, b) =>
    Number(isUrgent(b.queued)) - Number(isUrgent(a.queued)) ||
    a.queued.receivedAt - b.queued.receivedAt
  );
}

/** One step: what is stopped for which asks. */
class PreemptionRound {
  readonly #update: Update;
  readonly #slice: Slice;
  readonly #policy: PreemptionPolicy;
  readonly #total: Resources;
  readonly #standings = new Map<string, TeamStanding>();
  /** Teams that room is not made for in this step but for urgent work. */
  readonly #refused = new Set<TeamView>();
  readonly #places = new Map<Worker, PreemptionPlace>();
  readonly #workers: readonly Worker[];

  constructor(update: Update, slice: Slice) {
    this.#update = update;
    this.#slice = slice;
    this.#policy = update.service(PREEMPTION_POLICY);
    this.#total = openTotal(update);
    this.#workers = [...slice.workers.values()];
    this.#readStandings();
    startWindow(update, slice);
  }

  run(waiting: readonly WaitingAsk[]): void {
    let picks = 0;
    for (const ask of waiting) {
      if (picks >= MAX_PICKS) {
        return;
      }
      picks += this.#serve(ask) ? 1 : 0;
    }
  }

  /** What is under way counts: victims as stopped, claims as granted. */
  #readStandings(): void {
    const usage = usageByTeam(this.#update);
    const dues = duesByTeam(this.#update);
    for (const [team, due] of dues) {
      const used = usage.get(team) ?? NO_RESOURCES;
      this.#standings.set(team, { team, used, due });
    }
    for (const { view, seq, victims } of this.#slice.claims.values()) {
      const size = view.queue.get(seq)?.ask.task.size ?? NO_RESOURCES;
      this.#move(view.team, size);
      for (const { task, phase } of victims) {
        if (phase !== TaskPhase.Ended) {
          this.#move(task.team, subtractResources(NO_RESOURCES, task.size));
        }
      }
    }
  }

  #move(team: string, amount: Resources): void {
    const standing = this.#standings.get(team);
    if (standing !== undefined) {
      const used = addResources(standing.used, amount);
      this.#standings.set(team, { ...standing, used });
    }
  }

  /** True when something was stopped for the ask. */
  #serve({ view, queued }: WaitingAsk): boolean {
    const { ask: { seq, task: { size } } } = queued;
    const urgent = isUrgent(queued);
    const isRefused = !urgent && this.#refused.has(view);
    if (isRefused || hasClaim(this.#slice, view, seq)) {
      return false;
    }
    const request: PreemptionRequest = {
      team: view.team,
      size,
      urgent,
      standings: this.#standings,
      total: this.#total,
    };
    const mayPreempt = this.#policy.mayPreempt(request) &&
      (urgent || this.#isWithinPart(view.team, size));
    if (!mayPreempt) {
      this.#refused.add(view);
      return false;
    }
    const places = this.#findPlaces(size);
    const preemption = this.#policy.pick({ ...request, places });
    if (preemption === undefined || !this.#isAllowed(request, preemption)) {
      this.#refused.add(view);
      return false;
    }
    this.#carryOut({ view, queued }, preemption);
    return true;
  }

  /**
   * Several slices may make room for a team at a time: each closes its part of
   * the gap in a window, or room for one ask.
   */
  #isWithinPart(team: string, size: Resources): boolean {
    const { window, table } = this.#slice;
    const standing = this.#standings.get(team);
    const granted = window.granted.get(team);
    if (standing === undefined || granted === undefined) {
      return standing !== undefined;
    }
    const part = dominantShare(table.totalCapacity(), this.#total);
    const gap = window.gaps.get(team) ??
      standing.due - dominantShare(standing.used, this.#total);
    window.gaps.set(team, gap);
    const after = addResources(granted, size);
    return dominantShare(after, this.#total) <= gap * part;
  }

  #isAllowed({ urgent }: PreemptionRequest, { victims }: Preemption): boolean {
    const { window, tasks } = this.#slice;
    const allowed = Math.max(MIN_STOPS, tasks.size * MAX_STOPPED_PART);
    const isFirst = window.stops === 0; // It may need more by itself.
    return urgent === true || isFirst ||
      window.stops + victims.length <= allowed;
  }

  #carryOut(
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
      this.#move(
        task.task.team,
        subtractResources(NO_RESOURCES, task.task.size),
      );
    }
    this.#move(view.team, size);
    const { now } = this.#update;
    claimRoom(slice, { instanceId, view, queued, victims: stopped, now });
    this.#noteInWindow(view.team, size, stopped.length);
    this.#update.emit(count("tasks_preempted", stopped.length));
  }

  #noteInWindow(team: string, size: Resources, stops: number): void {
    const { window } = this.#slice;
    const granted = window.granted.get(team) ?? NO_RESOURCES;
    window.granted.set(team, addResources(granted, size));
    window.stops += stops;
  }

  /** Instances that could hold the ask, from a random one on. */
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
        describe(task, this.#update.now)
      ),
    };
    this.#places.set(worker, place);
    return place;
  }
}

/** What is being stopped is no victim a second time. */
function isRunning({ phase, stop }: SliceTask): boolean {
  return phase === TaskPhase.Running && stop === undefined;
}

function describe({ task, runningSince }: SliceTask, now: number): RunningTask {
  const { taskId, team, kind, priority, idempotent, size } = task;
  const ranMs = now - runningSince;
  const lostMs = kind === JobKind.Gang ? GANG_COST * ranMs : ranMs;
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
