import { setTimeout as delay } from "node:timers/promises";
import { Direction } from "@mustardweir/demo";
import { expect } from "chai";
import { Team } from "./fleet.ts";
import { CASE_TIMEOUT_MS, type Disturbance, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

const ZONE = "zone-a";

/** Time in which starts gather that don't get to their workers. */
const STARTS_ON_THE_WAY_MS = 600;

/** Time for the new owner to ask the workers what they run. */
const FENCING_MS = 400;

/** Time that the woken owner has with nothing but the workers. */
const ALONE_MS = 1_500;

/** Tries, as a pause on a busy machine may be too long. */
const MAX_TRIES = 3;

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
      const since = trial.logs.length;
      trial.cluster.child(owner).signal("SIGCONT");
      const givenUpMs = await trial.waitFor(
        "the end of the woken owner's units",
        () => before.every((unit) => hasLost(trial, { owner, unit, since })),
      );
      trial.report("all units given up after", givenUpMs);
      await trial.waitForWork(50);
    },
  },
  {
    name: "an owner woken with starts on the way that hears of no takeover",
    seed: 15,
    disturb: async (trial) => {
      let isRefused = false;
      for (let tries = 0; tries < MAX_TRIES && !isRefused; tries++) {
        isRefused = await wakeAlone(trial);
        trial.note(
          isRefused
            ? "the workers refused the woken owner"
            : "the woken owner called no worker",
        );
      }
      expect(isRefused, "refused by a worker").to.equal(true);
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

/**
 * Pauses the owner of a slice while it has starts on the way, and wakes it
 * with no link and no platform: only workers can tell it of its successor.
 * Resolves to true when they did; an owner that was paused for too long to be
 * sure of its slice calls no worker.
 */
async function wakeAlone(trial: Trial): Promise<boolean> {
  const { cluster } = trial;
  const unit = `slice/${ZONE}/0`;
  const { owner } = await trial.ownerOf(unit);
  const isOver = (since: number) => hasLost(trial, { owner, unit, since });
  const start = trial.logs.length;
  cluster.relay(`workers-${ZONE}`).swallow(Direction.ToTarget);
  await delay(STARTS_ON_THE_WAY_MS);
  cluster.child(owner).signal("SIGSTOP");
  cutLinks(trial);
  restoreLinks(trial, (nodeId) => nodeId !== owner);
  trial.report("takeover after", await trial.waitForTakeover(owner));
  await delay(FENCING_MS);
  cutLinks(trial);
  await cluster.platform.setFaults({ down: true });
  const woken = trial.logs.length;
  cluster.child(owner).signal("SIGCONT");
  await delay(ALONE_MS);
  const isRefused = isOver(woken);
  await cluster.platform.setFaults({});
  restoreLinks(trial);
  await trial.waitFor(
    "the end of the woken owner's slice",
    () => isOver(start),
  );
  return isRefused;
}

/** Ends the links of all schedulers; new ones fail. */
function cutLinks({ cluster }: Trial): void {
  for (const { nodeId } of cluster.schedulers) {
    cluster.relay(nodeId).cut();
  }
}

/** Lets new links come about. */
function restoreLinks(
  { cluster }: Trial,
  isWanted = (_nodeId: string) => true,
): void {
  for (const { nodeId } of cluster.schedulers) {
    if (isWanted(nodeId)) {
      cluster.relay(nodeId).restore();
    }
  }
}

async function unitsOf(trial: Trial, nodeId: string): Promise<string[]> {
  const owners = await trial.cluster.platform.owners();
  const units = owners.filter(({ owner }) => owner === nodeId)
    .map(({ unit }) => unit);
  expect(units).not.to.deep.equal([]);
  return units;
}

interface LostUnit {
  readonly owner: string;
  readonly unit: string;
  /** Lines of the log that came before. */
  readonly since: number;
}

function hasLost(trial: Trial, { owner, unit, since }: LostUnit): boolean {
  return trial.logs.slice(since).some(({ node, text }) =>
    node === owner && text.includes("Unit lost") && text.includes(unit)
  );
}

describe("Failures of owners", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, disturb } of CASES) {
    it(name, () => runTrial(disturb, { seed, relayed: true }));
  }
});
