import {
  type Ceiling,
  fitsWithin,
  instanceCapacity,
  type Inventory,
  JobKind,
  type JobSpec,
  type Resources,
  sliceFleet,
  taskSize,
} from "@mustardweir/model";

/** Instances of equal capacity. */
interface InstanceGroup {
  readonly capacity: Resources;
  /** Number of instances in the fleet. */
  count: number;
}

/** The parts of the inventory that admission uses. */
export interface InventorySummary {
  readonly groups: readonly InstanceGroup[];
  readonly sliceIds: readonly string[];
}

/**
 * Groups the instances of an inventory by capacity and lists its slices.
 *
 * @example
 * ```ts
 * const fleet = summarizeInventory(configuration.inventory);
 * ```
 */
export function summarizeInventory(inventory: Inventory): InventorySummary {
  const slices = sliceFleet(inventory);
  const groups = new Map<string, InstanceGroup>();
  for (const { spec } of slices.flatMap((slice) => slice.instances)) {
    const capacity = instanceCapacity(spec);
    const name = Object.values(capacity).join("/");
    const group = groups.get(name) ?? { capacity, count: 0 };
    group.count += 1;
    groups.set(name, group);
  }
  return {
    groups: [...groups.values()],
    sliceIds: slices.map((slice) => slice.sliceId),
  };
}

/**
 * Returns why a job can never run; undefined if it may be able to run.
 *
 * @example
 * ```ts
 * const message = findInfeasibility(spec, { fleet, ceiling: rule.ceiling });
 * ```
 */
export function findInfeasibility(
  spec: JobSpec,
  limits: { readonly fleet: InventorySummary; readonly ceiling: Ceiling },
): string | undefined {
  const size = taskSize(spec);
  const { groups } = limits.fleet;
  if (!groups.some(({ capacity }) => fitsWithin(size, capacity))) {
    return "A task is larger than every instance of the fleet";
  }
  if (
    spec.kind === JobKind.Gang && countTasksInFleet(size, groups) < spec.tasks
  ) {
    return "The gang is larger than the fleet";
  }
  return findCeilingViolation(spec, size, limits.ceiling);
}

/** Returns how many tasks of a size fit on the fleet when it is empty. */
function countTasksInFleet(
  size: Resources,
  groups: readonly InstanceGroup[],
): number {
  return groups.reduce(
    (room, { capacity, count }) =>
      room + count * countTasksThatFit(size, capacity),
    0,
  );
}

function countTasksThatFit(size: Resources, capacity: Resources): number {
  return Math.floor(Math.min(
    capacity.cpuMillis / size.cpuMillis,
    capacity.memoryMb / size.memoryMb,
    size.accelerators > 0
      ? capacity.accelerators / size.accelerators
      : Infinity,
    capacity.slots / size.slots,
  ));
}

function findCeilingViolation(
  spec: JobSpec,
  size: Resources,
  ceiling: Ceiling,
): string | undefined {
  const tasks = runsConcurrently(spec) ? spec.tasks : 1;
  const checks = [
    { name: "cpu", needs: tasks * size.cpuMillis / 1000, limit: ceiling.cpu },
    {
      name: "memoryMb",
      needs: tasks * size.memoryMb,
      limit: ceiling.memoryMb,
    },
    {
      name: "accelerators",
      needs: tasks * size.accelerators,
      limit: ceiling.accelerators,
    },
    { name: "tasks", needs: tasks, limit: ceiling.tasks },
  ];
  const broken = checks.find(({ needs, limit }) => needs > (limit ?? Infinity));
  return broken &&
    `The job needs ${broken.needs} ${broken.name}; the team's ceiling is ${broken.limit}`;
}

/** Returns whether all tasks of the job run at the same time. */
function runsConcurrently(spec: JobSpec): boolean {
  return spec.kind === JobKind.Gang || spec.kind === JobKind.Service;
}
