import { setTimeout as delay } from "node:timers/promises";
import type { PlatformFaults } from "@mustardweir/demo";
import { Team } from "./fleet.ts";
import { CASE_TIMEOUT_MS, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Length of the longer outage, in milliseconds; 60000 for a whole minute. */
const OUTAGE_MS = Number(process.env["MUSTARDWEIR_OUTAGE_MS"] ?? 12_000);

/** Time of the faults before and after an outage, in milliseconds. */
const AROUND_MS = 1_200;

/** Part of the writes whose answer is lost before and after an outage. */
const LOST_ANSWERS = 0.3;

interface OutageCase {
  readonly name: string;
  readonly outage: PlatformFaults;
  readonly outageMs: number;
  readonly around: PlatformFaults;
  /** True: the owner of a home is killed while the platform is away. */
  readonly killsOwner?: boolean;
}

/**
 * Run one after the other on one cluster. The first comes before schedulers
 * vouch for the configuration, which they don't for 12 s after their start.
 */
const CASES: readonly OutageCase[] = [
  {
    name: "silent, writes late around it, an owner killed meanwhile",
    outage: { silent: true },
    outageMs: OUTAGE_MS / 2,
    around: { lateWrites: LOST_ANSWERS, lateMs: 1_500 },
    killsOwner: true,
  },
  {
    name: "down, answers lost before and after",
    outage: { down: true },
    outageMs: OUTAGE_MS,
    around: { loseAnswers: LOST_ANSWERS },
  },
];

async function interrupt(trial: Trial, test: OutageCase): Promise<void> {
  const { platform } = trial.cluster;
  const { owner } = await trial.ownerOf(`home/${Team.Models}`);
  await platform.setFaults(test.around);
  await delay(AROUND_MS);
  await platform.setFaults(test.outage);
  const before = countWork(trial);
  await delay(test.outageMs / 2);
  if (test.killsOwner) {
    await trial.cluster.child(owner).kill();
  }
  await delay(test.outageMs / 2);
  const after = countWork(trial);
  trial.note(
    `${test.name}: in ${test.outageMs / 1_000} s ${
      after.handedIn - before.handedIn
    } jobs handed in, ${after.ended - before.ended} ended`,
  );
  await platform.setFaults(test.around);
  await delay(AROUND_MS);
  await platform.setFaults({});
  trial.report("100 jobs after", await trial.waitForWork(100));
}

function countWork(trial: Trial): { handedIn: number; ended: number } {
  return { handedIn: trial.stories.length, ended: trial.ended };
}

describe("Outages of the platform under load", function () {
  this.timeout(CASE_TIMEOUT_MS + 2 * OUTAGE_MS);
  it("leave no work lost or doubled", () =>
    runTrial(async (trial) => {
      for (const test of CASES) {
        await interrupt(trial, test);
      }
    }, { seed: 41, extraMs: 2 * OUTAGE_MS }));
});
