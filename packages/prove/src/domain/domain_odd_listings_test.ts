import {
  AttemptEnd,
  OrderKind,
  OrderOutcome,
  type WorkerListing,
} from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  jobIdOf,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import type { DomainWorker } from "./domain_worker.ts";

const TASKS = 6;
/** Number of jobs of which some wait for room. */
const JOBS = 12;
const RUN_MS = 4_000;
/** Time for which the listings are odd, in milliseconds. */
const ODD_MS = 2_000;

interface ListingCase {
  readonly name: string;
  /** Returns what can be read of a listing. */
  readonly read: (listing: WorkerListing) => WorkerListing;
}

/** Time in which all tasks end after the nodes were killed, in milliseconds. */
const RECOVERY_MS = 60_000;

const CASES: readonly ListingCase[] = [
  {
    name: "of which all can be read",
    read: (listing) => listing,
  },
  {
    name: "of which one run can't be read",
    read: (listing) => ({
      ...listing,
      running: listing.running.slice(1),
      isPartial: true,
    }),
  },
  {
    name: "of which no run can be read",
    read: (listing) => ({ ...listing, running: [], isPartial: true }),
  },
];

function changeListings(
  worker: DomainWorker,
  read: (listing: WorkerListing) => WorkerListing,
): void {
  const order = worker.order.bind(worker);
  worker.order = (sent, from, { timeoutMs, answer }) =>
    order(sent, from, {
      timeoutMs,
      answer: (result) =>
        answer(
          result.listing === undefined
            ? result
            : { ...result, listing: read(result.listing) },
        ),
    });
}

describe("tasks of workers with listings", () => {
  for (const { name, read } of CASES) {
    it(`${name} are started once`, () => {
      const cluster = new DomainCluster({ seed: 1, needsPermits: false });
      const { clock, nodeIds, runs } = cluster;
      let isOdd = false;
      for (const worker of cluster.workers.values()) {
        changeListings(worker, (listing) => isOdd ? read(listing) : listing);
      }
      clock.runUntil(WARM_UP_MS);
      const payload = createTaskPayload({ runMs: RUN_MS, failures: 0 });
      cluster.submit(
        jobIdOf(0),
        { payload, stages: [stageSpec({ tasks: TASKS })] },
        nodeIds[0]!,
      );
      clock.runUntil(clock.now + RUN_MS / 4);
      expect(runs).to.have.length(TASKS);
      isOdd = true;
      clock.runUntil(clock.now + ODD_MS);
      isOdd = false;
      clock.runUntil(clock.now + RUN_MS);
      expect(runs).to.have.length(TASKS);
    });
  }

  it("of which one never can be read whole are started after all nodes are killed", () => {
    const cluster = new DomainCluster({ seed: 1, needsPermits: false });
    const { clock, nodeIds, runs } = cluster;
    clock.runUntil(WARM_UP_MS);
    changeListings(
      cluster.workers.get("w0")!,
      (listing) => ({
        ...listing,
        running: listing.running.slice(1),
        isPartial: true,
      }),
    );
    const payload = createTaskPayload({ runMs: RUN_MS, failures: 0 });
    const [node = ""] = nodeIds;
    for (let job = 0; job < JOBS; job++) {
      cluster.submit(
        jobIdOf(job),
        { payload, stages: [stageSpec({ tasks: TASKS })] },
        node,
      );
    }
    clock.runUntil(clock.now + RUN_MS / 4);
    nodeIds.forEach((id) => cluster.kill(id));
    clock.runUntil(clock.now + RECOVERY_MS);
    expect(findViolations(cluster)).to.deep.equal([]);
    const done = runs.filter(({ end }) => end === AttemptEnd.Done);
    expect(new Set(done.map(({ task }) => task))).to.have.length(JOBS * TASKS);
  });

  it("of which one never can be read whole are started though the reply to a start is lost", () => {
    const cluster = new DomainCluster({
      seed: 1,
      needsPermits: false,
      workers: 1,
    });
    const { clock, nodeIds, runs } = cluster;
    clock.runUntil(WARM_UP_MS);
    const worker = cluster.workers.get("w0")!;
    changeListings(worker, (listing) => ({ ...listing, isPartial: true }));
    const order = worker.order.bind(worker);
    let isLost = true;
    worker.order = (sent, from, { timeoutMs, answer }) => {
      if (isLost && sent.kind === OrderKind.Start) {
        isLost = false;
        clock.after(
          timeoutMs,
          () => answer({ outcome: OrderOutcome.NoAnswer }),
        );
      } else {
        order(sent, from, { timeoutMs, answer });
      }
    };
    const payload = createTaskPayload({ runMs: RUN_MS, failures: 0 });
    cluster.submit(
      jobIdOf(0),
      { payload, stages: [stageSpec({ tasks: 1 })] },
      nodeIds[0]!,
    );
    clock.runUntil(clock.now + RECOVERY_MS);
    expect(isLost).to.equal(false);
    expect(findViolations(cluster)).to.deep.equal([]);
    expect(runs.map(({ end }) => end)).to.deep.equal([AttemptEnd.Done]);
  });
});
