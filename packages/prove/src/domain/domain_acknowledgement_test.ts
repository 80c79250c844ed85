import { type EndedAttempt, OrderKind } from "@mustardweir/protocol";
import { expect } from "chai";
import {
  createTaskPayload,
  DomainCluster,
  stageSpec,
} from "./domain_cluster.ts";
import { findViolations } from "./domain_oracle.ts";
import { WARM_UP_MS } from "./domain_scenarios.ts";
import type { DomainWorker } from "./domain_worker.ts";

const SEEDS = [1, 2, 3];
const WORKERS = 8;
/** So short that they end before the worker is asked for another listing. */
const RUN_MS = 50;
const TASKS_PER_JOB = 8;
const JOBS_PER_S = 5;
const LOAD_MS = 20_000;
const SETTLE_MS = 25_000;
const SLOW_CALL_MS = 240;
const DOWN_MS = 100;
/** Shortest time between two crashes, in milliseconds. */
const CRASH_GAP_MS = 500;
/** Fewest crashes for a run to count. */
const MIN_CRASHES = 10;

interface AcknowledgementCase {
  readonly name: string;
  /** Duration of a call to the store, in milliseconds. */
  readonly callMs: number;
  /** Time from listing the ends to the crash, in milliseconds. */
  readonly crashAfterMs: number;
  /** Time from the restart to the registration, in ms; 0 by default. */
  readonly registersAfterMs?: number;
  /** Time by which renewals are later than starts, in ms; 0 by default. */
  readonly renewalDelayMs?: number;
  /** Whether replies to starts are lost after a restart; no by default. */
  readonly losesStartReplies?: boolean;
  /** Whether the owner is killed after each fifth crash; no by default. */
  readonly losesOwners?: boolean;
}

const CASES: readonly AcknowledgementCase[] = [
  {
    name: "while its ends are being recorded by a slow store",
    callMs: SLOW_CALL_MS,
    crashAfterMs: 50,
  },
  {
    name: "and registers after its ends have been recorded",
    callMs: SLOW_CALL_MS,
    crashAfterMs: 50,
    registersAfterMs: 900,
  },
  {
    name: "and loses the replies to its first starts",
    callMs: SLOW_CALL_MS,
    crashAfterMs: 50,
    losesStartReplies: true,
  },
  {
    name: "while the acknowledgement is under way",
    callMs: 4,
    crashAfterMs: 40,
    renewalDelayMs: 250,
  },
  {
    name: "while a slow store delays the acknowledgement and so does the link",
    callMs: SLOW_CALL_MS,
    crashAfterMs: 50,
    renewalDelayMs: 150,
  },
  {
    name: "and the owner is lost now and then",
    callMs: SLOW_CALL_MS,
    crashAfterMs: 50,
    losesOwners: true,
  },
];

/** Calls `onListed` for each listing of ends by a worker that runs nothing. */
function watchIdleListings(
  worker: DomainWorker,
  onListed: (ended: readonly EndedAttempt[]) => void,
): void {
  const order = worker.order.bind(worker);
  worker.order = (sent, from, options) =>
    order(sent, from, {
      ...options,
      answer: (result) => {
        options.answer(result);
        const { running = [], ended = [] } = result.listing ?? {};
        if (
          sent.kind === OrderKind.Renew && running.length === 0 &&
          ended.length > 0
        ) {
          onListed(ended);
        }
      },
    });
}

/** Crashes idle workers whose ends have been listed; returns the number. */
function runAcknowledgementCase(
  testCase: AcknowledgementCase,
  seed: number,
): { readonly cluster: DomainCluster; readonly crashes: number } {
  const {
    callMs,
    crashAfterMs,
    registersAfterMs = 0,
    renewalDelayMs = 0,
    losesStartReplies = false,
    losesOwners = false,
  } = testCase;
  const cluster = new DomainCluster({
    seed,
    workers: WORKERS,
    needsPermits: false,
  });
  const { clock, store, workers, runs } = cluster;
  clock.runUntil(WARM_UP_MS);
  store.faults.callMs = callMs;
  let crashes = 0;
  let nextCrashMs = clock.now;
  const endMs = clock.now + LOAD_MS;
  const isIdle = ({ isUp, info }: DomainWorker) =>
    isUp &&
    runs.every(({ workerId, endMs }) =>
      workerId !== info.id || endMs !== undefined
    );
  const crashIfIdle = (worker: DomainWorker) => {
    if (!isIdle(worker)) {
      return;
    }
    worker.crash();
    crashes++;
    if (losesOwners && crashes % 5 === 0 && cluster.owner !== undefined) {
      cluster.kill(cluster.owner);
    }
    clock.after(DOWN_MS, () => {
      worker.restart();
      worker.faults.losesStartReplies = losesStartReplies;
      clock.after(400, () => worker.faults.losesStartReplies = false);
      clock.after(
        registersAfterMs,
        () => store.setWorker(worker.info.id, worker.info),
      );
    });
  };
  for (const worker of workers.values()) {
    worker.faults.renewalDelayMs = renewalDelayMs;
    watchIdleListings(worker, () => {
      if (clock.now >= nextCrashMs && clock.now < endMs) {
        nextCrashMs = clock.now + CRASH_GAP_MS;
        clock.after(crashAfterMs, () => crashIfIdle(worker));
      }
    });
  }
  cluster.submitSteadily({
    jobsPerS: JOBS_PER_S,
    forMs: LOAD_MS,
    spec: {
      payload: createTaskPayload({ runMs: RUN_MS, failures: 0 }),
      stages: [stageSpec({ tasks: TASKS_PER_JOB, estimateMs: RUN_MS })],
    },
  });
  clock.runUntil(endMs);
  store.faults.callMs = 4;
  workers.forEach(({ faults }) => faults.renewalDelayMs = 0);
  clock.runUntil(clock.now + SETTLE_MS);
  return { cluster, crashes };
}

// Guards against an acknowledgement that reaches the next incarnation of a
// worker, which then discards ends that nobody has read.
describe("tasks run once though an idle worker starts again", () => {
  for (const testCase of CASES) {
    for (const seed of SEEDS) {
      it(`${testCase.name}, seed ${seed}`, () => {
        const { cluster, crashes } = runAcknowledgementCase(testCase, seed);
        expect(crashes).to.be.at.least(MIN_CRASHES);
        expect(findViolations(cluster)).to.deep.equal([]);
      }).timeout(60_000);
    }
  }
});
