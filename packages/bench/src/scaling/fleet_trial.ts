import { Kernel } from "@mustardweir/kernel";
import { HomePhase, HOMES } from "@mustardweir/home";
import { homeUnit, sliceUnit } from "@mustardweir/membership";
import { JobKind } from "@mustardweir/model";
import { SLICES } from "@mustardweir/slice";
import { Loopback } from "../loopback/loopback.ts";
import { liveHeapMb } from "./heap.ts";
import {
  createRegionConfiguration,
  type RegionFleetOptions,
  teamName,
} from "./region_fleet.ts";
import { countTraffic, type Traffic } from "./traffic.ts";

/** The fleet and its load. */
export interface FleetTrialOptions extends RegionFleetOptions {
  readonly seed: number;
  readonly schedulers: number;
  /** Number of running tasks in the whole fleet. */
  readonly runningTasks: number;
  /** Requests submitted per second to the whole fleet. */
  readonly startsPerSecond: number;
}

/** Costs of a scheduler of the fleet. */
export interface FleetTrialResult {
  /** Live memory of a scheduler's kernel, in megabytes. */
  readonly heapMb: number;
  /** Processor time of an idle scheduler's kernel, in milliseconds a second. */
  readonly idleMs: number;
  /** The same with the running tasks. */
  readonly loadedMs: number;
  /** Longest event of the loaded schedulers, in milliseconds. */
  readonly longestEventMs: number;
  /** Traffic of a scheduler per second, idle and loaded. */
  readonly idleTraffic: Traffic;
  readonly loadedTraffic: Traffic;
  /** Processor time of all kernels per started request, in microseconds. */
  readonly placementUs: number;
  readonly placements: number;
  /** Traffic of all schedulers per started request, without heartbeats. */
  readonly messagesPerPlacement: number;
  readonly bytesPerPlacement: number;
  readonly workerCallsPerPlacement: number;
  readonly running: number;
  /** Number of ready homes and slices before the failure. */
  readonly units: number;
  /** Time until each unit is ready at its new owner, in milliseconds. */
  readonly recoveryMs: number;
  /** Longest event during the recovery, in milliseconds. */
  readonly recoveryEventMs: number;
  /**
   * Processor time of all kernels during the recovery in excess of an equal
   * time afterwards, in milliseconds; below the noise in a large fleet.
   */
  readonly recoveryCpuMs: number;
}

/** The scheduler that fails. */
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

/** Runs the real kernels of a whole fleet and measures their costs. */
export function runFleetTrial(options: FleetTrialOptions): FleetTrialResult {
  return new FleetTrial(options).run();
}

class FleetTrial {
  readonly #options: FleetTrialOptions;
  readonly #loopback: Loopback;
  #cpuMs = 0;
  #longestMs = 0;

  constructor(options: FleetTrialOptions) {
    this.#options = options;
    this.#loopback = new Loopback({
      configuration: createRegionConfiguration(options),
      seed: options.seed,
      schedulers: options.schedulers,
      onEvent: (ms) => {
        this.#cpuMs += ms;
        this.#longestMs = Math.max(this.#longestMs, ms);
      },
    });
  }

  run(): FleetTrialResult {
    this.#loopback.run(START_MS);
    const idleMs = this.#measureCpuRate(MEASURED_MS);
    const idleTraffic = this.#measureTraffic();
    this.#startServices();
    const running = this.#loopback.counter("tasks_started");
    this.#longestMs = 0;
    const loadedMs = this.#measureCpuRate(MEASURED_MS);
    const longestEventMs = this.#longestMs;
    const loadedTraffic = this.#measureTraffic();
    const placement = this.#measurePlacement(loadedMs);
    const placementTraffic = this.#measurePlacementTraffic(loadedTraffic);
    const recovery = this.#measureRecovery();
    const heapMb = this.#measureHeapMb();
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

  /** Returns the processor time of a kernel per second of virtual time. */
  #measureCpuRate(forMs: number): number {
    this.#cpuMs = 0;
    this.#loopback.run(forMs);
    const seconds = forMs / MS_PER_SECOND;
    return this.#cpuMs / seconds / this.#options.schedulers;
  }

  #measureTraffic(): Traffic {
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

  /** Starts the running tasks, as services of all teams. */
  #startServices(): void {
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

  #measurePlacement(
    loadedMs: number,
  ): Pick<FleetTrialResult, "placements" | "placementUs"> {
    const { schedulers } = this.#options;
    const before = this.#loopback.counter("tasks_started");
    this.#cpuMs = 0;
    this.#offerRequests();
    const placements = this.#loopback.counter("tasks_started") - before;
    const seconds = ROUNDS * ROUND_MS / MS_PER_SECOND;
    const extraMs = this.#cpuMs - loadedMs * schedulers * seconds;
    return {
      placements,
      placementUs: extraMs * MS_PER_SECOND / placements,
    };
  }

  /**
   * Returns the traffic per started request; the worker calls are those in
   * excess of the `baseline`.
   */
  #measurePlacementTraffic(baseline: Traffic): Pick<
    FleetTrialResult,
    "messagesPerPlacement" | "bytesPerPlacement" | "workerCallsPerPlacement"
  > {
    const { schedulers } = this.#options;
    const before = this.#loopback.counter("tasks_started");
    const traffic = countTraffic(this.#loopback, () => this.#offerRequests());
    const placements = this.#loopback.counter("tasks_started") - before;
    const baselineCalls = baseline.workerCalls * schedulers * ROUNDS *
      ROUND_MS /
      MS_PER_SECOND;
    return {
      messagesPerPlacement: traffic.peerMessages / placements,
      bytesPerPlacement: traffic.peerBytes / placements,
      workerCallsPerPlacement: (traffic.workerCalls - baselineCalls) /
        placements,
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

  /** Removes a scheduler and waits until the others have its units ready. */
  #measureRecovery(): Pick<
    FleetTrialResult,
    "units" | "recoveryMs" | "recoveryEventMs" | "recoveryCpuMs"
  > {
    const { kernels } = this.#loopback;
    const units = this.#readyUnits().size;
    kernels.set(KILLED, new Kernel());
    this.#cpuMs = 0;
    this.#longestMs = 0;
    let recoveryMs = 0;
    while (
      this.#readyUnits().size < units && recoveryMs < RECOVERY_LIMIT_MS
    ) {
      this.#loopback.run(RECOVERY_STEP_MS);
      recoveryMs += RECOVERY_STEP_MS;
    }
    const recoveryEventMs = this.#longestMs;
    const cpuMs = this.#cpuMs;
    const baselineMs = this.#measureCpuRate(recoveryMs) *
      this.#options.schedulers *
      recoveryMs / MS_PER_SECOND;
    const recoveryCpuMs = cpuMs - baselineMs;
    return { units, recoveryMs, recoveryEventMs, recoveryCpuMs };
  }

  /** Returns the active homes and the slices synchronized with all workers. */
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

  #measureHeapMb(): number {
    const { kernels } = this.#loopback;
    kernels.delete(KILLED);
    const count = kernels.size;
    const before = liveHeapMb();
    kernels.clear();
    return (before - liveHeapMb()) / count;
  }
}
