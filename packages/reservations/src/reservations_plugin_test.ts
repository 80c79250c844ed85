import { expect } from "chai";
import { Kernel, type Update } from "@mustardweir/kernel";
import { EffectKind, type NodeEffect } from "@mustardweir/protocol";
import { TENURE_GAINED, TENURE_LOST } from "@mustardweir/tenure";
import { ReleaseCause } from "./reservation.ts";
import { HoldOnly } from "./policies.ts";
import {
  fulfillReservation,
  releaseRoom,
  RESERVATIONS,
  ReservationsPlugin,
  reserveRoom,
  updateExpectation,
} from "./reservations_plugin.ts";
import { accelerators, NOW, runOf, wideStage } from "./test_stages.ts";

/** Holds a worker on which a task of one accelerator ends after 1 s. */
function reserve(
  update: Update,
  { name = "a", rank = 2, poolWorkers = 12, hasSmallerWork = true }: {
    name?: string;
    rank?: number;
    poolWorkers?: number;
    hasSmallerWork?: boolean;
  } = {},
) {
  // The policy in use holds nothing.
  update.write(RESERVATIONS).policy = new HoldOnly();
  return reserveRoom(update, wideStage({ name, rank, tasks: 1 }), {
    poolWorkers,
    hasSmallerWork: () => hasSmallerWork,
    policy: undefined,
    validUntilMs: () => undefined,
    roomsFor: () => [roomOf(name, 1_000)],
  });
}

function roomOf(name: string, inMs: number) {
  const runs = [runOf("r", inMs)];
  return {
    id: `w-${name}`,
    rack: "",
    free: accelerators(7),
    slowness: 1,
    runs,
  };
}

function find(update: Update, name = "a") {
  return update.read(RESERVATIONS).find(name)!;
}

interface EventCase {
  readonly name: string;
  readonly event: (update: Update) => void;
  /** Names of the stages for which room is held afterwards. */
  readonly held: readonly string[];
  readonly counters: readonly string[];
}

const CASES: readonly EventCase[] = [
  {
    name: "is kept until its stage starts",
    event: (update) => fulfillReservation(update, find(update)),
    held: [],
    counters: ["reservations-fulfilled"],
  },
  {
    name: "is given up with its cause",
    event: (update) =>
      releaseRoom(update, find(update), ReleaseCause.WorkerDraining),
    held: [],
    counters: ["reservations-given-up-worker-draining"],
  },
  {
    name: "is lost with the tenure",
    event: (update) => update.dispatch(TENURE_LOST, { reason: "" }),
    held: [],
    counters: [],
  },
  {
    name: "isn't taken over from a former tenure",
    event: (update) => update.dispatch(TENURE_GAINED, { epoch: 2 }),
    held: [],
    counters: [],
  },
  {
    name: "is given up for one that ranks before it, if the pool has two",
    event: (update) => {
      const plan = { readyMs: NOW + 1_000, slowness: 1, stops: [] };
      update.write(RESERVATIONS).add(
        wideStage({ name: "b", rank: 3 }),
        { ...plan, workers: new Map([["w-b", 1]]) },
        { now: NOW, permitMs: 0 },
      );
      reserve(update, { name: "c", rank: 1 });
    },
    held: ["a", "c"],
    counters: ["reservations-given-up-outranked", "reservations-made"],
  },
  {
    name:
      "is given up for one that ranks before it and finds no room beside it",
    event: (update) => reserve(update, { name: "c", rank: 1, poolWorkers: 4 }),
    held: ["c"],
    counters: ["reservations-given-up-outranked", "reservations-made"],
  },
  {
    name: "isn't joined by one where all work is of similar size",
    event: (update) => reserve(update, { name: "c", hasSmallerWork: false }),
    held: ["a"],
    counters: [],
  },
  {
    name: "is kept from one of its rank that finds no room beside it",
    event: (update) => reserve(update, { name: "c", poolWorkers: 4 }),
    held: ["a"],
    counters: [],
  },
];

describe("a reservation", () => {
  for (const { name, event, held, counters } of CASES) {
    it(name, () => {
      const kernel = new Kernel({ plugins: [new ReservationsPlugin()] });
      kernel.update(NOW, (update) => reserve(update));
      const effects = kernel.update(NOW, event) as readonly NodeEffect[];
      expect(kernel.read(RESERVATIONS).active.map(({ stage }) => stage.name))
        .to.deep.equal(held);
      expect(
        effects.flatMap((effect) =>
          effect.kind === EffectKind.Count ? [effect.counter] : []
        ),
      ).to.deep.equal(counters);
    });
  }

  const DRIFT_CASES = [
    { name: "sooner", inMs: 400, expectedInMs: 400, openInMs: 400 },
    { name: "later", inMs: 3_000, expectedInMs: 3_000, openInMs: 1_000 },
  ];
  for (const { name, inMs, expectedInMs, openInMs } of DRIFT_CASES) {
    it(`lets in no more work if its room is expected ${name}`, () => {
      const kernel = new Kernel({ plugins: [new ReservationsPlugin()] });
      kernel.update(NOW, (update) => {
        reserve(update);
      });
      kernel.update(
        NOW + 200,
        (update) =>
          updateExpectation(update, find(update), () => [roomOf("a", inMs)]),
      );
      const { expectedMs, openUntilMs } = kernel.read(RESERVATIONS).active[0]!;
      expect(expectedMs - NOW).to.equal(expectedInMs);
      expect(openUntilMs - NOW).to.equal(openInMs);
    });
  }
});
