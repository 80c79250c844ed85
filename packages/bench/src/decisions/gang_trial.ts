import { Random } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { createFleetConfiguration } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;

/**
 * Number of instances in each of the three zones; an instance has eight
 * accelerators.
 */
const INSTANCES = 4;
const ACCELERATORS = 3 * INSTANCES * 8;

/** Mean run time of small tasks, in milliseconds. */
const SMALL_RUN_MS = 4_000;

const DEFAULT_OBSERVATION_MS = 120_000;

/** Number of waiting small tasks, as a multiple of what the fleet can run. */
const OVERLOAD = 3;

/** The gangs that a trial submits. */
export interface GangTrialOptions {
  readonly seed: number;
  /** Number of gangs, each of 16 accelerators, submitted at once; default 1. */
  readonly gangs?: number;
  /** Accelerators per member; 1 by default. */
  readonly memberSize?: number;
  /** Whether the small tasks belong to the team of the gangs. */
  readonly isOwnLoad?: boolean;
  /** How long the fleet is observed, in milliseconds; 2 min by default. */
  readonly forMs?: number;
}

/** Wait times of the gangs, and the utilization of the fleet. */
export interface GangTrialResult {
  /**
   * Time of each gang from submission to the start of its last member, in
   * milliseconds; Infinity if that didn't happen.
   */
  readonly waits: readonly number[];
  /** Mean fraction of accelerators in use from the submission on. */
  readonly used: number;
}

/** Submits gangs to a fleet that small tasks keep full. */
export function runGangTrial(options: GangTrialOptions): GangTrialResult {
  const { gangs = 1, memberSize = 1, isOwnLoad = false } = options;
  const { forMs = DEFAULT_OBSERVATION_MS } = options;
  const loopback = new Loopback({
    configuration: createFleetConfiguration({
      shares: { nowcast: 1, imaging: 1 },
      instances: INSTANCES,
      instanceSpec: { cpu: 128, accelerators: 8 },
    }),
    seed: options.seed,
    schedulers: 3,
  });
  const load = new SmallTaskLoad(loopback, {
    seed: options.seed,
    team: isOwnLoad ? "nowcast" : "imaging",
  });
  loopback.run(WARM_UP_MS);
  load.run(WARM_UP_MS);
  const calls = Array.from(
    { length: gangs },
    () => loopback.submit("nowcast", gang(memberSize)),
  );
  const submittedAt = loopback.now;
  const used = load.run(forMs);
  const waits = calls.map((callId) => {
    const jobId = loopback.jobIdOf(callId);
    const starts = loopback.starts.filter(({ task }) => task.jobId === jobId);
    const last = starts[16 / memberSize - 1];
    return (last?.at ?? Infinity) - submittedAt;
  });
  return { waits, used };
}

interface SmallTaskLoadOptions {
  readonly seed: number;
  readonly team: string;
}

/** Keeps more small tasks waiting than the fleet has room for. */
class SmallTaskLoad {
  readonly #loopback: Loopback;
  readonly #random: Random;
  readonly #team: string;
  #submitted = 0;

  constructor(loopback: Loopback, { seed, team }: SmallTaskLoadOptions) {
    this.#loopback = loopback;
    this.#random = new Random(seed);
    this.#team = team;
  }

  /** Runs the load; returns the mean fraction of accelerators in use. */
  run(forMs: number): number {
    const stepMs = 250;
    let sum = 0;
    for (let elapsed = 0; elapsed < forMs; elapsed += stepMs) {
      this.#topUp();
      this.#loopback.run(stepMs);
      const usage = [...this.#loopback.usage().values()];
      sum += usage.reduce((total, { accelerators }) => total + accelerators, 0);
    }
    return sum / (forMs / stepMs) / ACCELERATORS;
  }

  #topUp(): void {
    const started =
      this.#loopback.starts.filter(({ task }) => task.kind === JobKind.Batch)
        .length;
    while (this.#submitted - started < OVERLOAD * ACCELERATORS) {
      const runMs = Math.round(
        SMALL_RUN_MS * (0.5 + this.#random.fraction()),
      );
      this.#loopback.submit(this.#team, {
        kind: JobKind.Batch,
        cpu: 1,
        memoryMb: 512,
        accelerators: 1,
        durationMs: SMALL_RUN_MS,
        payload: JSON.stringify({ runMs }),
      });
      this.#submitted += 1;
    }
  }
}

function gang(memberSize: number) {
  return {
    kind: JobKind.Gang,
    cpu: memberSize,
    memoryMb: 512,
    accelerators: memberSize,
    tasks: 16 / memberSize,
    payload: JSON.stringify({ runMs: 10_000 }),
  };
}
