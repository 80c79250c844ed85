import { expect } from "chai";
import { NO_RESOURCES } from "@mustardweir/model";
import { planRoom } from "./plan.ts";
import {
  HoldAndPreempt,
  HoldOnly,
  type ReservationPolicy,
} from "./policies.ts";
import type { RunningWork, WideStage, WorkerRoom } from "./reservation.ts";

const NOW = 10_000;

function accelerators(count: number) {
  return { ...NO_RESOURCES, accelerators: count };
}

function wideStage(options: Partial<WideStage> = {}): WideStage {
  return {
    name: "a.0.0",
    pool: "wide",
    rank: 2,
    priority: 1,
    size: accelerators(8),
    tasks: 2,
    sameRack: false,
    maxPerWorker: 0,
    ...options,
  };
}

/** A worker of 8 accelerators whose tasks of one end at the given times. */
function worker(
  id: string,
  endsInMs: readonly number[],
  { rack = "", ...run }: Partial<RunningWork> & { rack?: string } = {},
): WorkerRoom {
  return {
    id,
    rack,
    free: accelerators(8 - endsInMs.length),
    slowness: 1,
    runs: endsInMs.map((inMs, index) => ({
      name: `${id}-${index}`,
      size: accelerators(1),
      endMs: NOW + inMs,
      startedMs: NOW - 100,
      priority: 2,
      preemptions: 0,
      isPreemptible: true,
      ...run,
    })),
  };
}

interface PlanCase {
  readonly name: string;
  readonly workers: readonly WorkerRoom[];
  readonly stage?: Partial<WideStage>;
  readonly policy?: ReservationPolicy;
  readonly maxWorkers?: number;
  /** The workers that are held and when they have room; none without. */
  readonly held?: readonly string[];
  readonly readyInMs?: number;
  readonly stops?: readonly string[];
}

const PREEMPT = new HoldAndPreempt();

const CASES: readonly PlanCase[] = [
  {
    name: "holds the workers whose last task ends soonest",
    workers: [worker("a", [9_000]), worker("b", [1_000]), worker("c", [2_000])],
    held: ["b", "c"],
    readyInMs: 2_000,
  },
  {
    name: "goes by the last end on a worker, not the first",
    workers: [
      worker("a", [100, 5_000]),
      worker("b", [3_000, 3_000]),
      worker("c", [4_000]),
    ],
    held: ["c", "b"],
    readyInMs: 4_000,
  },
  {
    name: "prefers workers on which few tasks need to end",
    workers: [
      worker("a", [1_000, 1_000, 1_000]),
      worker("b", [1_500]),
      worker("c", [1_500]),
    ],
    held: ["c", "b"],
    readyInMs: 1_500,
  },
  {
    name: "prefers, of workers alike, the room that is unused for less long",
    workers: [worker("a", [100]), worker("b", [1_900]), worker("c", [1_900])],
    held: ["b", "c"],
    readyInMs: 1_900,
  },
  {
    name: "puts several tasks on one worker",
    workers: [
      worker("a", [1_000, 1_000]),
      worker("b", [9_000, 9_000, 9_000, 9_000, 9_000]),
    ],
    stage: { size: accelerators(4) },
    held: ["a"],
    readyInMs: 1_000,
  },
  {
    name: "keeps to the most tasks on one worker",
    workers: [worker("a", [1_000, 1_000]), worker("b", [9_000, 9_000])],
    stage: { size: accelerators(4), maxPerWorker: 1 },
    held: ["a", "b"],
    readyInMs: 0,
  },
  {
    name: "keeps to the limit of workers, though more would have room sooner",
    workers: [
      worker("a", [0, 0, 0, 0, 6_000, 6_000]),
      worker("b", [0, 0, 0, 0, 7_000, 7_000]),
    ],
    stage: { size: accelerators(4) },
    maxWorkers: 1,
    held: ["a"],
    readyInMs: 6_000,
  },
  {
    name: "prefers one rack if that takes no longer",
    workers: [
      worker("a", [1_000], { rack: "r" }),
      worker("b", [1_000], { rack: "s" }),
      worker("c", [1_000, 1_000], { rack: "s" }),
    ],
    stage: { sameRack: true },
    held: ["b", "c"],
    readyInMs: 1_000,
  },
  {
    name: "doesn't wait for one rack",
    workers: [
      worker("a", [1_000], { rack: "r" }),
      worker("b", [1_000], { rack: "s" }),
      worker("c", [5_000], { rack: "s" }),
    ],
    stage: { sameRack: true },
    held: ["a", "b"],
    readyInMs: 1_000,
  },
  {
    name: "holds nothing while too few workers are allowed",
    workers: [worker("a", [1_000])],
  },
  {
    name: "holds nothing where tasks run until cancellation",
    workers: [worker("a", [Infinity]), worker("b", [1_000])],
  },
  {
    name: "stops checkpointing tasks of less urgent queues if that is sooner",
    workers: [worker("a", [9_000]), worker("b", [1_000])],
    policy: PREEMPT,
    held: ["a", "b"],
    readyInMs: 1_000,
    stops: ["a-0"],
  },
  {
    name: "stops no task as urgent as the stage",
    workers: [
      worker("a", [9_000], { priority: 1 }),
      worker("b", [1_000]),
    ],
    policy: PREEMPT,
    held: ["a", "b"],
    readyInMs: 9_000,
  },
  {
    name: "stops no gang, lasting task or task that was preempted twice",
    workers: [
      worker("a", [9_000], { isPreemptible: false }),
      worker("b", [1_000]),
    ],
    policy: PREEMPT,
    held: ["a", "b"],
    readyInMs: 9_000,
  },
  {
    name: "doesn't stop next what was stopped just before",
    workers: [
      worker("a", [9_000], { preemptions: 1 }),
      worker("b", [9_000]),
    ],
    stage: { tasks: 1 },
    policy: PREEMPT,
    held: ["b"],
    readyInMs: 900,
    stops: ["b-0"],
  },
  {
    name: "stops nothing that ends about as soon by itself",
    workers: [worker("a", [1_500]), worker("b", [1_500])],
    policy: PREEMPT,
    held: ["a", "b"],
    readyInMs: 1_500,
  },
];

describe("a plan of room for a wide stage", () => {
  for (
    const {
      name,
      workers,
      stage,
      policy = new HoldOnly(),
      maxWorkers = workers.length,
      held,
      readyInMs = 0,
      stops = [],
    } of CASES
  ) {
    it(name, () => {
      const plan = planRoom(wideStage(stage), workers, {
        policy,
        maxWorkers,
        now: NOW,
      });
      expect(plan && [...plan.workers.keys()].sort())
        .to.deep.equal(held?.toSorted());
      expect((plan?.readyMs ?? NOW) - NOW).to.equal(readyInMs);
      expect(plan?.stops ?? []).to.deep.equal(stops);
    });
  }
});
