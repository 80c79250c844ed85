import { expect } from "chai";
import { NO_RESOURCES, WorkerState } from "@mustardweir/model";
import {
  HoldAndPreempt,
  HoldNothing,
  HoldOnly,
  type ReservationPolicy,
  RESERVATIONS,
} from "@mustardweir/reservations";
import type { SimulatedNode } from "../simulation/node.ts";
import { Tampering } from "../simulation/tampering.ts";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  NIGHTLY_PREFIX,
  type PolicyTiming,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";

const WORKERS = 16;
/** Run time of the small tasks, and what is added at random at most, in ms. */
const SMALL_RUN_MS = 900;
const SMALL_SPREAD_MS = 600;
/** Run time of small tasks that is longer than the limit, in milliseconds. */
const LONG_RUN_MS = 5_000;
/** Small tasks that arrive for each that all workers have room for. */
const LOAD_FACTOR = 1.5;
const SMALL_TASKS = 3;
const SMALL_PER_WORKER = 4;
const LOAD_MS = 12_000;
const GANG_RUN_MS = 500;
const GANGS = 4;
const FIRST_GANG_MS = 2_000;
const GANG_GAP_MS = 2_000;
/** Time after a reservation at which its worker fails, in milliseconds. */
const FAULT_DELAY_MS = 100;
const SETTLE_MS = 20_000;
/** Twice the longest small task: the limit of a reservation. */
const START_LIMIT_MS = 2 * (SMALL_RUN_MS + SMALL_SPREAD_MS);

/** Times of the permit queries for the gangs and for the small tasks. */
const GANG_POLICY: PolicyTiming = { decideMs: 600, networkMs: 5 };
const SMALL_POLICY: PolicyTiming = { decideMs: 20, networkMs: 0 };

interface WaitCase {
  readonly name: string;
  /** Holds only by default. */
  readonly policy?: ReservationPolicy;
  /** Whether a gang starts after the limit; false by default. */
  readonly isLate?: boolean;
  /** Least run time of the small tasks; 900 ms by default. */
  readonly runMs?: number;
  /** Their estimate; the least run time by default, in ms. */
  readonly estimateMs?: number;
  /** Called with the first held worker of the second reservation. */
  readonly injectFault?: (cluster: DomainCluster, held: string) => void;
  /** Workers that the policy allows for gangs; all by default. */
  readonly allowed?: number;
  /** Whether they are single tasks of a whole worker; false by default. */
  readonly areTasks?: boolean;
  /** Gangs that arrive at the same time; 1 by default. */
  readonly atOnce?: number;
  /** Processors of a small task, of 4,000; 1,000 by default. */
  readonly smallCpu?: number;
  /** Whether room is reserved; by default if the policy holds any. */
  readonly isReserved?: boolean;
  /** Why a reservation is given up; none by default. */
  readonly givenUp?: readonly string[];
}

const CASES: readonly WaitCase[] = [
  { name: "without reservations", policy: new HoldNothing(), isLate: true },
  { name: "with reservations" },
  { name: "as tasks of a whole worker", areTasks: true },
  { name: "if two compete", atOnce: 2 },
  {
    name: "behind longer tasks with preemptions",
    policy: new HoldAndPreempt(),
    runMs: LONG_RUN_MS,
  },
  {
    name: "behind longer tasks without preemptions",
    runMs: LONG_RUN_MS,
    isLate: true,
    givenUp: ["rank-changed"],
  },
  {
    name: "behind tasks of half their size without reservations",
    smallCpu: 2_000,
    isLate: true,
    isReserved: false,
  },
  { name: "though the policy allows few workers", allowed: 4 },
  { name: "by estimates of half the time", estimateMs: SMALL_RUN_MS / 2 },
  {
    name: "though a worker of a reservation drains",
    injectFault: ({ store, workers }, held) => {
      const { info } = workers.get(held)!;
      store.setWorker(held, { ...info, state: WorkerState.Draining });
    },
    givenUp: ["worker-draining"],
  },
  {
    name: "though a worker of a reservation leaves",
    injectFault: ({ store }, held) => store.setWorker(held, undefined),
    givenUp: ["worker-left"],
  },
  {
    name: "though a worker of a reservation changes its pool",
    injectFault: ({ store, workers }, held) => {
      const { info } = workers.get(held)!;
      store.setWorker(held, { ...info, pool: "mixers" });
    },
    givenUp: ["worker-left"],
  },
];

/** Lets all nodes hold room by a policy. */
class PolicyTampering extends Tampering {
  constructor(readonly policy: ReservationPolicy) {
    super();
  }

  override install(node: SimulatedNode): void {
    node.kernel.update(0, (update) => {
      update.write(RESERVATIONS).policy = this.policy;
    });
  }
}

describe("gangs behind many small tasks", () => {
  for (
    const {
      name,
      policy = new HoldOnly(),
      isLate = false,
      runMs = SMALL_RUN_MS,
      estimateMs = runMs,
      injectFault,
      allowed = WORKERS,
      areTasks = false,
      atOnce = 1,
      smallCpu = 1_000,
      isReserved = policy.holds,
      givenUp = [],
    } of CASES
  ) {
    it(`start ${isLate ? "late" : "in time"} ${name}`, () => {
      const submittedMs = new Map<string, number>();
      const reserved: string[] = [];
      const given: string[] = [];
      const cluster = new DomainCluster({
        seed: 1,
        workers: WORKERS,
        tampering: new PolicyTampering(policy),
        policy: GANG_POLICY,
        nightlyPolicy: SMALL_POLICY,
        allows: (stage, workerId) =>
          !submittedMs.has(stage.split(".")[0]!) ||
          Number(workerId.slice(1)) < allowed,
        onLog: ({ message, fields }) => {
          if (message === "Room reserved") {
            const [held] = String(fields["workers"]).split(" ");
            if (reserved.push(held!) === 2) {
              clock.after(FAULT_DELAY_MS, () => injectFault?.(cluster, held!));
            }
          }
          if (message === "Reservation given up") {
            given.push(String(fields["cause"]));
          }
        },
      });
      const { clock, runs, nodeIds } = cluster;
      for (const { faults } of cluster.workers.values()) {
        faults.runSpreadMs = SMALL_SPREAD_MS;
        faults.listsProgress = true;
      }
      clock.runUntil(2 * WARM_UP_MS);
      const startMs = clock.now;
      const gapMs = SMALL_TASKS * (runMs + SMALL_SPREAD_MS / 2) /
        (LOAD_FACTOR * SMALL_PER_WORKER * WORKERS);
      const smallJobs = Math.floor(LOAD_MS / gapMs);
      for (let index = 0; index < smallJobs; index++) {
        clock.after(index * gapMs, () =>
          cluster.submit(
            jobIdOf(index),
            {
              payload: createTaskPayload({ runMs, failures: 0 }),
              stages: [stageSpec({
                tasks: SMALL_TASKS,
                checkpoints: true,
                size: {
                  ...NO_RESOURCES,
                  cpuMillis: smallCpu,
                  memoryMb: 500,
                },
                estimateMs,
              })],
            },
            nodeIds[index % nodeIds.length]!,
            NIGHTLY_PREFIX,
          ));
      }
      for (let index = 0; index < GANGS; index++) {
        const jobId = jobIdOf(smallJobs + index);
        const inMs = FIRST_GANG_MS + Math.floor(index / atOnce) * GANG_GAP_MS;
        submittedMs.set(jobId, startMs + inMs);
        clock.after(inMs, () =>
          cluster.submit(jobId, {
            payload: createTaskPayload({ runMs: GANG_RUN_MS, failures: 0 }),
            stages: [stageSpec({
              tasks: 2,
              gang: !areTasks,
              size: { ...NO_RESOURCES, cpuMillis: 4_000, memoryMb: 500 },
              estimateMs: 8 * GANG_RUN_MS,
            })],
          }, nodeIds[0]!));
      }
      clock.runUntil(startMs + LOAD_MS);
      const waits = [...submittedMs].map(([jobId, atMs]) =>
        (runs.find(({ task }) => task.startsWith(jobId))?.startMs ??
          clock.now) - atMs
      );
      expect(Math.max(...waits) > START_LIMIT_MS).to.equal(isLate);
      expect(reserved.length > 0).to.equal(isReserved);
      expect(given).to.deep.equal(givenUp);
      clock.runUntil(clock.now + SETTLE_MS);
      expect(findViolations(cluster)).to.deep.equal([]);
    });
  }
});
