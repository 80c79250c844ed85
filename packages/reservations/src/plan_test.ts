import { expect } from "chai";
import { planRoom } from "./plan.ts";
import {
  HoldAndPreempt,
  HoldOnly,
  type ReservationPolicy,
} from "./policies.ts";
import type { RunningWork, WideStage, WorkerRoom } from "./reservation.ts";
import { accelerators, NOW, runOf, wideStage } from "./test_stages.ts";

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
    runs: endsInMs.map((inMs, index) => runOf(`${id}-${index}`, inMs, run)),
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

/** Expects that workers are held which have room after a time. */
function at(readyInMs: number, held: readonly string[]) {
  return { held, readyInMs };
}

/** Workers a, b and so on, each with the times at which its tasks end. */
function rooms(...endsInMs: readonly (readonly number[])[]): WorkerRoom[] {
  return endsInMs.map((inMs, index) => worker("abc"[index]!, inMs));
}

const HALF = { size: accelerators(4) };

const CASES: readonly PlanCase[] = [
  {
    name: "holds the workers whose last task ends soonest",
    workers: rooms([9_000], [1_000], [2_000]),
    ...at(2_000, ["b", "c"]),
  },
  {
    name: "goes by the last end on a worker, not the first",
    workers: rooms([100, 5_000], [3_000, 3_000], [4_000]),
    ...at(4_000, ["b", "c"]),
  },
  {
    name: "prefers workers on which few tasks need to end",
    workers: rooms([1_000, 1_000, 1_000], [1_500], [1_500]),
    ...at(1_500, ["b", "c"]),
  },
  {
    name: "prefers, of workers alike, the room that is unused for less long",
    workers: rooms([100], [1_900], [1_900]),
    ...at(1_900, ["b", "c"]),
  },
  {
    name: "puts several tasks on one worker",
    workers: rooms([1_000, 1_000], [9_000, 9_000, 9_000, 9_000, 9_000]),
    stage: HALF,
    ...at(1_000, ["a"]),
  },
  {
    name: "keeps to the most tasks on one worker",
    workers: rooms([1_000, 1_000], [9_000, 9_000]),
    stage: { ...HALF, maxPerWorker: 1 },
    ...at(0, ["a", "b"]),
  },
  {
    name: "keeps to the limit of workers, though more would have room sooner",
    workers: rooms([0, 0, 0, 0, 6_000, 6_000], [0, 0, 0, 0, 7_000, 7_000]),
    stage: HALF,
    maxWorkers: 1,
    ...at(6_000, ["a"]),
  },
  {
    name: "prefers one rack if that takes no longer",
    workers: [
      worker("a", [1_000], { rack: "r" }),
      worker("b", [1_000], { rack: "s" }),
      worker("c", [1_000, 1_000], { rack: "s" }),
    ],
    stage: { sameRack: true },
    ...at(1_000, ["b", "c"]),
  },
  {
    name: "doesn't wait for one rack",
    workers: [
      worker("a", [1_000], { rack: "r" }),
      worker("b", [1_000], { rack: "s" }),
      worker("c", [5_000], { rack: "s" }),
    ],
    stage: { sameRack: true },
    ...at(1_000, ["a", "b"]),
  },
  {
    name: "holds nothing while too few workers are allowed",
    workers: rooms([1_000]),
  },
  {
    name: "holds nothing where tasks run until cancellation",
    workers: rooms([Infinity], [1_000]),
  },
  {
    name: "stops checkpointing tasks of less urgent queues if that is sooner",
    workers: rooms([9_000], [1_000]),
    policy: PREEMPT,
    ...at(1_000, ["a", "b"]),
    stops: ["a-0"],
  },
  {
    name: "stops no task as urgent as the stage",
    workers: [worker("a", [9_000], { priority: 1 }), worker("b", [1_000])],
    policy: PREEMPT,
    ...at(9_000, ["a", "b"]),
  },
  {
    name: "stops no gang, lasting task or task that was preempted twice",
    workers: [
      worker("a", [9_000], { isPreemptible: false }),
      worker("b", [1_000]),
    ],
    policy: PREEMPT,
    ...at(9_000, ["a", "b"]),
  },
  {
    name: "doesn't stop next what was stopped just before",
    workers: [worker("a", [9_000], { preemptions: 1 }), worker("b", [9_000])],
    stage: { tasks: 1 },
    policy: PREEMPT,
    ...at(900, ["b"]),
    stops: ["b-0"],
  },
  {
    name: "stops nothing that ends about as soon by itself",
    workers: rooms([1_500], [1_500]),
    policy: PREEMPT,
    ...at(1_500, ["a", "b"]),
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
