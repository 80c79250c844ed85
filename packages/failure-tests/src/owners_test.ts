import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { Team } from "./fleet.ts";
import { CASE_TIMEOUT_MS, type Disturbance, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

interface OwnerCase {
  readonly name: string;
  readonly seed: number;
  readonly disturb: Disturbance;
}

const CASES: readonly OwnerCase[] = [
  {
    name: "two owners killed in the middle of gangs, one after the other",
    seed: 12,
    disturb: async (trial) => {
      const { owner } = await trial.ownerOf(`home/${Team.Models}`);
      await waitForGangs(trial);
      await trial.cluster.child(owner).kill();
      trial.report("takeover after", await trial.waitForTakeover(owner));
      const next = (await trial.ownerOf(`home/${Team.Models}`)).owner;
      await waitForGangs(trial);
      await trial.cluster.child(next).kill();
      trial.report("takeover after", await trial.waitForTakeover(next));
      await trial.waitForWork(50);
    },
  },
  {
    name: "an owner paused past the takeover and woken",
    seed: 13,
    disturb: async (trial) => {
      const { owner } = await trial.ownerOf(`home/${Team.Models}`);
      const before = await unitsOf(trial, owner);
      await waitForGangs(trial);
      trial.cluster.child(owner).signal("SIGSTOP");
      trial.report("takeover after", await trial.waitForTakeover(owner));
      await trial.waitForWork(50);
      trial.cluster.child(owner).signal("SIGCONT");
      const givenUpMs = await trial.waitFor(
        "the end of the woken owner's units",
        () => before.every((unit) => hasLost(trial, owner, unit)),
      );
      trial.report("all units given up after", givenUpMs);
      await trial.waitForWork(50);
    },
  },
  {
    name: "an owner paused and woken three times while it is taken over",
    seed: 14,
    disturb: async (trial) => {
      const { owner } = await trial.ownerOf(`home/${Team.Orders}`);
      for (const pauseMs of [1_400, 1_900, 3_000]) {
        trial.cluster.child(owner).signal("SIGSTOP");
        await delay(pauseMs);
        trial.cluster.child(owner).signal("SIGCONT");
        await trial.waitForWork(25);
      }
    },
  },
];

/** Waits until a gang runs and another is to be placed. */
async function waitForGangs(trial: Trial): Promise<void> {
  await trial.waitFor("a running gang", () => {
    const { stories } = trial;
    return stories.some(({ job, status }) =>
      job.team === Team.Models && status?.state === "running"
    );
  });
}

async function unitsOf(trial: Trial, nodeId: string): Promise<string[]> {
  const owners = await trial.cluster.platform.owners();
  const units = owners.filter(({ owner }) => owner === nodeId)
    .map(({ unit }) => unit);
  expect(units).not.to.deep.equal([]);
  return units;
}

function hasLost(trial: Trial, nodeId: string, unit: string): boolean {
  return trial.logs.some(({ node, text }) =>
    node === nodeId && text.includes("Unit lost") && text.includes(unit)
  );
}

describe("Failures of owners", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, disturb } of CASES) {
    it(name, () => runTrial(disturb, { seed }));
  }
});
