import { WaitPolicyKind } from "@mustardweir/locality";
import {
  StagedJobState,
  type StageSpec,
  WorkerState,
} from "@mustardweir/model";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  NIGHTLY_PREFIX,
  stageSpec,
} from "./domain_cluster.ts";
import { jobState } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const RACK = "zone-0";
const RUN_MS = 1_000;
const RUN_SPREAD_MS = 400;
const LOAD_MS = 20_000;
const DRAIN_MS = 30_000;
const SEEDS = [1, 2, 3];

interface RackLoad {
  readonly seed: number;
  readonly remoteFactor: number;
  readonly jobsPerS: number;
  readonly waitPolicy: WaitPolicyKind;
  /** Time for which jobs arrive, in milliseconds; 20,000 by default. */
  readonly loadMs?: number;
  /** Called when the last job has arrived. */
  readonly disturb?: (cluster: DomainCluster) => void;
}

/**
 * Runs jobs of 8 tasks that prefer one of two racks, each of 24 tasks; returns
 * the sum of the times from submission to completion, in milliseconds.
 */
function runLoad(
  {
    seed,
    remoteFactor,
    jobsPerS,
    waitPolicy,
    loadMs = LOAD_MS,
    disturb,
  }: RackLoad,
): number {
  const cluster = new DomainCluster({
    seed,
    needsPermits: false,
    workers: 12,
    remoteFactor,
    waitPolicy,
  });
  const { clock, nodeIds } = cluster;
  clock.runUntil(2 * WARM_UP_MS);
  for (const worker of cluster.workers.values()) {
    worker.faults.runSpreadMs = RUN_SPREAD_MS;
  }
  const submittedMs = new Map<string, number>();
  const jobs = jobsPerS * loadMs / 1_000;
  for (let index = 0; index < jobs; index++) {
    clock.after(index * 1_000 / jobsPerS, () => {
      const jobId = jobIdOf(index);
      submittedMs.set(jobId, clock.now);
      cluster.submit(
        jobId,
        {
          payload: createTaskPayload({
            runMs: RUN_MS,
            failures: 0,
            data: { rack: RACK, remoteFactor },
          }),
          stages: [stageSpec({
            tasks: 8,
            estimateMs: RUN_MS + RUN_SPREAD_MS / 2,
            preferredRack: RACK,
          })],
        },
        nodeIds[index % nodeIds.length]!,
        NIGHTLY_PREFIX,
      );
    });
  }
  clock.after(loadMs, () => disturb?.(cluster));
  clock.runUntil(clock.now + loadMs + DRAIN_MS);
  let totalMs = 0;
  for (const [jobId, sinceMs] of submittedMs) {
    expect(jobState(cluster, jobId), jobId)
      .to.equal(StagedJobState.Completed);
    const ends = cluster.runs.filter(({ task }) => task.startsWith(jobId))
      .map(({ endMs }) => endMs!);
    totalMs += Math.max(...ends) - sinceMs;
  }
  return totalMs;
}

/** Loads of which the rack carries all or most, but not at once. */
const LOADS = [
  { remoteFactor: 1.5, jobsPerS: 2.5 },
  { remoteFactor: 1.5, jobsPerS: 3 },
  { remoteFactor: 3, jobsPerS: 2.5 },
  { remoteFactor: 3, jobsPerS: 3 },
];

// Guards against waits that cost more time than they save.
describe("waiting for a rack", () => {
  for (const load of LOADS) {
    const { remoteFactor, jobsPerS } = load;
    it(`completes ${jobsPerS} jobs a second sooner than never waiting, with a factor of ${remoteFactor}`, () => {
      const totalBy = (waitPolicy: WaitPolicyKind) =>
        SEEDS.map((seed) => runLoad({ ...load, seed, waitPolicy }))
          .reduce((sum, totalMs) => sum + totalMs);
      expect(totalBy(WaitPolicyKind.ExpectedTime))
        .to.be.below(totalBy(WaitPolicyKind.NeverWait));
    }).timeout(60_000);
  }

  const disturbances: readonly [
    name: string,
    disturb: (cluster: DomainCluster) => void,
  ][] = [
    ["drain", (cluster) => {
      for (const { info } of workersOfRack(cluster)) {
        cluster.store.setWorker(info.id, {
          ...info,
          state: WorkerState.Draining,
        });
      }
    }],
    ["leave", (cluster) => {
      for (const worker of workersOfRack(cluster)) {
        worker.crash();
        cluster.store.setWorker(worker.info.id, undefined);
      }
    }],
    ["fall silent", (cluster) => {
      for (const { faults } of workersOfRack(cluster)) {
        cluster.nodeIds.forEach((id) => faults.unreachableFrom.add(id));
      }
    }],
    ["lose their owner", (cluster) => cluster.kill(cluster.owner!, 60_000)],
  ];
  for (const [name, disturb] of disturbances) {
    // Guards against tasks that are forgotten while they wait.
    it(`ends, and all jobs complete, when the rack's workers ${name}`, () => {
      let openBefore = 0;
      let cluster: DomainCluster | undefined;
      runLoad({
        seed: 1,
        remoteFactor: 3,
        jobsPerS: 5,
        loadMs: 1_000,
        waitPolicy: WaitPolicyKind.ExpectedTime,
        disturb: (disturbed) => {
          cluster = disturbed;
          openBefore = disturbed.countRackWaits(disturbed.owner!);
          disturb(disturbed);
        },
      });
      expect(openBefore).to.be.above(0);
      expect(cluster!.countRackWaits(cluster!.owner!)).to.equal(0);
    }).timeout(30_000);
  }
});

interface GangCase {
  readonly name: string;
  readonly tasks: number;
  readonly needsPermits: boolean;
  /** Number of racks that the gang runs in. */
  readonly racks: number;
  readonly startsWithinMs: number;
  readonly preferredRack?: string;
  /** Whether a worker of each rack that has room refuses starts. */
  readonly isRefused?: boolean;
}

// Each of two racks has room for 24 tasks, and 16 while others run there.
const GANG_CASES: readonly GangCase[] = [
  {
    name: "fits into a rack",
    tasks: 16,
    needsPermits: false,
    racks: 1,
    startsWithinMs: 200,
  },
  {
    name: "needs permits and fits into a rack",
    tasks: 16,
    needsPermits: true,
    racks: 1,
    startsWithinMs: 300,
  },
  {
    name: "has to wait for others of a rack",
    tasks: 20,
    needsPermits: false,
    racks: 1,
    startsWithinMs: 1_000,
  },
  {
    name: "is wider than a rack",
    tasks: 30,
    needsPermits: false,
    racks: 2,
    startsWithinMs: 200,
  },
  {
    name: "fits into a rack of which a worker refuses starts",
    tasks: 16,
    needsPermits: false,
    racks: 2,
    startsWithinMs: 400,
    preferredRack: "zone-0",
    isRefused: true,
  },
];

// Guards against gangs that span racks, or wait, without need.
describe("a gang that prefers one rack", () => {
  for (const gang of GANG_CASES) {
    const { name, tasks, needsPermits, racks, startsWithinMs } = gang;
    const { preferredRack = "" } = gang;
    it(`runs in ${racks} rack(s) if it ${name}`, () => {
      const cluster = new DomainCluster({
        seed: 1,
        needsPermits,
        workers: 12,
        remoteFactor: 3,
        waitPolicy: WaitPolicyKind.ExpectedTime,
      });
      const { clock, nodeIds } = cluster;
      clock.runUntil(2 * WARM_UP_MS);
      const submit = (index: number, stage: Partial<StageSpec>) =>
        cluster.submit(
          jobIdOf(index),
          {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: 8, estimateMs: RUN_MS, ...stage })],
          },
          nodeIds[index]!,
          NIGHTLY_PREFIX,
        );
      submit(0, { preferredRack: "zone-0" });
      submit(1, { preferredRack: "zone-1" });
      clock.runUntil(clock.now + RUN_MS / 2);
      const idle = [...cluster.workers.values()].filter(({ info }) =>
        !cluster.runs.some(({ workerId }) => workerId === info.id)
      );
      for (const rack of gang.isRefused ? ["zone-0", "zone-1"] : []) {
        idle.find(({ info }) => info.rack === rack)!.faults.isBusy = true;
      }
      const submittedMs = clock.now;
      submit(2, { tasks, gang: true, sameRack: true, preferredRack });
      clock.runUntil(clock.now + 3 * RUN_MS);
      const runs = cluster.runs.filter(({ task }) =>
        task.startsWith(jobIdOf(2))
      );
      expect(runs).to.have.length(tasks);
      const used = new Set(
        runs.map(({ workerId }) => cluster.workers.get(workerId)!.info.rack),
      );
      expect(used.size).to.equal(racks);
      const startedMs = Math.max(...runs.map(({ startMs }) => startMs));
      expect(startedMs - submittedMs).to.be.below(startsWithinMs);
    });
  }
});

function workersOfRack({ workers }: DomainCluster) {
  return [...workers.values()].filter(({ info }) => info.rack === RACK);
}
