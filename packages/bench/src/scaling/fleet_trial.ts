import { Kernel } from "@mustardweir/kernel";
import { HomePhase, HOMES } from "@mustardweir/home";
import { homeUnit, sliceUnit } from "@mustardweir/membership";
import { JobKind } from "@mustardweir/model";
import { SLICES } from "@mustardweir/slice";
import { Loopback } from "../loopback/loopback.ts";
import { liveHeapMb } from "./heap.ts";
import {
  createRegionFleet,
  type RegionFleetOptions,
  teamName,
} from "./region_fleet.ts";
import { countTraffic, type Traffic } from "./traffic.ts";

/** The fleet, and what runs on it. */
export interface FleetTrialOptions extends RegionFleetOptions {
  readonly seed: number;
  readonly schedulers: number;
  /** Tasks that run in the whole fleet. */
  readonly runningTasks: number;
  /** Requests offered to the whole fleet in a second. */
  readonly startsPerSecond: number;
}

/** What a scheduler of the fleet costs. */
export interface FleetTrialResult {
  /** Live memory of a scheduler's kernel, in megabytes. */
  readonly heapMb: number;
  /** Processor time of a scheduler's kernel, idle, in milliseconds a second. */
  readonly idleMs: number;
  /** The same with the running tasks. */
  readonly loadedMs: number;
  /** Longest event of the loaded schedulers, in milliseconds. */
  readonly longestEventMs: number;
  /** What a scheduler sends in a second, idle and loaded. */
  readonly idleTraffic: Traffic;
  readonly loadedTraffic: Traffic;
  /** Processor time of the kernels for a request, in microseconds. */
  readonly placementUs: number;
  readonly placements: number;
  /** What the schedulers sent for a request, heartbeats left out. */
  readonly messagesOfPlacement: number;
  readonly bytesOfPlacement: number;
  readonly workerCallsOfPlacement: number;
  readonly running: number;
  /** Homes and slices that were ready before. */
  readonly units: number;
  /** Until each unit has an owner that is ready, in milliseconds. */
  readonly recoveryMs: number;
  /** Longest event meanwhile, in milliseconds. */
  readonly recoveryEventMs: number;
  /**
   * Processor time of all kernels beyond that of the time after, in
   * milliseconds; lost in the noise of a large fleet.
   */
  readonly recoveryCpuMs: number;
}

/** The scheduler that is taken away. */
const KILLED = "s1";

const START_MS = 15_000;
const SETTLE_MS = 12_000;
const MEASURED_MS = 4_000;
const TRAFFIC_MS = 2_000;
const ROUND_MS = 10;
const ROUNDS = 100;
const RECOVERY_STEP_MS = 50;
const RECOVERY_LIMIT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Runs real kernels of a whole fleet and measures what each costs. */
export function runFleetTrial(options: FleetTrialOptions): FleetTrialResult {
  return new FleetTrial(options).run();
}

class FleetTrial {
  readonly #options: FleetTrialOptions;
  readonly #loopback: Loopback;
  #spentMs = 0;
  #longestMs = 0;

  constructor(options: FleetTrialOptions) {
    this.#options = options;
    this.#loopback = new Loopback({
      configuration: createRegionFleet(options),
      seed: options.seed,
      schedulers: options.schedulers,
      onEvent: (ms) => {
        this.#spentMs += ms;
        this.#longestMs = Math.max(this.#longestMs, ms);
      },
    });
  }

  run(): FleetTrialResult {
    this.#loopback.run(START_MS);
    const idleMs = this.#rate(MEASURED_MS);
    const idleTraffic = this.#traffic();
    this.#fill();
    const running = this.#loopback.counter("tasks_started");
    this.#longestMs = 0;
    const loadedMs = this.#rate(MEASURED_MS);
    const longestEventMs = this.#longestMs;
    const loadedTraffic = this.#traffic();
    const placement = this.#place(loadedMs);
    const placementTraffic = this.#countPlacements(loadedTraffic);
    const recovery = this.#recover();
    const heapMb = this.#heapMb();
    return {
      idleMs,
      loadedMs,
      longestEventMs,
      idleTraffic,
      loadedTraffic,
      running,
      ...placement,
      ...placementTraffic,
      ...recovery,
      heapMb,
    };
  }

  /** Processor time of one kernel in a second of virtual time. */
  #rate(forMs: number): number {
    this.#spentMs = 0;
    this.#loopback.run(forMs);
    const seconds = forMs / MS_PER_SECOND;
    return this.#spentMs / seconds / this.#options.schedulers;
  }

  #traffic(): Traffic {
    const traffic = countTraffic(
      this.#loopback,
      () => this.#loopback.run(TRAFFIC_MS),
    );
    const nodeSeconds = this.#options.schedulers * TRAFFIC_MS / MS_PER_SECOND;
    const entries = Object.entries(traffic).map(([name, value]) =>
      [name, value / nodeSeconds] as const
    );
    return Object.fromEntries(entries) as unknown as Traffic;
  }

  /** Starts the running tasks as services of all teams. */
  #fill(): void {
    const { teams, runningTasks } = this.#options;
    const tasks = Math.max(Math.ceil(runningTasks / teams), 1);
    for (let team = 0; team < teams; team++) {
      this.#loopback.submit(teamName(team), {
        kind: JobKind.Service,
        cpu: 0.25,
        memoryMb: 256,
        tasks,
      });
    }
    this.#loopback.run(SETTLE_MS);
  }

  #place(
    loadedMs: number,
  ): Pick<FleetTrialResult, "placements" | "placementUs"> {
    const { schedulers } = this.#options;
    const before = this.#loopback.counter("tasks_started");
    this.#spentMs = 0;
    this.#offerRequests();
    const placements = this.#loopback.counter("tasks_started") - before;
    const seconds = ROUNDS * ROUND_MS / MS_PER_SECOND;
    const extraMs = this.#spentMs - loadedMs * schedulers * seconds;
    return {
      placements,
      placementUs: extraMs * MS_PER_SECOND / placements,
    };
  }

  /** What is sent for requests beyond the ordinary. */
  #countPlacements(usual: Traffic): Pick<
    FleetTrialResult,
    "messagesOfPlacement" | "bytesOfPlacement" | "workerCallsOfPlacement"
  > {
    const { schedulers } = this.#options;
    const before = this.#loopback.counter("tasks_started");
    const traffic = countTraffic(this.#loopback, () => this.#offerRequests());
    const placements = this.#loopback.counter("tasks_started") - before;
    const usualCalls = usual.workerCalls * schedulers * ROUNDS * ROUND_MS /
      MS_PER_SECOND;
    return {
      messagesOfPlacement: traffic.peerMessages / placements,
      bytesOfPlacement: traffic.peerBytes / placements,
      workerCallsOfPlacement: (traffic.workerCalls - usualCalls) / placements,
    };
  }

  #offerRequests(): void {
    const { teams, startsPerSecond } = this.#options;
    const requests = startsPerSecond * ROUND_MS / MS_PER_SECOND;
    for (let round = 0; round < ROUNDS; round++) {
      for (let index = 0; index < requests; index++) {
        const team = (round * requests + index) % teams;
        this.#loopback.submit(teamName(team), {
          kind: JobKind.Request,
          cpu: 0.5,
          memoryMb: 256,
          payload: JSON.stringify({ runMs: 20 + index % 60 }),
        });
      }
      this.#loopback.run(ROUND_MS);
    }
  }

  /** Takes one scheduler away and waits until others do all of its work. */
  #recover(): Pick<
    FleetTrialResult,
    "units" | "recoveryMs" | "recoveryEventMs" | "recoveryCpuMs"
  > {
    const { kernels } = this.#loopback;
    const units = this.#readyUnits().size;
    kernels.set(KILLED, new Kernel());
    this.#spentMs = 0;
    this.#longestMs = 0;
    let recoveryMs = 0;
    while (
      this.#readyUnits().size < units && recoveryMs < RECOVERY_LIMIT_MS
    ) {
      this.#loopback.run(RECOVERY_STEP_MS);
      recoveryMs += RECOVERY_STEP_MS;
    }
    const recoveryEventMs = this.#longestMs;
    const spentMs = this.#spentMs;
    const usualMs = this.#rate(recoveryMs) * this.#options.schedulers *
      recoveryMs / MS_PER_SECOND;
    const recoveryCpuMs = spentMs - usualMs;
    return { units, recoveryMs, recoveryEventMs, recoveryCpuMs };
  }

  /** Homes that take work and slices that know what their workers run. */
  #readyUnits(): Set<string> {
    const ready = new Set<string>();
    for (const [nodeId, kernel] of this.#loopback.kernels) {
      if (nodeId === KILLED && kernel.nextDue(0) === Infinity) {
        continue;
      }
      for (const { team, phase } of kernel.read(HOMES).homes.values()) {
        if (phase === HomePhase.Active) {
          ready.add(homeUnit(team));
        }
      }
      for (const { sliceId, complete } of kernel.read(SLICES).slices.values()) {
        if (complete) {
          ready.add(sliceUnit(sliceId));
        }
      }
    }
    return ready;
  }

  #heapMb(): number {
    const { kernels } = this.#loopback;
    kernels.delete(KILLED);
    const count = kernels.size;
    const before = liveHeapMb();
    kernels.clear();
    return (before - liveHeapMb()) / count;
  }
}
