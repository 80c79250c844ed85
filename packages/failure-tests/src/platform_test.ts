import { setTimeout as delay } from "node:timers/promises";
import type { PlatformFaults } from "@mustardweir/demo";
import { Team } from "./fleet.ts";
import { CASE_TIMEOUT_MS, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Duration of the longer outage, in milliseconds; e.g. 60000 for a minute. */
const OUTAGE_MS = Number(process.env["MUSTARDWEIR_OUTAGE_MS"] ?? 12_000);

/** Duration of the faults before and after an outage, in milliseconds. */
const SURROUNDING_FAULTS_MS = 1_200;

/** Fraction of writes that faults affect before and after an outage. */
const FAULTY_WRITE_FRACTION = 0.3;

interface OutageCase {
  readonly name: string;
  readonly outage: PlatformFaults;
  readonly outageMs: number;
  readonly surroundingFaults: PlatformFaults;
  /** Whether the owner of a home is killed during the outage. */
  readonly killsOwner?: boolean;
}

/**
 * The cases run one after another on one cluster. The first begins before
 * any scheduler vouches for the configuration: none does so within 12 s of its
 * start.
 */
const CASES: readonly OutageCase[] = [
  {
    name: "unresponsive, late writes before and after, an owner killed",
    outage: { silent: true },
    outageMs: OUTAGE_MS / 2,
    surroundingFaults: { lateWrites: FAULTY_WRITE_FRACTION, lateMs: 1_500 },
    killsOwner: true,
  },
  {
    name: "down, replies lost before and after",
    outage: { down: true },
    outageMs: OUTAGE_MS,
    surroundingFaults: { loseAnswers: FAULTY_WRITE_FRACTION },
  },
];

async function runOutage(trial: Trial, test: OutageCase): Promise<void> {
  const { platform } = trial.cluster;
  const { owner } = await trial.findOwner(`home/${Team.Models}`);
  await platform.setFaults(test.surroundingFaults);
  await delay(SURROUNDING_FAULTS_MS);
  await platform.setFaults(test.outage);
  const before = countJobs(trial);
  await delay(test.outageMs / 2);
  if (test.killsOwner) {
    await trial.cluster.child(owner).kill();
  }
  await delay(test.outageMs / 2);
  const after = countJobs(trial);
  trial.print(
    `${test.name}: in ${test.outageMs / 1_000} s ${
      after.submitted - before.submitted
    } jobs submitted, ${after.ended - before.ended} ended`,
  );
  await platform.setFaults(test.surroundingFaults);
  await delay(SURROUNDING_FAULTS_MS);
  await platform.setFaults({});
  trial.report("100 jobs after", await trial.waitForEndedJobs(100));
}

function countJobs(trial: Trial): { submitted: number; ended: number } {
  return { submitted: trial.stories.length, ended: trial.ended };
}

describe("Outages of the platform under load", function () {
  this.timeout(CASE_TIMEOUT_MS + 2 * OUTAGE_MS);
  it("lose no work and run none twice", () =>
    runTrial(async (trial) => {
      for (const test of CASES) {
        await runOutage(trial, test);
      }
    }, { seed: 41, extraMs: 2 * OUTAGE_MS }));
});
