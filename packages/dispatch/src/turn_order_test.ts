import { plainStage, StagedJobState } from "@mustardweir/model";
import { expect } from "chai";
import { addOccurrence, createJobRun, type JobRun } from "./book.ts";
import {
  ObjectiveOrder,
  PriorityOrder,
  Standing,
  standingOf,
  type TurnClock,
} from "./turn_order.ts";

const STAGE = plainStage({ estimateMs: 1_000 });

interface JobOptions {
  readonly priority?: number;
  readonly isExcess?: boolean;
  readonly isLasting?: boolean;
  readonly isDone?: boolean;
  /** Runs once, due at this time of day. */
  readonly dueMs?: number;
}

/** Two stages of 1 s; objective 1.5 times that and 250 ms more. */
function jobOf(options: JobOptions): JobRun {
  const { priority = 0, isExcess = false, isLasting = false } = options;
  const job = createJobRun("0000000000000001", {
    record: {
      queue: {
        name: "plans",
        host: "a.example",
        pathPrefix: "/plans/",
        pool: "ovens",
        priority,
        maxAttempts: 3,
        latencyObjectiveMs: 250,
        stretch: 1.5,
        isPublic: false,
      },
      team: "storefront",
      spec: {
        payload: "",
        stages: [
          { ...STAGE, lasting: isLasting },
          { ...STAGE, dependsOn: [0] },
        ],
        ...(options.dueMs === undefined ? {} : {
          schedule: {
            firstDueMs: options.dueMs,
            intervalMs: 1_000,
            occurrences: 1,
          },
        }),
      },
      acceptedMs: 10_000,
    },
    progress: options.isDone
      ? {
        state: StagedJobState.Running,
        marks: { "0.0": "d" },
        checkpoints: {},
      }
      : undefined,
    isInherited: false,
    isExcess,
  });
  return job;
}

function stageOf(options: JobOptions) {
  return jobOf(options).stages.get("0.0")!;
}

describe("standing of a job", () => {
  const cases: readonly {
    name: string;
    job: JobOptions;
    ageMs: number;
    standing: Standing;
  }[] = [
    { name: "is new", job: {}, ageMs: 0, standing: Standing.InTime },
    {
      name: "can just be done in time",
      job: {},
      ageMs: 1_250,
      standing: Standing.InTime,
    },
    { name: "is late", job: {}, ageMs: 1_251, standing: Standing.Late },
    {
      name: "has one stage left",
      job: { isDone: true },
      ageMs: 2_250,
      standing: Standing.InTime,
    },
    {
      name: "is of use to nobody",
      job: {},
      ageMs: 7_751,
      standing: Standing.Expired,
    },
    {
      name: "is beyond the rate of its team",
      job: { isExcess: true },
      ageMs: 0,
      standing: Standing.Excess,
    },
    {
      name: "is beyond the rate and expired",
      job: { isExcess: true },
      ageMs: 9_000,
      standing: Standing.Expired,
    },
    {
      name: "lasts",
      job: { isLasting: true, isExcess: true },
      ageMs: 90_000,
      standing: Standing.InTime,
    },
  ];
  for (const { name, job, ageMs, standing } of cases) {
    it(`is ${Standing[standing]} when it ${name}`, () => {
      const clock = { storeMs: 10_000 + ageMs, unixMs: 0 };
      expect(standingOf(stageOf(job), clock)).to.equal(standing);
    });
  }

  it("counts a scheduled job from its due time", () => {
    const dueMs = 1_700_000_000_000;
    const job = jobOf({ dueMs });
    addOccurrence(job);
    const clock = { storeMs: 0, unixMs: dueMs + 1_251 };
    expect(standingOf(job.stages.get("0.0")!, clock)).to.equal(Standing.Late);
  });
});

describe("order of turns", () => {
  const now = { storeMs: 10_000, unixMs: 0 };
  const late = { storeMs: 13_000, unixMs: 0 };
  const expired = { storeMs: 30_000, unixMs: 0 };

  it("places urgent queues first, then what is in time, then the rest", () => {
    const order = new ObjectiveOrder();
    const rank = (job: JobOptions, clock: TurnClock) => {
      const stage = stageOf(job);
      return order.rank(stage, standingOf(stage, clock));
    };
    const ranks = [
      rank({}, now),
      rank({}, late),
      rank({ priority: 1 }, now),
      rank({ priority: 1 }, late),
      rank({ isExcess: true }, now),
      rank({ priority: 1, isExcess: true }, now),
      rank({}, expired),
      rank({ priority: 1 }, expired),
    ];
    expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b));
    expect(new Set(ranks).size).to.equal(ranks.length);
  });

  it("knows nothing but priorities in its plain form", () => {
    const order = new PriorityOrder();
    expect(order.rank(stageOf({ priority: 2 }))).to.equal(2);
  });
});
