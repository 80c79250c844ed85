import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { isLeaving, isStopping, type Owned } from "@mustardweir/membership";
import {
  instanceCapacity,
  NO_RESOURCES,
  type PlacedInstance,
  type Resources,
  sliceFleet,
  type SliceSpec,
} from "@mustardweir/model";
import { InstanceTable } from "@mustardweir/placement";
import { DeclineReason, StopMode, TaskPhase } from "@mustardweir/protocol";
import { stopTask } from "./asks.ts";
import { isZoneOpen } from "./grant.ts";
import { isTrusted } from "./health.ts";
import { NoRoom } from "./no_room.ts";
import {
  noteRoom,
  type Slice,
  type Worker,
  WorkerState,
} from "./slice_state.ts";
import { SpreadCounts } from "./spread_counts.ts";
import { takeBackStart } from "./tasks.ts";

/** The slice of the inventory with this id. */
export function findSliceSpec(
  update: Update,
  sliceId: string,
): SliceSpec | undefined {
  const { inventory } = update.read(CONFIGURATION).current;
  return sliceFleet(inventory).find((spec) => spec.sliceId === sliceId);
}

/** Makes the slice of a new owner; nothing is known of its workers yet. */
export function createSlice(
  update: Update,
  spec: SliceSpec,
  owned: Owned,
): Slice {
  const slice: Slice = {
    sliceId: spec.sliceId,
    epoch: owned.epoch,
    availabilityZone: spec.availabilityZone,
    acquiredAt: update.now,
    claimKnownAt: Infinity,
    table: new InstanceTable(),
    noRoom: new NoRoom(),
    spread: new SpreadCounts(),
    mayGrantMore: true,
    workers: new Map(),
    touched: new Set(),
    tasks: new Map(),
    held: new Set(),
    ended: new Set(),
    untold: new Set(),
    teams: new Map(),
    claims: new Map(),
    window: {
      startedAt: -Infinity,
      stops: 0,
      granted: new Map(),
      gaps: new Map(),
    },
    drain: undefined,
    nextStartSeq: 1,
    complete: false,
    outbox: new Map(),
  };
  followInventory(slice, spec);
  if (!owned.isFirstOwner) {
    addRetired(update, slice);
  }
  return slice;
}

/** An earlier owner may have started tasks on instances that left since. */
function addRetired(update: Update, slice: Slice): void {
  const { retired = [] } = update.read(CONFIGURATION);
  const ofSlice = retired.filter(({ sliceId, id }) =>
    sliceId === slice.sliceId && !slice.workers.has(id)
  );
  for (const { id, address } of ofSlice) {
    addWorker(slice, { instanceId: id, address, capacity: NO_RESOURCES });
    slice.workers.get(id)!.removed = true;
  }
}

/** Brings the slice's instances in line with the inventory. */
export function followInventory(slice: Slice, spec: SliceSpec): void {
  const listed = new Set<string>();
  for (const instance of spec.instances) {
    listed.add(instance.spec.id);
    const worker = slice.workers.get(instance.spec.id);
    if (worker === undefined) {
      addWorker(slice, describeInstance(instance));
    } else {
      worker.removed = false;
      const capacity = instanceCapacity(instance.spec);
      slice.table.setCapacity(worker.index, capacity);
    }
  }
  for (const worker of slice.workers.values()) {
    if (!listed.has(worker.instanceId)) {
      retire(worker);
    }
  }
}

interface NewInstance {
  readonly instanceId: string;
  readonly address: string;
  readonly capacity: Resources;
  readonly rack?: string;
}

function describeInstance({ spec, rack }: PlacedInstance): NewInstance {
  const { id: instanceId, address } = spec;
  return { instanceId, address, capacity: instanceCapacity(spec), rack };
}

function addWorker(slice: Slice, instance: NewInstance): void {
  const { instanceId, address, capacity, rack = "" } = instance;
  const index = slice.table.add({
    instanceId,
    capacity,
    rack,
    availabilityZone: slice.availabilityZone,
  });
  slice.table.setEligible(index, false);
  slice.workers.set(instanceId, {
    instanceId,
    address,
    index,
    rack,
    state: WorkerState.Unknown,
    incarnation: "",
    upSince: Infinity,
    stateSeq: 0,
    leaseToken: undefined,
    tokenAt: -Infinity,
    heardAt: -Infinity,
    retryAt: 0,
    fullUntil: 0,
    pollSentAt: undefined,
    commandSentAt: undefined,
    hasNews: false,
    touched: slice.touched,
    removed: false,
    tasks: new Set(),
    acks: new Set(),
  });
}

function retire(worker: Worker): void {
  worker.removed = true;
  stopAll(worker);
}

/** Moves the work of an instance that left the inventory away. */
function stopAll(worker: Worker): void {
  for (const task of worker.tasks) {
    stopTask(task, StopMode.Preempt);
  }
}

/** Forgets instances that left the inventory and run nothing any more. */
export function dropRetired(slice: Slice): void {
  for (const worker of [...slice.workers.values()]) {
    const isIdle = worker.tasks.size === 0 && worker.acks.size === 0;
    const isSettled = worker.state === WorkerState.Reachable ||
      worker.state === WorkerState.Lapsed;
    if (worker.removed && isIdle && isSettled) {
      slice.workers.delete(worker.instanceId);
      slice.touched.delete(worker);
      slice.table.remove(worker.instanceId);
    } else if (worker.removed) {
      stopAll(worker);
    }
  }
}

/** Says which of the workers may get new work. */
export function updateEligibility(
  update: Update,
  slice: Slice,
  workers: Iterable<Worker>,
): void {
  const isOpen = isZoneOpen(update, slice) && !isStopping(update);
  for (const worker of workers) {
    const isEligible = isOpen && isStaying(update, worker) &&
      worker.state === WorkerState.Reachable &&
      update.now >= worker.fullUntil &&
      !slice.claims.has(worker.instanceId) &&
      isTrusted(update, worker.instanceId);
    if (isEligible && !slice.table.isEligible(worker.index)) {
      noteRoom(slice);
    }
    slice.table.setEligible(worker.index, isEligible);
  }
}

/**
 * Takes back starts that have not come to pass on instances, or in zones, that
 * are given no new work any more.
 */
export function takeBackStarts(
  update: Update,
  slice: Slice,
  workers: Iterable<Worker>,
): void {
  const isOpen = isZoneOpen(update, slice);
  for (const worker of workers) {
    if (!isOpen || !isStaying(update, worker)) {
      worker.tasks.forEach((task) =>
        takeBackStart(task, DeclineReason.ZoneClosed)
      );
    }
  }
}

/** True unless the instance is leaving, or has left the inventory. */
function isStaying(update: Update, worker: Worker): boolean {
  return !worker.removed && !isLeaving(update, worker.instanceId);
}

/** True when nothing unknown runs on the slice's workers. */
export function isComplete(slice: Slice): boolean {
  return [...slice.workers.values()].every(({ state }) =>
    state !== WorkerState.Unknown
  );
}

/** Tasks that take room on an instance. */
export function hasRunning(worker: Worker): boolean {
  return [...worker.tasks].some(({ phase }) => phase !== TaskPhase.Ended);
}
