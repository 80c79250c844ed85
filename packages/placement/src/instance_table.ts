import { invariant, InvariantError } from "@mustardweir/kernel";
import {
  Dimension,
  DIMENSION_COUNT,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import { RoomIndex } from "./room_index.ts";

/** An instance to add to the table. */
export interface TableInstance {
  readonly instanceId: string;
  readonly capacity: Resources;
  readonly rack: string;
  readonly availabilityZone: string;
}

const INITIAL_ROWS = 64;

/**
 * The capacity and the free room of each instance of a slice: one typed array
 * per dimension, one row per instance. An instance keeps its row index until it
 * is removed; then a later instance may get the row.
 *
 * @example
 * ```ts
 * const table = new InstanceTable();
 * const index = table.add({
 *   instanceId: "red-1",
 *   capacity: { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 0, slots: 8 },
 *   rack: "red-a",
 *   availabilityZone: "tx-central-1",
 * });
 * if (table.fits(index, task.size)) table.allocate(index, task.size);
 * ```
 */
export class InstanceTable {
  readonly #indexes = new Map<string, number>();
  readonly #vacant: number[] = [];
  readonly #instanceIds: string[] = [];
  readonly #racks: string[] = [];
  readonly #availabilityZones: string[] = [];
  readonly #index = new RoomIndex();
  #capacity = createColumns(INITIAL_ROWS);
  #free = createColumns(INITIAL_ROWS);
  #eligible = new Uint8Array(INITIAL_ROWS);
  readonly #totalFree = new Float64Array(DIMENSION_COUNT);
  readonly #totalCapacity = new Float64Array(DIMENSION_COUNT);

  /** Number of instances. */
  get size(): number {
    return this.#indexes.size;
  }

  /** Upper bound of indexes, exclusive; a removed instance's row has no room. */
  get indexLimit(): number {
    return this.#instanceIds.length;
  }

  /** @internal Eligible instances by their free room. */
  get roomIndex(): RoomIndex {
    return this.#index;
  }

  /** Adds an eligible instance with all its capacity free. */
  add(instance: TableInstance): number {
    const { instanceId, capacity } = instance;
    invariant(
      !this.#indexes.has(instanceId),
      `instance ${instanceId} is already in the table`,
    );
    const index = this.#vacant.pop() ?? this.indexLimit;
    this.#growTo(index + 1);
    this.#indexes.set(instanceId, index);
    this.#instanceIds[index] = instanceId;
    this.#racks[index] = instance.rack;
    this.#availabilityZones[index] = instance.availabilityZone;
    setRow(this.#capacity, index, capacity);
    setRow(this.#free, index, capacity);
    addAmounts(this.#totalCapacity, capacity, 1);
    this.setEligible(index, true);
    return index;
  }

  /** Removes an instance even if tasks run there; false if it is absent. */
  remove(instanceId: string): boolean {
    const index = this.indexOf(instanceId);
    if (index < 0) {
      return false;
    }
    this.setEligible(index, false);
    addAmounts(this.#totalCapacity, this.capacityAt(index), -1);
    setRow(this.#capacity, index, NO_RESOURCES);
    setRow(this.#free, index, NO_RESOURCES);
    this.#indexes.delete(instanceId);
    this.#instanceIds[index] = "";
    this.#vacant.push(index);
    return true;
  }

  /** The row index of an instance, or -1. */
  indexOf(instanceId: string): number {
    return this.#indexes.get(instanceId) ?? -1;
  }

  /** The instance in a row; empty when the row is vacant. */
  instanceIdAt(index: number): string {
    return this.#instanceIds[index] ?? "";
  }

  /** The rack of the instance at `index`. */
  rackAt(index: number): string {
    return this.#racks[index] ?? "";
  }

  /** The availability zone of the instance at `index`. */
  availabilityZoneAt(index: number): string {
    return this.#availabilityZones[index] ?? "";
  }

  /** Allocates room for a task that fits; the instance may be ineligible. */
  allocate(index: number, size: Resources): void {
    if (!this.#hasRoom(index, size)) {
      this.#fail(index, "has no room for the task");
    }
    this.#change(index, size, -1);
  }

  /** Releases the room of a task. */
  release(index: number, size: Resources): void {
    this.#change(index, size, 1);
    if (!this.#isWithinCapacity(index)) {
      this.#fail(index, "has more free room than capacity");
    }
  }

  /**
   * Allocates room for a task that already runs. The free room may become
   * negative, as after an edit of the inventory.
   */
  allocateRunning(index: number, size: Resources): void {
    this.#change(index, size, -1);
  }

  /** Sets whether new tasks may be placed on the instance. */
  setEligible(index: number, eligible: boolean): void {
    this.#checkRow(index);
    if (this.isEligible(index) === eligible) {
      return;
    }
    this.#eligible[index] = eligible ? 1 : 0;
    addAmounts(this.#totalFree, this.freeAt(index), eligible ? 1 : -1);
    this.#updateIndex(index);
  }

  /** Whether new tasks may be placed on the instance. */
  isEligible(index: number): boolean {
    return this.#eligible[index] === 1;
  }

  /** Whether the instance is eligible and has room for `size`. */
  fits(index: number, size: Resources): boolean {
    return this.#eligible[index] === 1 && this.#hasRoom(index, size);
  }

  /** The free amount of one dimension; cheaper than `freeAt`. */
  freeIn(index: number, dimension: Dimension): number {
    return this.#free[dimension]![index]!;
  }

  /** The capacity of one dimension; cheaper than `capacityAt`. */
  capacityIn(index: number, dimension: Dimension): number {
    return this.#capacity[dimension]![index]!;
  }

  /** The free room of the instance at `index`. */
  freeAt(index: number): Resources {
    return readRow(this.#free, index);
  }

  /** The capacity of the instance at `index`. */
  capacityAt(index: number): Resources {
    return readRow(this.#capacity, index);
  }

  /** Replaces the capacity; tasks beyond it make the free room negative. */
  setCapacity(index: number, capacity: Resources): void {
    this.#checkRow(index);
    const before = this.capacityAt(index);
    setRow(this.#capacity, index, capacity);
    addAmounts(this.#totalCapacity, before, -1);
    addAmounts(this.#totalCapacity, capacity, 1);
    this.#change(index, before, -1);
    this.#change(index, capacity, 1);
  }

  /** The free room of all eligible instances. */
  totalFree(): Resources {
    return toResources(this.#totalFree);
  }

  /** The capacity of all instances, eligible or not. */
  totalCapacity(): Resources {
    return toResources(this.#totalCapacity);
  }

  #hasRoom(index: number, size: Resources): boolean {
    const free = this.#free;
    return size.slots <= free[Dimension.Slots]![index]! &&
      size.cpuMillis <= free[Dimension.CpuMillis]![index]! &&
      size.memoryMb <= free[Dimension.MemoryMb]![index]! &&
      size.accelerators <= free[Dimension.Accelerators]![index]!;
  }

  #isWithinCapacity(index: number): boolean {
    for (let dimension = 0; dimension < DIMENSION_COUNT; dimension++) {
      if (this.#free[dimension]![index]! > this.#capacity[dimension]![index]!) {
        return false;
      }
    }
    return true;
  }

  #change(index: number, size: Resources, factor: number): void {
    this.#checkRow(index);
    const free = this.#free;
    free[Dimension.CpuMillis]![index]! += factor * size.cpuMillis;
    free[Dimension.MemoryMb]![index]! += factor * size.memoryMb;
    free[Dimension.Accelerators]![index]! += factor * size.accelerators;
    free[Dimension.Slots]![index]! += factor * size.slots;
    if (this.isEligible(index)) {
      addAmounts(this.#totalFree, size, factor);
      this.#updateIndex(index);
    }
  }

  #updateIndex(index: number): void {
    if (!this.isEligible(index)) {
      this.#index.remove(index);
      return;
    }
    this.#index.set(index, this.#free);
  }

  #checkRow(index: number): void {
    if (this.instanceIdAt(index) === "") {
      throw new InvariantError(`row ${index} has no instance`);
    }
  }

  /** A separate method, so that the message is only composed on failure. */
  #fail(index: number, what: string): never {
    throw new InvariantError(`instance ${this.instanceIdAt(index)} ${what}`);
  }

  #growTo(rows: number): void {
    const length = this.#eligible.length;
    if (rows <= length) {
      return;
    }
    this.#capacity = growColumns(this.#capacity, 2 * length);
    this.#free = growColumns(this.#free, 2 * length);
    const eligible = new Uint8Array(2 * length);
    eligible.set(this.#eligible);
    this.#eligible = eligible;
  }
}

function createColumns(rows: number): Float64Array[] {
  return Array.from({ length: DIMENSION_COUNT }, () => new Float64Array(rows));
}

function growColumns(columns: Float64Array[], rows: number): Float64Array[] {
  const grown = createColumns(rows);
  grown.forEach((column, dimension) => column.set(columns[dimension]!));
  return grown;
}

function setRow(
  columns: Float64Array[],
  index: number,
  amounts: Resources,
): void {
  columns[Dimension.CpuMillis]![index] = amounts.cpuMillis;
  columns[Dimension.MemoryMb]![index] = amounts.memoryMb;
  columns[Dimension.Accelerators]![index] = amounts.accelerators;
  columns[Dimension.Slots]![index] = amounts.slots;
}

function readRow(columns: Float64Array[], index: number): Resources {
  return {
    cpuMillis: columns[Dimension.CpuMillis]![index] ?? 0,
    memoryMb: columns[Dimension.MemoryMb]![index] ?? 0,
    accelerators: columns[Dimension.Accelerators]![index] ?? 0,
    slots: columns[Dimension.Slots]![index] ?? 0,
  };
}

function addAmounts(
  sums: Float64Array,
  amounts: Resources,
  factor: number,
): void {
  sums[Dimension.CpuMillis]! += factor * amounts.cpuMillis;
  sums[Dimension.MemoryMb]! += factor * amounts.memoryMb;
  sums[Dimension.Accelerators]! += factor * amounts.accelerators;
  sums[Dimension.Slots]! += factor * amounts.slots;
}

function toResources(sums: Float64Array): Resources {
  return {
    cpuMillis: sums[Dimension.CpuMillis]!,
    memoryMb: sums[Dimension.MemoryMb]!,
    accelerators: sums[Dimension.Accelerators]!,
    slots: sums[Dimension.Slots]!,
  };
}
