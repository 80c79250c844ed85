import { NO_RESOURCES, StagedJobState } from "@mustardweir/model";
import { AttemptEnd } from "@mustardweir/protocol";
import { recordKey, RecordKind } from "@mustardweir/replica";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations, jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const { Alone, Broken, Failed } = AttemptEnd;

const SEEDS = [1, 2];
const JOB = jobIdOf(0);
const MEMBERS = 4;
const RUN_MS = 1_000;
const MAX_ATTEMPTS = 3;
const SETTLE_MS = 40_000;

/** Where the members of a gang run. */
enum Spread {
  OneWorker = "one worker",
  ManyWorkers = "many workers",
}

/** Which ends of the first run only the successor of the owner gets to know. */
enum Takeover {
  None = "one owner",
  AfterFirst = "all but the first member's end by a successor",
  AfterOthers = "the first member's end by a successor",
  FormerVersion =
    "all but the first member's end by a successor of a former version",
}

interface GangCase {
  /** How the members end in each run that fails. */
  readonly ends: readonly AttemptEnd[];
  readonly spread: Spread;
  /** Most ends that a worker lists at a time; 500 by default. */
  readonly endsPerList?: number;
  readonly takeover: Takeover;
  /** Number of runs that fail. */
  readonly failures: number;
}

const ALL_FAILED = [Failed, Failed, Failed, Failed];
const MIXED = [Failed, Broken, Failed, Alone];

const GANGS: readonly GangCase[] = [ALL_FAILED, MIXED].flatMap((ends) =>
  [1, 2, 3].flatMap((failures) => [
    {
      ends,
      failures,
      spread: Spread.OneWorker,
      takeover: Takeover.None,
    },
    {
      ends,
      failures,
      spread: Spread.OneWorker,
      endsPerList: 1,
      takeover: Takeover.None,
    },
    {
      ends,
      failures,
      spread: Spread.ManyWorkers,
      takeover: Takeover.None,
    },
    {
      ends,
      failures,
      spread: Spread.ManyWorkers,
      takeover: Takeover.AfterFirst,
    },
    {
      ends,
      failures,
      spread: Spread.ManyWorkers,
      takeover: Takeover.AfterOthers,
    },
    {
      ends,
      failures,
      spread: Spread.ManyWorkers,
      takeover: Takeover.FormerVersion,
    },
  ])
);

function nameOf(
  { ends, spread, endsPerList = 500, takeover, failures }: GangCase,
): string {
  return `${failures} runs that end ${ends.join(", ")} on ${spread}, ` +
    `${endsPerList} ends a list, ${takeover}`;
}

/** Writes the progress of the job as a former version does. */
function dropAttempts({ store }: DomainCluster): void {
  const { part, key } = recordKey(RecordKind.Progress, JOB);
  const record = store.records.get(`${part}\n${key}`);
  const { failures: _, ...progress } = JSON.parse(record?.value ?? "{}");
  store.put(part, key, JSON.stringify(progress));
}

/**
 * Keeps the ends of the first run on some workers from the owner, and kills it
 * when it has recorded the others.
 */
function splitEnds(cluster: DomainCluster, takeover: Takeover): void {
  const { clock, nodeIds, runs, workers } = cluster;
  const first = runs.find(({ task }) => task.endsWith(".0"))!;
  clock.runUntil(first.startMs + RUN_MS - 20);
  const isHidden = (workerId: string) =>
    (workerId === first.workerId) === (takeover === Takeover.AfterOthers);
  const hidden = [...workers.values()].filter(({ info }) => isHidden(info.id));
  for (const { faults } of hidden) {
    nodeIds.forEach((id) => faults.unreachableFrom.add(id));
  }
  clock.runUntil(clock.now + 200);
  cluster.kill(cluster.owner!);
  if (takeover === Takeover.FormerVersion) {
    dropAttempts(cluster);
  }
  hidden.forEach(({ faults }) => faults.unreachableFrom.clear());
}

// Guards against a gang that is given up after one run because several of its
// members ended failed in it.
describe("a gang", () => {
  for (const testCase of GANGS) {
    const { ends, spread, endsPerList = 500, takeover, failures } = testCase;
    const expected = failures >= MAX_ATTEMPTS
      ? StagedJobState.Failed
      : StagedJobState.Completed;
    for (const seed of SEEDS) {
      it(`is ${expected} after ${nameOf(testCase)}, seed ${seed}`, () => {
        const cluster = new DomainCluster({ seed, needsPermits: false });
        const { clock, nodeIds, runs, workers } = cluster;
        for (const { faults } of workers.values()) {
          faults.endsPerList = endsPerList;
        }
        clock.runUntil(WARM_UP_MS);
        cluster.submit(JOB, {
          payload: createTaskPayload({
            runMs: RUN_MS,
            failures,
            memberEnds: ends,
          }),
          stages: [stageSpec({
            tasks: MEMBERS,
            gang: true,
            estimateMs: RUN_MS,
            size: {
              ...NO_RESOURCES,
              cpuMillis: spread === Spread.OneWorker ? 1_000 : 3_000,
            },
          })],
        }, nodeIds[0]!);
        clock.runUntil(clock.now + 500);
        expect(new Set(runs.map(({ workerId }) => workerId)).size)
          .to.equal(spread === Spread.OneWorker ? 1 : MEMBERS);
        if (takeover !== Takeover.None) {
          splitEnds(cluster, takeover);
        }
        clock.runUntil(clock.now + SETTLE_MS);
        expect(jobState(cluster, JOB)).to.equal(expected);
        expect(findViolations(cluster)).to.deep.equal([]);
        expect(new Set(runs.map(({ attempt }) => attempt)).size)
          .to.equal(Math.min(failures + 1, MAX_ATTEMPTS));
      });
    }
  }
});

interface TaskCase {
  readonly name: string;
  readonly maxAttempts: number;
  readonly failures: number;
  /** Whether the end of each failed attempt is listed to two owners. */
  readonly isListedTwice?: boolean;
  /** Number of failed attempts after each of which the owner is killed. */
  readonly takeovers: readonly number[];
}

const TASKS: readonly TaskCase[] = [
  {
    name: "two failures that are each listed to two owners",
    maxAttempts: 3,
    failures: 2,
    isListedTwice: true,
    takeovers: [1, 2],
  },
  {
    name: "eleven failures of twelve under several owners",
    maxAttempts: 12,
    failures: 11,
    takeovers: [3, 10],
  },
  {
    name: "twelve failures of twelve under several owners",
    maxAttempts: 12,
    failures: 12,
    takeovers: [10, 11],
  },
];

function countFailed({ runs }: DomainCluster): number {
  return runs.filter(({ end }) => end === Failed).length;
}

// Guards against failures that are counted twice, or forgotten, at a takeover.
describe("a task", () => {
  for (const testCase of TASKS) {
    const { name, maxAttempts, failures, isListedTwice, takeovers } = testCase;
    const expected = failures >= maxAttempts
      ? StagedJobState.Failed
      : StagedJobState.Completed;
    for (const seed of SEEDS) {
      it(`is ${expected} after ${name}, seed ${seed}`, () => {
        const cluster = new DomainCluster({
          seed,
          needsPermits: false,
          workers: 1,
          maxAttempts,
        });
        const { clock, nodeIds, store, runs } = cluster;
        clock.runUntil(WARM_UP_MS);
        cluster.submit(JOB, {
          payload: createTaskPayload({ runMs: RUN_MS, failures }),
          stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
        }, nodeIds[0]!);
        for (const after of takeovers) {
          const limitMs = clock.now + SETTLE_MS;
          while (runs.length < after && clock.now < limitMs) {
            clock.runUntil(clock.now + 20);
          }
          if (isListedTwice) {
            store.faults.rejectedKeys.add("session/w0");
          }
          while (countFailed(cluster) < after && clock.now < limitMs) {
            clock.runUntil(clock.now + 20);
          }
          clock.runUntil(clock.now + 200);
          cluster.kill(cluster.owner!);
          store.faults.rejectedKeys.clear();
        }
        clock.runUntil(clock.now + SETTLE_MS);
        expect(jobState(cluster, JOB)).to.equal(expected);
        expect(countFailed(cluster)).to.equal(failures);
      });
    }
  }
});
