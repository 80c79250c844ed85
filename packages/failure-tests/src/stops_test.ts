import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { Team } from "./fleet.ts";
import { makeRequest } from "./load.ts";
import { isReady } from "./entry_probe.ts";
import {
  CASE_TIMEOUT_MS,
  type FailureInjection,
  runTrial,
} from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Number of long requests in flight at a stop, and run time of each in ms. */
const LONG_REQUESTS = 24;
const LONG_RUN_MS = 2_500;

/** Time for long requests to reach their workers, in milliseconds. */
const IN_FLIGHT_MS = 500;

/**
 * Time from the start of a scheduler to the stop of the one that it replaces,
 * in milliseconds.
 */
const REPLACEMENT_DELAY_MS = 500;

interface StopCase {
  readonly name: string;
  readonly seed: number;
  readonly injectFailures: FailureInjection;
}

const CASES: readonly StopCase[] = [
  {
    name: "an entry and an owner stopped with long requests in flight",
    seed: 21,
    injectFailures: async (trial) => {
      const caller = trial.callers[0]!;
      const submitter = trial.submitterAt(caller);
      const atEntry = submitLongRequests("entry", (job) => submitter.run(job));
      await delay(IN_FLIGHT_MS);
      trial.removeCaller(caller.nodeId);
      await stop(
        trial,
        caller.nodeId,
        () => trial.cluster.retireEntry(caller.nodeId),
      );
      await atEntry;
      const { owner } = await trial.findOwner(`home/${Team.Orders}`);
      const atOwner = submitLongRequests("owner", (job) => trial.load.add(job));
      await delay(IN_FLIGHT_MS);
      await stop(trial, owner, () => trial.cluster.retireScheduler(owner));
      trial.report("takeover after", await trial.waitForTakeover(owner));
      await atOwner;
      requireAllAnswered(trial);
    },
  },
  {
    name: "all entries and schedulers replaced one by one",
    seed: 23,
    injectFailures: async (trial) => {
      const { entryAddresses, schedulers } = trial.cluster;
      for (const { nodeId } of schedulers) {
        await trial.cluster.addScheduler();
        await delay(REPLACEMENT_DELAY_MS);
        await stop(trial, nodeId, () => trial.cluster.retireScheduler(nodeId));
        trial.report("takeover after", await trial.waitForTakeover(nodeId));
      }
      for (const { nodeId } of entryAddresses) {
        const added = await trial.cluster.addEntry();
        await trial.waitFor(
          `${added.nodeId} to be ready`,
          () => isReady(added),
        );
        trial.addCaller(added);
        trial.removeCaller(nodeId);
        await stop(trial, nodeId, () => trial.cluster.retireEntry(nodeId));
      }
      await trial.waitForEndedJobs(50);
      requireAllAnswered(trial);
    },
  },
];

type LongRequest = ReturnType<typeof makeRequest>;

/** Submits requests, half of which must not run twice. */
async function submitLongRequests(
  name: string,
  submitJob: (job: LongRequest) => Promise<void>,
): Promise<void> {
  const jobs = Array.from({ length: LONG_REQUESTS }, (_, index) =>
    makeRequest({
      name: `${name}-${index}`,
      runMs: LONG_RUN_MS,
      idempotent: index % 2 === 0,
    }));
  await Promise.all(jobs.map(submitJob));
}

/** Stops a process gracefully and expects exit code 0. */
async function stop(
  trial: Trial,
  nodeId: string,
  act: () => Promise<void>,
): Promise<void> {
  const from = performance.now();
  await act();
  trial.print(
    `${nodeId} ended ${Math.round(performance.now() - from)} ms later`,
  );
  expect(trial.cluster.child(nodeId).exitCode, nodeId).to.equal(0);
}

/** Expects every call to be answered, with an outcome that is known. */
function requireAllAnswered(trial: Trial): void {
  expect(trial.unansweredCalls, "calls that got no answer").to.equal(0);
  const withUnknownOutcome = trial.stories.filter(({ unclear }) => unclear)
    .map(({ job, refusal }) => `${job.idempotencyKey} ${refusal}`);
  expect(withUnknownOutcome, "jobs with an unknown outcome").to.deep.equal([]);
}

describe("Planned stops", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, injectFailures } of CASES) {
    it(name, () => runTrial(injectFailures, { seed }));
  }
});
