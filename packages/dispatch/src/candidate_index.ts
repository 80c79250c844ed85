import { createStateKey, type Update } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  fitsWithin,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import { SESSIONS } from "@mustardweir/sessions";
import type { Hold } from "@mustardweir/reservations";
import {
  type Candidate,
  createCandidate,
  isEligible,
  roomAfterPreemption,
  unheldRoom,
} from "./candidates.ts";
import { WORKER_HEALTH } from "./health.ts";

/** Largest share of a pool's workers that quarantine may exclude. */
const MAX_QUARANTINED_SHARE = 0.34;

const NO_CANDIDATES: readonly Candidate[] = [];

/** The candidates of one pool. */
class PoolCandidates {
  /** All candidates, in no particular order. */
  readonly all: Candidate[] = [];
  readonly #positions = new Map<string, number>();
  /** Ids of the workers of each rack, and the rack of each worker. */
  readonly #racks = new Map<string, Set<string>>();
  readonly #rackByWorker = new Map<string, string>();
  readonly #quarantined = new Set<string>();
  #usable: readonly Candidate[] | undefined;
  #capacity = NO_RESOURCES;
  #mostFree: Resources | undefined;
  #mostUnheld: Resources | undefined;
  #largest: Resources | undefined;
  /** The same since the last reservation; undefined until computed anew. */
  #mostFreeNow: Resources | undefined;
  #mostUnheldNow: Resources | undefined;
  #mostRoom: Resources | undefined;
  #mostUnheldRoom: Resources | undefined;

  /** Sum of the capacity of all candidates. */
  get capacity(): Resources {
    return this.#capacity;
  }

  /**
   * Upper bound of the resources that any candidate has free, for each kind of
   * resource.
   */
  get mostFree(): Resources {
    this.#mostFree ??= mostOf(this.all.map(({ free }) => free));
    return this.#mostFree;
  }

  /** The same without the room that is held for stages. */
  get mostUnheld(): Resources {
    this.#mostUnheld ??= mostOf(this.all.map(unheldRoom));
    return this.#mostUnheld;
  }

  /** The largest capacity of any candidate, for each kind of resource. */
  get largest(): Resources {
    this.#largest ??= mostOf(
      this.all.map(({ session }) => session.info.capacity),
    );
    return this.#largest;
  }

  /** The most free resources, as of the last reservation. */
  get mostFreeNow(): Resources {
    this.#mostFreeNow ??= mostOf(this.all.map(({ free }) => free));
    return this.#mostFreeNow;
  }

  /** The same without the room that is held for stages. */
  get mostUnheldNow(): Resources {
    this.#mostUnheldNow ??= mostOf(this.all.map(unheldRoom));
    return this.#mostUnheldNow;
  }

  /**
   * Upper bound of the resources that any candidate has for a task, after all
   * preemptions there.
   */
  get mostRoom(): Resources {
    this.#mostRoom ??= mostOf(this.all.map(roomAfterPreemption));
    return this.#mostRoom;
  }

  /** The same without the workers that are held for stages. */
  get mostUnheldRoom(): Resources {
    this.#mostUnheldRoom ??= mostOf(
      this.all.filter(({ hold }) => hold === undefined)
        .map(roomAfterPreemption),
    );
    return this.#mostUnheldRoom;
  }

  /** Lets the bounds be computed anew after resources were reserved. */
  noteReserved(): void {
    this.#mostFreeNow = undefined;
    this.#mostUnheldNow = undefined;
    this.#mostRoom = undefined;
    this.#mostUnheldRoom = undefined;
  }

  /**
   * The candidates without quarantined workers. If those are too many, they are
   * included: then the jobs are more likely the cause than the workers.
   */
  get usable(): readonly Candidate[] {
    const excluded = this.#quarantined.size;
    if (
      excluded === 0 || excluded > this.all.length * MAX_QUARANTINED_SHARE
    ) {
      return this.all;
    }
    this.#usable ??= this.all.filter(({ session }) =>
      !this.#quarantined.has(session.info.id)
    );
    return this.#usable;
  }

  /** Names of the racks that have candidates. */
  get racks(): readonly string[] {
    return [...this.#racks.keys()];
  }

  /** Returns the usable candidates of a rack. */
  inRack(rack: string): readonly Candidate[] {
    return [...this.#racks.get(rack) ?? []].flatMap((workerId) =>
      this.find(workerId) ?? []
    );
  }

  /** Returns the usable candidate of a worker. */
  find(workerId: string): Candidate | undefined {
    const position = this.#positions.get(workerId);
    const isExcluded = this.#quarantined.has(workerId) &&
      this.usable !== this.all;
    return position === undefined || isExcluded
      ? undefined
      : this.all[position];
  }

  /** Adds the candidate, or replaces the entry of its worker in place. */
  put(candidate: Candidate, isQuarantined: boolean): void {
    const { id, capacity } = candidate.session.info;
    const position = this.#positions.get(id) ?? this.all.length;
    const replaced = this.all[position]?.session.info.capacity;
    this.#removeFromRack(id);
    const { rack } = candidate.session.info;
    this.#rackByWorker.set(id, rack);
    this.#racks.set(rack, (this.#racks.get(rack) ?? new Set()).add(id));
    this.#positions.set(id, position);
    this.all[position] = candidate;
    this.#quarantined.delete(id);
    if (isQuarantined) {
      this.#quarantined.add(id);
    }
    this.#capacity = subtractResources(
      addResources(this.#capacity, capacity),
      replaced ?? NO_RESOURCES,
    );
    this.#usable = undefined;
    this.#mostFree = undefined;
    this.#mostUnheld = undefined;
    if (replaced === undefined || !isEqual(replaced, capacity)) {
      this.#largest = undefined;
    }
    this.noteReserved();
  }

  remove(workerId: string): void {
    const position = this.#positions.get(workerId);
    if (position === undefined) {
      return;
    }
    const removed = this.all[position]!;
    const last = this.all.pop()!;
    if (last !== removed) {
      this.all[position] = last;
      this.#positions.set(last.session.info.id, position);
    }
    this.#positions.delete(workerId);
    this.#removeFromRack(workerId);
    this.#quarantined.delete(workerId);
    this.#capacity = subtractResources(
      this.#capacity,
      removed.session.info.capacity,
    );
    this.#usable = undefined;
    this.#mostFree = undefined;
    this.#mostUnheld = undefined;
    this.#largest = undefined;
    this.noteReserved();
  }

  #removeFromRack(workerId: string): void {
    const rack = this.#rackByWorker.get(workerId);
    if (rack === undefined) {
      return;
    }
    this.#rackByWorker.delete(workerId);
    const workers = this.#racks.get(rack)!;
    workers.delete(workerId);
    if (workers.size === 0) {
      this.#racks.delete(rack);
    }
  }

  /** Sets the hold on a worker. */
  hold(workerId: string, hold: Hold | undefined): void {
    const position = this.#positions.get(workerId);
    if (position !== undefined) {
      this.all[position]!.hold = hold;
      this.#mostUnheld = undefined;
      this.#mostUnheldNow = undefined;
      this.#mostUnheldRoom = undefined;
    }
  }
}

/**
 * The workers that can be given tasks, by pool. Only the entries of workers
 * that have changed are computed anew.
 */
export class CandidateIndex {
  readonly #pools = new Map<string, PoolCandidates>();
  readonly #poolByWorker = new Map<string, string>();
  /** Racks of workers that were lost or have got more room. */
  readonly #changedRacks = new Set<string>();

  /**
   * Returns the racks of workers that were lost or have got more room since the
   * last call.
   */
  takeChangedRacks(): readonly string[] {
    const racks = [...this.#changedRacks];
    this.#changedRacks.clear();
    return racks;
  }

  /** Returns the candidates of a pool. */
  inPool(pool: string): readonly Candidate[] {
    return this.#pools.get(pool)?.usable ?? NO_CANDIDATES;
  }

  /** Returns the names of the racks of a pool that have candidates. */
  racksOf(pool: string): readonly string[] {
    return this.#pools.get(pool)?.racks ?? [];
  }

  /** Returns the candidates of a rack in a pool. */
  inRack(pool: string, rack: string): readonly Candidate[] {
    return this.#pools.get(pool)?.inRack(rack) ?? NO_CANDIDATES;
  }

  /** Returns the candidate of a worker; undefined if it gets no tasks now. */
  find(workerId: string): Candidate | undefined {
    return this.#pools.get(this.#poolByWorker.get(workerId) ?? "")
      ?.find(workerId);
  }

  /**
   * Returns whether any candidate of the pool may have room of this size, held
   * room included if any of it is open.
   */
  mayFit(
    pool: string,
    size: Resources,
    { isHeldRoomOpen }: { readonly isHeldRoomOpen: boolean },
  ): boolean {
    const known = this.#pools.get(pool);
    return known !== undefined &&
      fitsWithin(size, isHeldRoomOpen ? known.mostFree : known.mostUnheld);
  }

  /** Sets the hold on a worker. */
  hold(workerId: string, hold: Hold | undefined): void {
    this.#pools.get(this.#poolByWorker.get(workerId) ?? "")
      ?.hold(workerId, hold);
  }

  /** Returns the largest capacity of any worker, for each kind of resource. */
  largestIn(pool: string): Resources {
    return this.#pools.get(pool)?.largest ?? NO_RESOURCES;
  }

  /**
   * Returns whether a task of this size may start on any candidate of the pool,
   * after preemptions if those are allowed, held room included if any of it is
   * open.
   */
  mayStart(
    pool: string,
    { size, preempts, isHeldRoomOpen }: {
      readonly size: Resources;
      readonly preempts: boolean;
      readonly isHeldRoomOpen: boolean;
    },
  ): boolean {
    const known = this.#pools.get(pool);
    if (known === undefined) {
      return false;
    }
    return isHeldRoomOpen
      ? fitsWithin(size, known.mostFreeNow) ||
        (preempts && fitsWithin(size, known.mostRoom))
      : fitsWithin(size, known.mostUnheldNow) ||
        (preempts && fitsWithin(size, known.mostUnheldRoom));
  }

  /** Lets {@link mayStart} look anew after resources of the pool were reserved. */
  noteReserved(pool: string): void {
    this.#pools.get(pool)?.noteReserved();
  }

  /** Returns the capacity of all candidates of a pool. */
  capacityOf(pool: string): Resources {
    return this.#pools.get(pool)?.capacity ?? NO_RESOURCES;
  }

  /**
   * Returns the share of a pool's capacity that is in use, from 0 to 1, of the
   * kind of resource that is used most.
   */
  usedShareOf(pool: string): number {
    const capacity = this.capacityOf(pool);
    const free = this.inPool(pool).reduce(
      (sum, candidate) => addResources(sum, candidate.free),
      NO_RESOURCES,
    );
    return dominantShare(subtractResources(capacity, free), capacity);
  }

  /** Returns the capacity of all candidates of all pools. */
  get capacity(): Resources {
    let sum = NO_RESOURCES;
    for (const { capacity } of this.#pools.values()) {
      sum = addResources(sum, capacity);
    }
    return sum;
  }

  /** Computes the entries of the workers that have changed. */
  refresh(update: Update): void {
    const { changed, byWorker } = update.write(SESSIONS);
    for (const workerId of changed) {
      const session = byWorker.get(workerId);
      const candidate = session !== undefined && isEligible(update, session)
        ? createCandidate(update, session)
        : undefined;
      if (candidate === undefined) {
        this.#remove(workerId);
      } else {
        this.#put(update, candidate);
      }
    }
    changed.clear();
  }

  /**
   * Marks all workers as changed: whether one is stalled, refuses starts or is
   * quarantined also depends on the time.
   */
  invalidate(update: Update): void {
    const { changed, byWorker } = update.write(SESSIONS);
    for (const workerId of byWorker.keys()) {
      changed.add(workerId);
    }
  }

  /** Removes all entries, at the end of a tenure. */
  clear(): void {
    this.#pools.clear();
    this.#poolByWorker.clear();
    this.#changedRacks.clear();
  }

  #put(update: Update, candidate: Candidate): void {
    const { id, pool, rack } = candidate.session.info;
    const known = this.find(id);
    if (this.#poolByWorker.get(id) !== pool) {
      this.#remove(id);
    }
    const inPool = this.#pools.get(pool) ?? new PoolCandidates();
    this.#pools.set(pool, inPool);
    inPool.put(
      candidate,
      update.read(WORKER_HEALTH).isQuarantined(id, update.now),
    );
    this.#poolByWorker.set(id, pool);
    const former = known?.session.info.rack;
    if (former !== undefined && former !== rack) {
      this.#changedRacks.add(former);
    }
    const isLost = known !== undefined && this.find(id) === undefined;
    if (
      isLost || known === undefined || !fitsWithin(candidate.free, known.free)
    ) {
      this.#changedRacks.add(rack);
    }
  }

  #remove(workerId: string): void {
    const known = this.find(workerId);
    if (known !== undefined) {
      this.#changedRacks.add(known.session.info.rack);
    }
    this.#pools.get(this.#poolByWorker.get(workerId) ?? "")?.remove(workerId);
    this.#poolByWorker.delete(workerId);
  }
}

/** State key of the workers that can be given tasks. */
export const CANDIDATES = createStateKey<CandidateIndex>("candidates");

function mostOf(amounts: readonly Resources[]): Resources {
  const most = { ...NO_RESOURCES };
  for (const { cpuMillis, memoryMb, accelerators, slots } of amounts) {
    most.cpuMillis = Math.max(most.cpuMillis, cpuMillis);
    most.memoryMb = Math.max(most.memoryMb, memoryMb);
    most.accelerators = Math.max(most.accelerators, accelerators);
    most.slots = Math.max(most.slots, slots);
  }
  return most;
}

function isEqual(a: Resources, b: Resources): boolean {
  return fitsWithin(a, b) && fitsWithin(b, a);
}
