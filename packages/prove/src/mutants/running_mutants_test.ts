/** Mutants of the rules on which tasks run, where and how often. */
import {
  CONFIGURATION,
  CONFIGURATION_CHANGED,
} from "@mustardweir/configuration";
import { HOMES, TaskState } from "@mustardweir/home";
import { JOURNAL_OPENED, JournalRecordKind } from "@mustardweir/journal";
import { Role } from "@mustardweir/kernel";
import { OWNED } from "@mustardweir/membership";
import {
  addResources,
  type Configuration,
  NO_RESOURCES,
  scaleResources,
} from "@mustardweir/model";
import {
  type Ask,
  EffectKind,
  HomeCallKind,
  LEASE_MS,
  type ListInstancesResult,
  PeerMessageKind,
  StoreStatus,
  type SyncCall,
  type SyncResult,
} from "@mustardweir/protocol";
import { SLICES, WorkerReachability } from "@mustardweir/slice";
import { WorkerState, type WorkerStateOptions } from "@mustardweir/worker";
import { Point } from "../point.ts";
import { Tampering } from "../simulation/tampering.ts";
import {
  EffectMutant,
  EventMutant,
  HandlerMutant,
  MessageMutant,
  type Mutant,
  StateMutant,
} from "./mutant_test.ts";

/** Treats the calls of every epoch as calls of the highest epoch. */
class UnfencedWorker extends WorkerState {
  readonly #highest = new Map<string, number>();

  override sync(call: SyncCall, now: number): SyncResult {
    const seen = this.#highest.get(call.sliceId) ?? 0;
    const epoch = Math.max(seen, call.epoch);
    this.#highest.set(call.sliceId, epoch);
    return super.sync({ ...call, epoch }, now);
  }
}

class UnfencedWorkers extends Tampering {
  override createWorker(options: WorkerStateOptions): WorkerState {
    return new UnfencedWorker(options);
  }
}

type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key] };

/** Changes each new configuration on schedulers before it takes effect. */
function changeConfiguration(
  change: (current: Mutable<Configuration>, previous: Configuration) => void,
): Tampering {
  return new HandlerMutant(
    Role.Scheduler,
    CONFIGURATION_CHANGED,
    ({ current, previous }) => change(current, previous),
  );
}

function mapAsks(change: (ask: Ask) => Ask): Tampering {
  return new MessageMutant((message) =>
    message.kind === PeerMessageKind.AskRoom
      ? { ...message, asks: message.asks.map(change) }
      : message
  );
}

export const RUNNING_MUTANTS: readonly Mutant[] = [
  {
    name: "inventory read with twice the processors",
    point: Point.InstanceCapacity,
    create: () =>
      changeConfiguration((current) => {
        const { inventory } = current;
        current.inventory = {
          availabilityZones: inventory.availabilityZones.map((zone) => ({
            ...zone,
            racks: zone.racks.map((rack) => ({
              ...rack,
              instances: rack.instances.map((spec) => ({
                ...spec,
                cpu: spec.cpu * 2,
                slots: spec.slots * 2,
              })),
            })),
          })),
        };
      }),
  },
  {
    name: "asks sent with half the size",
    point: Point.InstanceCapacity,
    create: () =>
      mapAsks((ask) => ({
        ...ask,
        task: {
          ...ask.task,
          size: { ...scaleResources(ask.task.size, 0.5), slots: 1 },
        },
      })),
  },
  {
    name: "epoch fence of workers skipped",
    point: Point.SingleRun,
    create: () => new UnfencedWorkers(),
  },
  {
    name: "leases of silent workers expire at once",
    point: Point.SingleRun,
    create: () =>
      new StateMutant(Role.Scheduler, (update) => {
        for (const slice of update.write(SLICES).slices.values()) {
          for (const worker of slice.workers.values()) {
            if (worker.state === WorkerReachability.Silent) {
              worker.leaseTokenAt = Math.min(
                worker.leaseTokenAt,
                update.now - 2 * LEASE_MS,
              );
            }
          }
        }
      }),
  },
  {
    name: "home starts without the list of running tasks",
    point: Point.SingleRun,
    create: () =>
      new MessageMutant((message) =>
        message.kind === PeerMessageKind.HomeInventory
          ? { ...message, tasks: [], complete: true }
          : message
      ),
  },
  {
    name: "ceiling of the first version kept",
    point: Point.TeamCeiling,
    create: () =>
      changeConfiguration((current, previous) => {
        if (previous.version > 0) {
          current.rules = previous.rules;
        }
      }),
  },
  {
    name: "asks in flight not counted against the ceiling",
    point: Point.TeamCeiling,
    create: () =>
      new StateMutant(Role.Scheduler, (update) => {
        for (const home of update.write(HOMES).homes.values()) {
          home.used = [...home.byTaskId.values()]
            .filter(({ state }) => state === TaskState.Started)
            .reduce(
              (sum, { job }) =>
                addResources(sum, scaleResources(job.size, 0.5)),
              NO_RESOURCES,
            );
        }
      }),
  },
  {
    name: "drain ignored",
    point: Point.ZoneDrain,
    create: () =>
      changeConfiguration((current) => {
        current.zones = {};
      }),
  },
  {
    name: "configuration and ownership always treated as confirmed",
    point: Point.ZoneDrain,
    create: () =>
      new StateMutant(Role.Scheduler, (update) => {
        update.write(CONFIGURATION).confirmedAt = update.now;
        update.write(OWNED).confirmedAt = update.now;
      }),
  },
  {
    name: "non-idempotent work started again",
    point: Point.AtMostOnce,
    create: () =>
      new MessageMutant((message) =>
        message.kind === PeerMessageKind.HomeCall &&
          message.call.kind === HomeCallKind.Submit
          ? {
            ...message,
            call: {
              ...message.call,
              spec: { ...message.call.spec, idempotent: true },
            },
          }
          : message
      ),
  },
  {
    name: "records of starts skipped on recovery",
    point: Point.AtMostOnce,
    create: () =>
      new HandlerMutant(Role.Scheduler, JOURNAL_OPENED, ({ records }) => {
        const kept = records.filter(({ kind }) =>
          kind !== JournalRecordKind.Starting
        );
        (records as unknown[]).splice(0, records.length, ...kept);
      }),
  },
  {
    name: "settled asks discarded and floor of starts ignored",
    point: Point.AtMostOnce,
    create: () => new SlicesWithoutDeduplication(),
  },
  {
    name: "mark of leaving instances ignored",
    point: Point.LeavingTarget,
    create: () =>
      new EventMutant<{ readonly result: ListInstancesResult }>(
        "instances-listed",
        (answer) => {
          const { result } = answer;
          return result.status !== StoreStatus.Ok ? answer : {
            ...answer,
            result: {
              ...result,
              instances: result.instances.map((instance) => ({
                ...instance,
                leaving: false,
              })),
            },
          };
        },
      ),
  },
  {
    name: "instances that left the inventory kept",
    point: Point.LeavingTarget,
    create: () =>
      changeConfiguration((current, previous) => {
        if (previous.version > 0) {
          current.inventory = previous.inventory;
        }
      }),
  },
];

/** Makes slices treat late copies of asks as new asks. */
class SlicesWithoutDeduplication extends StateMutant {
  constructor() {
    super(Role.Scheduler, (update) => {
      for (const slice of update.write(SLICES).slices.values()) {
        slice.teams.forEach(({ settled }) => settled.clear());
      }
    });
  }

  override transformEffect(...args: Parameters<Tampering["transformEffect"]>) {
    return new EffectMutant(EffectKind.SyncTarget, (effect) => [{
      ...effect,
      call: { ...effect.call, floor: 0 },
    }]).transformEffect(...args);
  }
}
