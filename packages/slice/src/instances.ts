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
import { stopTask } from "./home_messages.ts";
import { isZoneOpen } from "./grant.ts";
import { mayReceiveWork } from "./health.ts";
import { UnplaceableSizes } from "./unplaceable_sizes.ts";
import {
  noteRoomFreed,
  type Slice,
  type Worker,
  WorkerReachability,
} from "./slice_state.ts";
import { SpreadCounts } from "./spread_counts.ts";
import { revokeStart } from "./tasks.ts";

/** Finds a slice in the inventory by its id. */
export function findSliceSpec(
  update: Update,
  sliceId: string,
): SliceSpec | undefined {
  const { inventory } = update.read(CONFIGURATION).current;
  return sliceFleet(inventory).find((spec) => spec.sliceId === sliceId);
}

/** Creates the slice of a new owner, with all workers in state Unknown. */
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
    majorityInformedSince: Infinity,
    table: new InstanceTable(),
    unplaceable: new UnplaceableSizes(),
    spread: new SpreadCounts(),
    mayGrantMore: true,
    workers: new Map(),
    dirtyWorkers: new Set(),
    tasks: new Map(),
    held: new Set(),
    ended: new Set(),
    unreported: new Set(),
    teams: new Map(),
    reservations: new Map(),
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
  applyInventory(slice, spec);
  if (!owned.isFirstOwner) {
    addRetired(update, slice);
  }
  return slice;
}

/**
 * Adds instances that have left the inventory: an earlier owner may have
 * started tasks there that still run.
 */
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

/** Updates the slice's instances to match the inventory. */
export function applyInventory(slice: Slice, spec: SliceSpec): void {
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
    state: WorkerReachability.Unknown,
    incarnation: "",
    upSince: Infinity,
    stateSeq: 0,
    leaseToken: undefined,
    leaseTokenAt: -Infinity,
    lastReplyAt: -Infinity,
    retryAt: 0,
    noCapacityUntil: 0,
    pollSentAt: undefined,
    commandSentAt: undefined,
    hasPendingCommands: false,
    dirtyWorkers: slice.dirtyWorkers,
    removed: false,
    tasks: new Set(),
    acks: new Set(),
  });
}

function retire(worker: Worker): void {
  worker.removed = true;
  stopAll(worker);
}

/** Preempts all tasks of an instance that has left the inventory. */
function stopAll(worker: Worker): void {
  for (const task of worker.tasks) {
    stopTask(task, StopMode.Preempt);
  }
}

/**
 * Deletes instances that have left the inventory and run no task any more, and
 * preempts the tasks of the others that have left it.
 */
export function removeRetired(slice: Slice): void {
  for (const worker of [...slice.workers.values()]) {
    const isIdle = worker.tasks.size === 0 && worker.acks.size === 0;
    const isSettled = worker.state === WorkerReachability.Reachable ||
      worker.state === WorkerReachability.Lapsed;
    if (worker.removed && isIdle && isSettled) {
      slice.workers.delete(worker.instanceId);
      slice.dirtyWorkers.delete(worker);
      slice.table.remove(worker.instanceId);
    } else if (worker.removed) {
      stopAll(worker);
    }
  }
}

/** Updates whether each of the workers may receive new work. */
export function updateEligibility(
  update: Update,
  slice: Slice,
  workers: Iterable<Worker>,
): void {
  const isOpen = isZoneOpen(update, slice) && !isStopping(update);
  for (const worker of workers) {
    const isEligible = isOpen && isStaying(update, worker) &&
      worker.state === WorkerReachability.Reachable &&
      update.now >= worker.noCapacityUntil &&
      !slice.reservations.has(worker.instanceId) &&
      mayReceiveWork(update, worker.instanceId);
    if (isEligible && !slice.table.isEligible(worker.index)) {
      noteRoomFreed(slice);
    }
    slice.table.setEligible(worker.index, isEligible);
  }
}

/**
 * Revokes unconfirmed starts on instances, or in zones, that may not receive
 * new work any more.
 */
export function revokeStarts(
  update: Update,
  slice: Slice,
  workers: Iterable<Worker>,
): void {
  const isOpen = isZoneOpen(update, slice);
  for (const worker of workers) {
    if (!isOpen || !isStaying(update, worker)) {
      worker.tasks.forEach((task) =>
        revokeStart(task, DeclineReason.ZoneClosed)
      );
    }
  }
}

/** Whether the instance is neither leaving nor removed from the inventory. */
function isStaying(update: Update, worker: Worker): boolean {
  return !worker.removed && !isLeaving(update, worker.instanceId);
}

/** Whether the owner knows the tasks of every worker of the slice. */
export function isComplete(slice: Slice): boolean {
  return [...slice.workers.values()].every(({ state }) =>
    state !== WorkerReachability.Unknown
  );
}

/** Whether the instance has a task that has not ended. */
export function hasRunning(worker: Worker): boolean {
  return [...worker.tasks].some(({ phase }) => phase !== TaskPhase.Ended);
}
