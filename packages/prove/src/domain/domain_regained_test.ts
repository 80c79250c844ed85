import "./plugins.ts";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";

const SEEDS = [1, 2, 3];
/** Time for which the owner has owned the domain before, in milliseconds. */
const TENURE_MS = 20_000;
/** Run time of tasks that outlast a lease, in milliseconds. */
const RUN_MS = 6_000;
/** So few that all of them have room on half of the workers. */
const JOBS = 12;
/** Time for which all jobs run before the fault, in milliseconds. */
const BEFORE_MS = 1_500;
const SETTLE_MS = 60_000;
/** Workers that fall silent or slow, with what they run, before the fault. */
const SILENT = ["w1", "w4"];
/** Time from their silence to the fault, in milliseconds. */
const SILENT_FOR_MS = 300;

interface RegainedCase {
  readonly name: string;
  /** Time after which the silent workers are reached again, in ms; 0 if they always are. */
  readonly backAfterMs: number;
  /** Time by which their renewals arrive later than those of others, in ms. */
  readonly renewalDelayMs?: number;
  /** Number of times that the owner is fenced, a second apart. */
  readonly fences: number;
}

const CASES: readonly RegainedCase[] = [
  {
    name: "while silent workers run on",
    backAfterMs: 60_000,
    fences: 1,
  },
  {
    name: "and silent workers are back before their leases end",
    backAfterMs: 2_500,
    fences: 1,
  },
  {
    name: "and some workers reply later than others",
    backAfterMs: 0,
    renewalDelayMs: 250,
    fences: 1,
  },
  {
    name: "again and again",
    backAfterMs: 60_000,
    fences: 3,
  },
];

// Guards against an owner that takes its own former leases for those of a
// process that has ended.
describe("tasks run once though a process regains the domain", () => {
  for (const { name, backAfterMs, renewalDelayMs = 0, fences } of CASES) {
    for (const seed of SEEDS) {
      it(`${name}, seed ${seed}`, () => {
        const takeovers: string[] = [];
        const cluster = new DomainCluster({
          seed,
          needsPermits: false,
          onLog: ({ message }, nodeId) => {
            if (message === "Domain taken over") {
              takeovers.push(cluster.processOf(nodeId)!);
            }
          },
        });
        const { clock, workers, nodeIds } = cluster;
        clock.runUntil(TENURE_MS);
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
          }, nodeIds[index % nodeIds.length]!);
        }
        clock.runUntil(clock.now + BEFORE_MS);
        for (const id of SILENT) {
          const { faults } = workers.get(id)!;
          faults.renewalDelayMs = renewalDelayMs;
          nodeIds.forEach((node) => faults.unreachableFrom.add(node));
          clock.after(backAfterMs, () => faults.unreachableFrom.clear());
        }
        clock.runUntil(clock.now + SILENT_FOR_MS);
        for (let fence = 0; fence < fences; fence++) {
          cluster.fenceOwner("w0");
          clock.runUntil(clock.now + 1_000);
        }
        clock.runUntil(clock.now + SETTLE_MS + backAfterMs);
        expect(takeovers).to.have.length.above(fences);
        expect(new Set(takeovers)).to.have.length(1);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
