import { expect } from "chai";
import { NO_RESOURCES, plainStage } from "@mustardweir/model";
import { ReservationBook } from "@mustardweir/reservations";
import type { Session } from "@mustardweir/sessions";
import { type Candidate, reserve } from "./candidates.ts";
import { createJobRun, type StageRun } from "./dispatch_state.ts";
import { BestFitRule } from "./placement_rules.ts";

const SIZE = { ...NO_RESOURCES, cpuMillis: 11_000, memoryMb: 33_000 };
const CAPACITY = {
  ...NO_RESOURCES,
  cpuMillis: 128_000,
  memoryMb: 512_000,
  accelerators: 8,
};

/** A stage of tasks with one accelerator each. */
function scanStage(tasks: number): StageRun {
  const stage = plainStage({ tasks, size: { ...SIZE, accelerators: 1 } });
  const address = { host: "a.example", pathPrefix: "/scan/", isPublic: false };
  const limits = { maxAttempts: 3, latencyObjectiveMs: 3_000, stretch: 4 };
  const queue = { name: "scan", pool: "accelerated", priority: 2 };
  const record = { team: "t", spec: { payload: "", stages: [stage] } };
  return createJobRun("a", {
    record: {
      ...record,
      queue: { ...queue, ...address, ...limits },
      acceptedMs: 0,
    },
    progress: undefined,
    isInherited: false,
    isOverRate: false,
  }).stages.get("0.0")!;
}

function candidateOf(id: string, slowness: number): Candidate {
  const session = {
    info: { id, rack: "r", capacity: CAPACITY, labels: [] },
    attempts: new Map(),
  };
  return {
    session: session as unknown as Session,
    free: CAPACITY,
    expected: CAPACITY,
    victims: [],
    hasLatencyTask: false,
    hasBestEffortTask: false,
    slowness,
    reserved: new Map(),
    isQuiet: true,
    probationOf: undefined,
    hold: undefined,
  };
}

interface PackingCase {
  readonly name: string;
  /** Tasks that each worker runs already, and its slowness. */
  readonly workers: readonly (readonly [tasks: number, slowness: number])[];
  readonly tasks: number;
  /** Worker that is held for another stage and open; none by default. */
  readonly held?: number;
  /** Tasks that are placed on each worker. */
  readonly placed: readonly number[];
}

const CASES: readonly PackingCase[] = [
  {
    name: "fill a worker that is partly used",
    workers: [[0, 1], [3, 1], [0, 1]],
    tasks: 5,
    placed: [0, 5, 0],
  },
  {
    name: "fill the fullest of several",
    workers: [[2, 1], [6, 1], [4, 1]],
    tasks: 4,
    placed: [0, 2, 2],
  },
  {
    name: "fill a slow worker before an empty fast one",
    workers: [[0, 0.8], [1, 1.25]],
    tasks: 7,
    placed: [0, 7],
  },
  {
    name: "break into one empty worker at a time",
    workers: [[0, 1], [0, 1]],
    tasks: 6,
    placed: [6, 0],
  },
  {
    name: "leave a held worker alone while there is room elsewhere",
    workers: [[0, 1], [5, 1]],
    tasks: 9,
    held: 1,
    placed: [8, 1],
  },
];

// Guards against small tasks that are spread over workers which wide work needs
// whole.
describe("tasks of one accelerator", () => {
  for (const { name, workers, tasks, held, placed } of CASES) {
    it(name, () => {
      const running = scanStage(8);
      const candidates = workers.map(([used, slowness], index) => {
        const candidate = candidateOf(`w${index}`, slowness);
        running.tasks.slice(0, used).forEach((task) =>
          reserve(candidate, task)
        );
        return candidate;
      });
      const limits = { tasks: 1, sameRack: false, maxPerWorker: 0 };
      const holding = new ReservationBook().add(
        { name: "b", pool: "p", rank: 2, priority: 1, size: SIZE, ...limits },
        { workers: new Map(), readyMs: 1_000, slowness: 1, stops: [] },
        { now: 0, permitMs: 0 },
      )!;
      if (held !== undefined) {
        candidates[held]!.hold = { reservation: holding, room: CAPACITY };
      }
      const stage = scanStage(tasks);
      const placements = new BestFitRule()
        .choose(stage, stage.tasks, candidates);
      expect(
        candidates.map((candidate) =>
          placements.filter((placement) => placement.candidate === candidate)
            .length
        ),
      ).to.deep.equal(placed);
    });
  }
});
