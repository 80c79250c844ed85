import { plainStage, StagedJobState } from "@mustardweir/model";
import { expect } from "chai";
import { createJobRun, type JobRun, openOccurrence } from "./dispatch_state.ts";
import {
  type MeanRun,
  type ObjectiveClock,
  ObjectiveRanking,
  ObjectiveStatus,
  objectiveStatusOf,
  PriorityRanking,
} from "./turn_order.ts";

const byEstimate: MeanRun = (_, estimateMs) => estimateMs;

const STAGE = plainStage({ estimateMs: 1_000 });

interface JobOptions {
  readonly priority?: number;
  readonly isOverRate?: boolean;
  readonly isLasting?: boolean;
  readonly isDone?: boolean;
  /** The job is scheduled once, for this time in Unix milliseconds. */
  readonly dueMs?: number;
}

/**
 * A job of two stages of 1 s; its objective is 1.5 times their sum plus 250 ms.
 */
function jobOf(options: JobOptions): JobRun {
  const { priority = 0, isOverRate = false, isLasting = false } = options;
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
    isOverRate,
  });
  return job;
}

function stageOf(options: JobOptions) {
  return jobOf(options).stages.get("0.0")!;
}

describe("objective status of a job", () => {
  const cases: readonly {
    name: string;
    job: JobOptions;
    ageMs: number;
    /** Real run time relative to the estimates; 1 by default. */
    factor?: number;
    status: ObjectiveStatus;
  }[] = [
    { name: "is new", job: {}, ageMs: 0, status: ObjectiveStatus.InTime },
    {
      name: "can just be done in time",
      job: {},
      ageMs: 1_250,
      status: ObjectiveStatus.InTime,
    },
    { name: "is late", job: {}, ageMs: 1_251, status: ObjectiveStatus.Late },
    {
      name: "has one stage left",
      job: { isDone: true },
      ageMs: 2_250,
      status: ObjectiveStatus.InTime,
    },
    {
      name: "is too late to be useful",
      job: {},
      ageMs: 7_751,
      status: ObjectiveStatus.Expired,
    },
    {
      name: "is beyond the rate of its team",
      job: { isOverRate: true },
      ageMs: 0,
      status: ObjectiveStatus.OverRate,
    },
    {
      name: "is beyond the rate and expired",
      job: { isOverRate: true },
      ageMs: 9_000,
      status: ObjectiveStatus.Expired,
    },
    {
      name: "has a lasting stage",
      job: { isLasting: true, isOverRate: true },
      ageMs: 90_000,
      status: ObjectiveStatus.InTime,
    },
    // Guards against objectives by estimates that are off: with a factor of 0.5
    // the objective is 1,750 ms, with one of 2 it is 6,250 ms.
    {
      name: "runs half as long and can just be done in time",
      job: {},
      factor: 0.5,
      ageMs: 750,
      status: ObjectiveStatus.InTime,
    },
    {
      name: "runs half as long and is late",
      job: {},
      factor: 0.5,
      ageMs: 751,
      status: ObjectiveStatus.Late,
    },
    {
      name: "runs twice as long and can't be done in time",
      job: {},
      factor: 2,
      ageMs: 2_251,
      status: ObjectiveStatus.Late,
    },
    {
      name: "runs twice as long and has one stage left",
      job: { isDone: true },
      factor: 2,
      ageMs: 4_250,
      status: ObjectiveStatus.InTime,
    },
  ];
  for (const { name, job, ageMs, factor = 1, status } of cases) {
    it(`is ${ObjectiveStatus[status]} when it ${name}`, () => {
      const clock = { storeMs: 10_000 + ageMs, unixMs: 0 };
      const meanRun: MeanRun = (_, estimateMs) => factor * estimateMs;
      expect(objectiveStatusOf(stageOf(job), clock, meanRun)).to.equal(status);
    });
  }

  it("counts a scheduled job from its due time", () => {
    const dueMs = 1_700_000_000_000;
    const job = jobOf({ dueMs });
    openOccurrence(job, 0);
    const clock = { storeMs: 0, unixMs: dueMs + 1_251 };
    expect(objectiveStatusOf(job.stages.get("0.0")!, clock, byEstimate)).to
      .equal(
        ObjectiveStatus.Late,
      );
  });
});

describe("ranking of stages", () => {
  const now = { storeMs: 10_000, unixMs: 0 };
  const late = { storeMs: 13_000, unixMs: 0 };
  const expired = { storeMs: 30_000, unixMs: 0 };

  it("places urgent queues first, then what is in time, then the rest", () => {
    const ranking = new ObjectiveRanking();
    const rank = (job: JobOptions, clock: ObjectiveClock) => {
      const stage = stageOf(job);
      return ranking.rank(stage, objectiveStatusOf(stage, clock, byEstimate));
    };
    const ranks = [
      rank({}, now),
      rank({}, late),
      rank({ priority: 1 }, now),
      rank({ priority: 1 }, late),
      rank({ isOverRate: true }, now),
      rank({ priority: 1, isOverRate: true }, now),
      rank({}, expired),
      rank({ priority: 1 }, expired),
    ];
    expect(ranks).to.deep.equal([...ranks].sort((a, b) => a - b));
    expect(new Set(ranks).size).to.equal(ranks.length);
  });

  it("uses the priority alone in its plain form", () => {
    const ranking = new PriorityRanking();
    expect(ranking.rank(stageOf({ priority: 2 }))).to.equal(2);
  });
});
