import { setTimeout as delay } from "node:timers/promises";
import { Direction } from "@mustardweir/demo";
import { expect } from "chai";
import { Team } from "./fleet.ts";
import {
  CASE_TIMEOUT_MS,
  type FailureInjection,
  runTrial,
} from "./run_trial.ts";
import type { Trial } from "./trial.ts";

const ZONE = "zone-a";

/**
 * Time in which the slice's owner sends starts that don't reach their workers,
 * in milliseconds.
 */
const UNDELIVERED_STARTS_MS = 600;

/** Time for the new owner to ask workers for their tasks, in milliseconds. */
const FENCING_MS = 400;

/** Time that the resumed owner can reach only the workers, in milliseconds. */
const ISOLATION_MS = 1_500;

/** Maximum number of tries: a pause on a busy machine may last too long. */
const MAX_TRIES = 3;

interface OwnerCase {
  readonly name: string;
  readonly seed: number;
  readonly injectFailures: FailureInjection;
}

const CASES: readonly OwnerCase[] = [
  {
    name: "two owners killed one after the other while gangs run",
    seed: 12,
    injectFailures: async (trial) => {
      const { owner } = await trial.findOwner(`home/${Team.Models}`);
      await waitForGangs(trial);
      await trial.cluster.child(owner).kill();
      trial.report("takeover after", await trial.waitForTakeover(owner));
      const next = (await trial.findOwner(`home/${Team.Models}`)).owner;
      await waitForGangs(trial);
      await trial.cluster.child(next).kill();
      trial.report("takeover after", await trial.waitForTakeover(next));
      await trial.waitForEndedJobs(50);
    },
  },
  {
    name: "an owner paused past the takeover and woken",
    seed: 13,
    injectFailures: async (trial) => {
      const { owner } = await trial.findOwner(`home/${Team.Models}`);
      await waitForGangs(trial);
      trial.cluster.child(owner).signal("SIGSTOP");
      // A running owner may release a unit; a paused one can't.
      const before = await listUnits(trial, owner);
      trial.report("takeover after", await trial.waitForTakeover(owner));
      await trial.waitForEndedJobs(50);
      const since = trial.logs.length;
      trial.cluster.child(owner).signal("SIGCONT");
      const givenUpMs = await trial.waitFor(
        "the resumed owner to lose its units",
        () =>
          before.every((unit) => hasLostUnit(trial, { owner, unit, since })),
      );
      trial.report("all units given up after", givenUpMs);
      await trial.waitForEndedJobs(50);
    },
  },
  {
    name: "an owner resumed with undelivered starts, unaware of the takeover",
    seed: 15,
    injectFailures: async (trial) => {
      let isRefused = false;
      for (let tries = 0; tries < MAX_TRIES && !isRefused; tries++) {
        isRefused = await resumeIsolated(trial);
        trial.print(
          isRefused
            ? "the workers refused the resumed owner"
            : "the resumed owner called no worker",
        );
      }
      expect(isRefused, "refused by a worker").to.equal(true);
      await trial.waitForEndedJobs(50);
    },
  },
  {
    name: "an owner paused and resumed three times during its takeover",
    seed: 14,
    injectFailures: async (trial) => {
      const { owner } = await trial.findOwner(`home/${Team.Orders}`);
      for (const pauseMs of [1_400, 1_900, 3_000]) {
        trial.cluster.child(owner).signal("SIGSTOP");
        await delay(pauseMs);
        trial.cluster.child(owner).signal("SIGCONT");
        await trial.waitForEndedJobs(25);
      }
    },
  },
];

/** Waits until a gang runs. */
async function waitForGangs(trial: Trial): Promise<void> {
  await trial.waitFor("a running gang", () => {
    const { stories } = trial;
    return stories.some(({ job, status }) =>
      job.team === Team.Models && status?.state === "running"
    );
  });
}

/**
 * Pauses the owner of a slice while it has undelivered starts and resumes it
 * without links and platform, so that it can learn of its successor from
 * workers only. Resolves to whether it did: an owner that was paused for too
 * long to be sure that it still owns the slice calls no worker.
 */
async function resumeIsolated(trial: Trial): Promise<boolean> {
  const { cluster } = trial;
  const unit = `slice/${ZONE}/0`;
  const { owner } = await trial.findOwner(unit);
  const hasLostSlice = (since: number) =>
    hasLostUnit(trial, { owner, unit, since });
  const linesAtStart = trial.logs.length;
  cluster.relay(`workers-${ZONE}`).dropBytes(Direction.ToTarget);
  await delay(UNDELIVERED_STARTS_MS);
  cluster.child(owner).signal("SIGSTOP");
  disconnectLinks(trial);
  restoreLinks(trial, (nodeId) => nodeId !== owner);
  trial.report("takeover after", await trial.waitForTakeover(owner));
  await delay(FENCING_MS);
  disconnectLinks(trial);
  await cluster.platform.setFaults({ down: true });
  const linesAtResume = trial.logs.length;
  cluster.child(owner).signal("SIGCONT");
  await delay(ISOLATION_MS);
  const isRefused = hasLostSlice(linesAtResume);
  await cluster.platform.setFaults({});
  restoreLinks(trial);
  await trial.waitFor(
    "the resumed owner to lose its slice",
    () => hasLostSlice(linesAtStart),
  );
  return isRefused;
}

/** Closes the links of all schedulers and refuses new ones. */
function disconnectLinks({ cluster }: Trial): void {
  for (const { nodeId } of cluster.schedulers) {
    cluster.relay(nodeId).disconnect();
  }
}

/** Accepts new links to the selected schedulers. */
function restoreLinks(
  { cluster }: Trial,
  isSelected = (_nodeId: string) => true,
): void {
  for (const { nodeId } of cluster.schedulers) {
    if (isSelected(nodeId)) {
      cluster.relay(nodeId).restore();
    }
  }
}

async function listUnits(trial: Trial, nodeId: string): Promise<string[]> {
  const owners = await trial.cluster.platform.owners();
  const units = owners.filter(({ owner }) => owner === nodeId)
    .map(({ unit }) => unit);
  expect(units).not.to.deep.equal([]);
  return units;
}

interface LostUnit {
  readonly owner: string;
  readonly unit: string;
  /** Index of the first log line to consider. */
  readonly since: number;
}

function hasLostUnit(trial: Trial, { owner, unit, since }: LostUnit): boolean {
  return trial.logs.slice(since).some(({ node, text }) =>
    node === owner && text.includes("Unit lost") && text.includes(unit)
  );
}

describe("Failures of owners", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, injectFailures } of CASES) {
    it(name, () => runTrial(injectFailures, { seed, relayed: true }));
  }
});
