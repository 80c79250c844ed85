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

/** A size of instance and how many the fleet has of it. */
interface InstanceShape {
  readonly capacity: Resources;
  count: number;
}

/** What admission needs to know of the inventory. */
export interface FleetShape {
  readonly shapes: readonly InstanceShape[];
  readonly sliceIds: readonly string[];
}

/**
 * Sums up an inventory by sizes of instance.
 *
 * @example
 * ```ts
 * const fleet = describeFleet(configuration.inventory);
 * ```
 */
export function describeFleet(inventory: Inventory): FleetShape {
  const slices = sliceFleet(inventory);
  const shapes = new Map<string, InstanceShape>();
  for (const { spec } of slices.flatMap((slice) => slice.instances)) {
    const capacity = instanceCapacity(spec);
    const name = Object.values(capacity).join("/");
    const shape = shapes.get(name) ?? { capacity, count: 0 };
    shape.count += 1;
    shapes.set(name, shape);
  }
  return {
    shapes: [...shapes.values()],
    sliceIds: slices.map((slice) => slice.sliceId),
  };
}

/**
 * Why a job can never run; undefined when it may.
 *
 * @example
 * ```ts
 * const obstacle = findObstacle(spec, { fleet, ceiling: rule.ceiling });
 * ```
 */
export function findObstacle(
  spec: JobSpec,
  limits: { readonly fleet: FleetShape; readonly ceiling: Ceiling },
): string | undefined {
  const size = taskSize(spec);
  const { shapes } = limits.fleet;
  if (!shapes.some(({ capacity }) => fitsWithin(size, capacity))) {
    return "A task is larger than every instance of the fleet";
  }
  if (spec.kind === JobKind.Gang && fleetRoom(size, shapes) < spec.tasks) {
    return "The gang is larger than the fleet";
  }
  return findCeilingObstacle(spec, size, limits.ceiling);
}

/** How many tasks of a size the empty fleet holds. */
function fleetRoom(size: Resources, shapes: readonly InstanceShape[]): number {
  return shapes.reduce(
    (room, { capacity, count }) => room + count * tasksWithin(size, capacity),
    0,
  );
}

function tasksWithin(size: Resources, capacity: Resources): number {
  return Math.floor(Math.min(
    capacity.cpuMillis / size.cpuMillis,
    capacity.memoryMb / size.memoryMb,
    size.accelerators > 0
      ? capacity.accelerators / size.accelerators
      : Infinity,
    capacity.slots / size.slots,
  ));
}

function findCeilingObstacle(
  spec: JobSpec,
  size: Resources,
  ceiling: Ceiling,
): string | undefined {
  const tasks = runTogether(spec) ? spec.tasks : 1;
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

/** True when all tasks of the job have to run at the same time. */
function runTogether(spec: JobSpec): boolean {
  return spec.kind === JobKind.Gang || spec.kind === JobKind.Service;
}
