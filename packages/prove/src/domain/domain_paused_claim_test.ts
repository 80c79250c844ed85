import "./plugins.ts";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";

/**
 * Seeds with which a read of the records is under way when the node claims the
 * domain: it has its own claim and not the newer one when it goes on.
 */
const SEEDS = [11, 13, 21, 23, 24];
/** Time from one seed to the next by which the fault comes later, in ms. */
const SEED_STEP_MS = 13;
const TENURE_MS = 20_000;
/** Run time of tasks that outlast the pause and a lease, in milliseconds. */
const RUN_MS = 15_000;
const JOBS = 12;
const BEFORE_MS = 1_500;
/** Time from the cut to the fault, in milliseconds. */
const CUT_FOR_MS = 300;
/** Duration of a call of the store after the pause, in milliseconds. */
const SLOW_STORE_MS = 200;
const SETTLE_MS = 60_000;
/** Workers that all nodes but the paused one reach. */
const REACHED_BY_OTHERS = ["w1", "w4"];

interface PauseCase {
  readonly name: string;
  /** Time for which the node stands still, in milliseconds. */
  readonly pausedMs: number;
}

const CASES: readonly PauseCase[] = [
  { name: "for a moment", pausedMs: 500 },
  { name: "until another node owns the domain", pausedMs: 6_000 },
];

/** Pauses the node; the others and it reach different workers from now on. */
function pauseApart(
  cluster: DomainCluster,
  nodeId: string,
  pausedMs: number,
): void {
  const { clock, nodeIds, store, workers } = cluster;
  for (const [id, { faults }] of workers) {
    const isForOthers = REACHED_BY_OTHERS.includes(id);
    nodeIds.filter((node) => (node === nodeId) === isForOthers)
      .forEach((node) => faults.unreachableFrom.add(node));
  }
  clock.after(pausedMs - 1, () => store.faults.callMs = SLOW_STORE_MS);
  cluster.pause(nodeId, pausedMs);
}

// Guards against a claim that counts as confirmed when its reply is handled,
// though the process was paused in between and the domain has a newer owner.
describe("tasks run once though a node is paused after its claim", () => {
  for (const { name, pausedMs } of CASES) {
    for (const seed of SEEDS) {
      it(`${name}, seed ${seed}`, () => {
        let isArmed = false;
        let paused: string | undefined;
        const cluster: DomainCluster = new DomainCluster({
          seed,
          needsPermits: false,
          onLog: ({ message }, nodeId) => {
            if (isArmed && message === "Claiming the domain") {
              isArmed = false;
              paused = nodeId;
              // The claim is on its way before the process stands still.
              cluster.clock.after(
                1,
                () => pauseApart(cluster, nodeId, pausedMs),
              );
            }
          },
        });
        const { clock, workers, nodeIds, store } = cluster;
        clock.runUntil(TENURE_MS);
        for (let index = 0; index < JOBS; index++) {
          cluster.submit(jobIdOf(index), {
            payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
            stages: [stageSpec({ tasks: 1, estimateMs: RUN_MS })],
          }, nodeIds[index % nodeIds.length]!);
        }
        clock.runUntil(clock.now + BEFORE_MS + seed * SEED_STEP_MS);
        isArmed = true;
        const owner = cluster.owner!;
        for (const id of REACHED_BY_OTHERS) {
          workers.get(id)!.faults.unreachableFrom.add(owner);
        }
        clock.runUntil(clock.now + CUT_FOR_MS);
        cluster.fenceOwner("w0");
        clock.runUntil(clock.now + pausedMs + 3_000);
        for (const { faults } of workers.values()) {
          faults.unreachableFrom.clear();
        }
        store.faults.callMs = 4;
        clock.runUntil(clock.now + SETTLE_MS);
        expect(paused).to.equal(owner);
        expect(findViolations(cluster)).to.deep.equal([]);
      });
    }
  }
});
