import { Random } from "@mustardweir/kernel";
import { JobKind } from "@mustardweir/model";
import { createFleet } from "../loopback/fleet.ts";
import { Loopback } from "../loopback/loopback.ts";

const WARM_UP_MS = 20_000;

/** Instances of each of the three zones, with eight accelerators each. */
const INSTANCES = 4;
const ACCELERATORS = 3 * INSTANCES * 8;

/** Mean run time of small tasks, in milliseconds. */
const SMALL_RUN_MS = 4_000;

const DEFAULT_OBSERVED_MS = 120_000;

/** Small tasks that always wait, over those that the fleet has room for. */
const OVERLOAD = 3;

/** The gangs that a trial submits. */
export interface GangTrialOptions {
  readonly seed: number;
  /** Gangs of 16 accelerators that are submitted together; 1 by default. */
  readonly gangs?: number;
  /** Accelerators of one member; 1 by default. */
  readonly memberSize?: number;
  /** True when the team of the gangs runs the small tasks, too. */
  readonly isOwnLoad?: boolean;
  /** Longest time that is waited for the gangs; 2 min by default. */
  readonly forMs?: number;
}

/** How long gangs waited, and how full the fleet was. */
export interface GangTrialResult {
  /** From submission to the start of all members; Infinity for never. */
  readonly waits: readonly number[];
  /** Part of the accelerators in use on average from submission to the end. */
  readonly used: number;
}

/** Submits gangs to a fleet on which small tasks come and go all the while. */
export function runGangTrial(options: GangTrialOptions): GangTrialResult {
  const { gangs = 1, memberSize = 1, isOwnLoad = false } = options;
  const { forMs = DEFAULT_OBSERVED_MS } = options;
  const loopback = new Loopback({
    configuration: createFleet({
      shares: { nowcast: 1, imaging: 1 },
      instances: INSTANCES,
      shape: { cpu: 128, accelerators: 8 },
    }),
    seed: options.seed,
    schedulers: 3,
  });
  const load = new SmallLoad(loopback, {
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

interface SmallLoadOptions {
  readonly seed: number;
  readonly team: string;
}

/** Keeps more small tasks submitted than there is room for. */
class SmallLoad {
  readonly #loopback: Loopback;
  readonly #random: Random;
  readonly #team: string;
  #submitted = 0;

  constructor(loopback: Loopback, { seed, team }: SmallLoadOptions) {
    this.#loopback = loopback;
    this.#random = new Random(seed);
    this.#team = team;
  }

  /** Returns the part of the accelerators that was in use on average. */
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
