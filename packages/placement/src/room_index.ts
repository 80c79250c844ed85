import { Dimension, type Resources } from "@mustardweir/model";

/** Amounts below these units share the lowest level. */
const CPU_UNIT_MILLIS = 250;
const MEMORY_UNIT_MB = 512;
/** Two levels per octave up to 724 times the unit, then one level. */
const CPU_LEVELS = 20;
const CPU_LEVELS_PER_OCTAVE = 2;
/** One level per octave up to 8,192 times the unit, then one level. */
const MEMORY_LEVELS = 14;
/** Upper bound of amounts in units: beyond the last level, within 32 bits. */
const MAX_UNITS = 2 ** 24;
/** One level each for 0 to 7 accelerators, then one level. */
const ACCELERATOR_LEVELS = 9;
/** The number of free slots at which each level starts. */
const SLOT_STARTS = [1, 2, 3, 4, 5, 6, 7, 8, 12, 24, 48];
const SLOT_LEVELS = SLOT_STARTS.length;

const ROWS_PER_ACCELERATOR = SLOT_LEVELS * CPU_LEVELS;
const ROWS = ACCELERATOR_LEVELS * ROWS_PER_ACCELERATOR;
/** Stands for an instance in no bucket. */
const NO_BUCKET = -1;

/**
 * An index of instances with a free slot, in buckets by free accelerators,
 * slots, processors and memory. The cost of an update or a search does not
 * depend on the number of instances.
 */
export class RoomIndex {
  /** Each row has a bucket per memory level, for fixed other levels. */
  readonly #buckets = new Array<number[] | undefined>(ROWS * MEMORY_LEVELS);
  /** For each row, a bit set for each memory level that has instances. */
  readonly #memoryBits = new Int32Array(ROWS);
  /**
   * For each accelerator and slot level, a bit set for each processor level
   * that has instances.
   */
  readonly #cpuBits = new Int32Array(ACCELERATOR_LEVELS * SLOT_LEVELS);
  /** Buffer reused by searches. */
  readonly #ranks = new Int32Array(ROWS_PER_ACCELERATOR);
  /** By instance: its bucket, and its position there. */
  readonly #bucketOf: number[] = [];
  readonly #positionOf: number[] = [];

  /** Adds or moves an instance to the bucket of its amounts in `free`. */
  set(index: number, free: readonly Float64Array[]): void {
    const bucket = bucketFor(index, free);
    if (bucket === (this.#bucketOf[index] ?? NO_BUCKET)) {
      return;
    }
    this.remove(index);
    if (bucket !== NO_BUCKET) {
      this.#insert(index, bucket);
    }
  }

  /** Removes an instance from the index. */
  remove(index: number): void {
    const bucket = this.#bucketOf[index] ?? NO_BUCKET;
    if (bucket === NO_BUCKET) {
      return;
    }
    const members = this.#buckets[bucket]!;
    const last = members.pop()!;
    if (last !== index) {
      const position = this.#positionOf[index]!;
      members[position] = last;
      this.#positionOf[last] = position;
    }
    this.#bucketOf[index] = NO_BUCKET;
    if (members.length === 0) {
      this.#clearBits(bucket);
    }
  }

  /**
   * Calls `visit` with each bucket that may have room for `size` until it
   * returns true: fewest free accelerators first, then by how close the free
   * processors per free slot are to the size.
   */
  visit(size: Resources, visit: (members: readonly number[]) => boolean): void {
    const cpu = cpuLevel(size.cpuMillis);
    const memoryMask = -1 << memoryLevel(size.memoryMb);
    const lowest = acceleratorLevel(size.accelerators);
    for (let a = lowest; a < ACCELERATOR_LEVELS; a++) {
      const first = a * ROWS_PER_ACCELERATOR;
      for (let left = this.#collectRanks(a, cpu); left > 0; left--) {
        const row = first + ROW_ORDERS[cpu]![this.#takeLowest(left)]!;
        let bits = this.#memoryBits[row]! & memoryMask;
        while (bits !== 0) {
          const memory = lowestBit(bits);
          if (visit(this.#buckets[row * MEMORY_LEVELS + memory]!)) {
            return;
          }
          bits &= bits - 1;
        }
      }
    }
  }

  /**
   * Writes the ranks of used rows with at least processor level `cpu` to the
   * buffer, in no order, and returns their number.
   */
  #collectRanks(a: number, cpu: number): number {
    const ranks = ROW_RANKS[cpu]!;
    let count = 0;
    for (let slots = 0; slots < SLOT_LEVELS; slots++) {
      let bits = this.#cpuBits[a * SLOT_LEVELS + slots]! & (-1 << cpu);
      while (bits !== 0) {
        this.#ranks[count++] = ranks[slots * CPU_LEVELS + lowestBit(bits)]!;
        bits &= bits - 1;
      }
    }
    return count;
  }

  /** Removes and returns the lowest of the first `count` ranks. */
  #takeLowest(count: number): number {
    const ranks = this.#ranks;
    let at = 0;
    for (let i = 1; i < count; i++) {
      at = ranks[i]! < ranks[at]! ? i : at;
    }
    const lowest = ranks[at]!;
    ranks[at] = ranks[count - 1]!;
    return lowest;
  }

  #insert(index: number, bucket: number): void {
    const members = this.#buckets[bucket] ??= [];
    this.#bucketOf[index] = bucket;
    this.#positionOf[index] = members.length;
    members.push(index);
    const row = Math.floor(bucket / MEMORY_LEVELS);
    this.#memoryBits[row]! |= 1 << (bucket % MEMORY_LEVELS);
    this.#cpuBits[Math.floor(row / CPU_LEVELS)]! |= 1 << (row % CPU_LEVELS);
  }

  #clearBits(bucket: number): void {
    const row = Math.floor(bucket / MEMORY_LEVELS);
    this.#memoryBits[row]! &= ~(1 << (bucket % MEMORY_LEVELS));
    if (this.#memoryBits[row] === 0) {
      this.#cpuBits[Math.floor(row / CPU_LEVELS)]! &=
        ~(1 << (row % CPU_LEVELS));
    }
  }
}

/** For each processor level of a task, the rows with enough, best first. */
const ROW_ORDERS: readonly Int32Array[] = Array.from(
  { length: CPU_LEVELS },
  (_, level) => orderRows(level),
);

/** The position of each row in `ROW_ORDERS`. */
const ROW_RANKS: readonly Int32Array[] = ROW_ORDERS.map((order) => {
  const ranks = new Int32Array(ROWS_PER_ACCELERATOR);
  order.forEach((row, rank) => ranks[row] = rank);
  return ranks;
});

/** Rows from `level` up, by the distance of processors per slot from it. */
function orderRows(level: number): Int32Array {
  const rows: { row: number; distance: number }[] = [];
  SLOT_STARTS.forEach((slots, slotLevel) => {
    const slotOctaves = Math.log2(slots);
    for (let cpu = level; cpu < CPU_LEVELS; cpu++) {
      const octaves = (cpu - level) / CPU_LEVELS_PER_OCTAVE;
      const distance = Math.abs(octaves - slotOctaves);
      rows.push({ row: slotLevel * CPU_LEVELS + cpu, distance });
    }
  });
  rows.sort((a, b) => a.distance - b.distance || a.row - b.row);
  return Int32Array.from(rows, ({ row }) => row);
}

function lowestBit(bits: number): number {
  return 31 - Math.clz32(bits & -bits);
}

function bucketFor(index: number, free: readonly Float64Array[]): number {
  const slots = free[Dimension.Slots]![index]!;
  const cpuMillis = free[Dimension.CpuMillis]![index]!;
  const memoryMb = free[Dimension.MemoryMb]![index]!;
  const accelerators = free[Dimension.Accelerators]![index]!;
  if (slots < 1 || cpuMillis <= 0 || memoryMb <= 0 || accelerators < 0) {
    return NO_BUCKET;
  }
  const row = acceleratorLevel(accelerators) * ROWS_PER_ACCELERATOR +
    slotLevel(slots) * CPU_LEVELS + cpuLevel(cpuMillis);
  return row * MEMORY_LEVELS + memoryLevel(memoryMb);
}

function acceleratorLevel(accelerators: number): number {
  return Math.min(ACCELERATOR_LEVELS - 1, Math.floor(accelerators));
}

function slotLevel(slots: number): number {
  let level = SLOT_LEVELS - 1;
  while (SLOT_STARTS[level]! > slots) {
    level--;
  }
  return level;
}

/** Level 0 is below the unit; then two levels per doubling. */
function cpuLevel(cpuMillis: number): number {
  const units = Math.min(cpuMillis / CPU_UNIT_MILLIS, MAX_UNITS);
  if (units < 1) {
    return 0;
  }
  const octave = 31 - Math.clz32(units);
  const upperHalf = units >= Math.SQRT2 * (1 << octave) ? 1 : 0;
  return Math.min(
    CPU_LEVELS - 1,
    1 + CPU_LEVELS_PER_OCTAVE * octave + upperHalf,
  );
}

/** Level 0 is below the unit; then one level per doubling. */
function memoryLevel(memoryMb: number): number {
  const units = Math.min(memoryMb / MEMORY_UNIT_MB, MAX_UNITS);
  return units < 1 ? 0 : Math.min(MEMORY_LEVELS - 1, 32 - Math.clz32(units));
}
