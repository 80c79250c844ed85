import type { Resources } from "@mustardweir/model";

/** Levels of one dimension; a level ends where the next one starts. */
const LEVELS_PER_OCTAVE = 2;
/** Amounts below the unit share the lowest level. */
const CPU_UNIT_MILLIS = 250;
const MEMORY_UNIT_MB = 256;
/** Levels of processors: up to 512 times the unit, then one level. */
const CPU_LEVELS = 20;
/** Levels of memory: up to 2,048 times the unit, then one level. */
const MEMORY_LEVELS = 24;
/** Levels of accelerators: 0 to 7, then one level. */
const ACCELERATOR_LEVELS = 9;

const BUCKETS = ACCELERATOR_LEVELS * CPU_LEVELS * MEMORY_LEVELS;
const NOWHERE = -1;

/**
 * Instances with a free slot, in buckets by free accelerators, processors and
 * memory. Changing an amount costs the same however many instances there are.
 */
export class RoomIndex {
  readonly #buckets: number[][] = Array.from({ length: BUCKETS }, () => []);
  /** For each accelerator and processor level, the memory levels in use. */
  readonly #memoryBits = new Int32Array(ACCELERATOR_LEVELS * CPU_LEVELS);
  readonly #bucketOf: number[] = [];
  readonly #positionOf: number[] = [];

  /** Puts an instance where its free amounts belong. */
  set(index: number, free: Resources): void {
    const bucket = bucketFor(free);
    const before = this.#bucketOf[index] ?? NOWHERE;
    if (bucket === before) {
      return;
    }
    this.remove(index);
    if (bucket !== NOWHERE) {
      this.#insert(index, bucket);
    }
  }

  remove(index: number): void {
    const bucket = this.#bucketOf[index] ?? NOWHERE;
    if (bucket === NOWHERE) {
      return;
    }
    const members = this.#buckets[bucket]!;
    const last = members.pop()!;
    if (last !== index) {
      const position = this.#positionOf[index]!;
      members[position] = last;
      this.#positionOf[last] = position;
    }
    this.#bucketOf[index] = NOWHERE;
    if (members.length === 0) {
      const row = Math.floor(bucket / MEMORY_LEVELS);
      this.#memoryBits[row]! &= ~(1 << (bucket % MEMORY_LEVELS));
    }
  }

  /**
   * Shows the buckets that may have room for `size`, those with the least
   * room first, until `visit` returns true.
   */
  visit(size: Resources, visit: (members: readonly number[]) => boolean): void {
    const lowestAccelerators = acceleratorLevel(size.accelerators);
    const lowestCpu = cpuLevel(size.cpuMillis);
    const memoryMask = -1 << memoryLevel(size.memoryMb);
    for (let a = lowestAccelerators; a < ACCELERATOR_LEVELS; a++) {
      for (let cpu = lowestCpu; cpu < CPU_LEVELS; cpu++) {
        const row = a * CPU_LEVELS + cpu;
        let bits = this.#memoryBits[row]! & memoryMask;
        while (bits !== 0) {
          const memory = 31 - Math.clz32(bits & -bits);
          if (visit(this.#buckets[row * MEMORY_LEVELS + memory]!)) {
            return;
          }
          bits &= bits - 1;
        }
      }
    }
  }

  #insert(index: number, bucket: number): void {
    const members = this.#buckets[bucket]!;
    this.#bucketOf[index] = bucket;
    this.#positionOf[index] = members.length;
    members.push(index);
    const row = Math.floor(bucket / MEMORY_LEVELS);
    this.#memoryBits[row]! |= 1 << (bucket % MEMORY_LEVELS);
  }
}

function bucketFor(free: Resources): number {
  const exhausted = free.slots < 1 || free.cpuMillis <= 0 ||
    free.memoryMb <= 0 || free.accelerators < 0;
  if (exhausted) {
    return NOWHERE;
  }
  const row = acceleratorLevel(free.accelerators) * CPU_LEVELS +
    cpuLevel(free.cpuMillis);
  return row * MEMORY_LEVELS + memoryLevel(free.memoryMb);
}

function acceleratorLevel(accelerators: number): number {
  return Math.min(ACCELERATOR_LEVELS - 1, Math.floor(accelerators));
}

function cpuLevel(cpuMillis: number): number {
  return level(cpuMillis / CPU_UNIT_MILLIS, CPU_LEVELS);
}

function memoryLevel(memoryMb: number): number {
  return level(memoryMb / MEMORY_UNIT_MB, MEMORY_LEVELS);
}

function level(units: number, levels: number): number {
  if (units < 1) {
    return 0;
  }
  const exact = 1 + Math.floor(LEVELS_PER_OCTAVE * Math.log2(units));
  return Math.min(levels - 1, exact);
}
