import { setTimeout as delay } from "node:timers/promises";
import { jobIdOf } from "@mustardweir/demo";
import { EndReason, Outcome } from "@mustardweir/model";
import { expect } from "chai";
import { request } from "undici";
import { FLEET } from "./fleet.ts";
import { makeLongBatch } from "./load.ts";
import {
  CASE_TIMEOUT_MS,
  type FailureInjection,
  runTrial,
} from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Longer than a lease with its margin, in milliseconds. */
const PAUSE_MS = 10_000;

const ZONES = FLEET.inventory.availabilityZones.map(({ name }) => name);
const KILLED_ZONE = "zone-a";

interface WorkerCase {
  readonly name: string;
  readonly seed: number;
  readonly injectFailures: FailureInjection;
}

const CASES: readonly WorkerCase[] = [
  {
    name: "a zone paused until its leases expire, another restarted twice",
    seed: 51,
    injectFailures: async (trial) => {
      const paused = await startLongBatch(trial);
      const restarted = ZONES.find((zone) => zone !== paused) ?? "";
      const child = trial.cluster.child(`workers-${paused}`);
      child.signal("SIGSTOP");
      const pause = delay(PAUSE_MS);
      for (let round = 0; round < 2; round++) {
        await waitForRuns(trial, restarted);
        await restartInstances(trial, restarted);
        trial.report("restarted: 50 jobs", await trial.waitForEndedJobs(50));
      }
      await requireLostRuns(trial, restarted);
      await pause;
      child.signal("SIGCONT");
      trial.report("resumed: 50 jobs", await trial.waitForEndedJobs(50));
      await requireLostRuns(trial, paused);
    },
  },
  {
    name: "the worker process of a zone killed and restarted",
    seed: 52,
    injectFailures: async (trial) => {
      const zone = KILLED_ZONE;
      const name = `workers-${zone}`;
      await waitForRuns(trial, zone);
      // No call may reach the workers after their runs have been saved.
      trial.cluster.relay(name).disconnect();
      await trial.saveRuns(zone);
      await trial.cluster.child(name).kill();
      trial.report("killed: 50 jobs", await trial.waitForEndedJobs(50));
      await trial.cluster.restartWorkers(zone);
      trial.cluster.relay(name).restore();
      await waitForRuns(trial, zone);
      trial.report("started: 50 jobs", await trial.waitForEndedJobs(50));
    },
  },
];

/** Waits until a task runs in the zone. */
async function waitForRuns(trial: Trial, zone: string): Promise<void> {
  await trial.waitFor(`work in ${zone}`, async () => {
    const runs = await trial.runsIn(zone);
    return runs.some(({ reason }) => reason === undefined);
  });
}

/** Starts tasks that outlast a lease; returns a zone that runs one of them. */
async function startLongBatch(trial: Trial): Promise<string> {
  const job = makeLongBatch();
  void trial.load.add(job);
  let zone: string | undefined;
  await trial.waitFor("a long task", async () => {
    const jobId = jobIdOf({ job });
    for (const name of ZONES) {
      const runs = await trial.runsIn(name);
      zone ??= runs.some((run) => run.jobId === jobId) ? name : undefined;
    }
    return zone !== undefined;
  });
  return zone ?? "";
}

async function restartInstances(
  trial: Trial,
  zoneName: string,
): Promise<void> {
  const zone = FLEET.inventory.availabilityZones.find(({ name }) =>
    name === zoneName
  );
  const origin = trial.cluster.workerOrigins.get(zoneName);
  for (const { id } of zone?.racks.flatMap((rack) => rack.instances) ?? []) {
    const url = `${origin}/${id}/v1/restart`;
    const res = await request(url, { method: "POST" });
    await res.body.dump();
  }
}

async function requireLostRuns(trial: Trial, zone: string): Promise<void> {
  const runs = await trial.runsIn(zone);
  const lost = runs.filter(({ reason }) => reason === EndReason.Lost).length;
  const unknown =
    trial.stories.filter(({ status }) => status?.outcome === Outcome.Unknown)
      .length;
  trial.print(
    `${zone}: ${lost} runs lost; ${unknown} jobs reported unknown so far`,
  );
  expect(lost, "lost runs").to.be.greaterThan(0);
}

describe("Failures of workers", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, injectFailures } of CASES) {
    it(name, () => runTrial(injectFailures, { seed, relayed: true }));
  }
});
