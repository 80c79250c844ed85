import { Direction } from "@mustardweir/demo";
import { expect } from "chai";
import { Team } from "./fleet.ts";
import { makeRequest } from "./load.ts";
import { CASE_TIMEOUT_MS, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

interface LinkCase {
  readonly name: string;
  readonly direction: Direction;
  /** Returns the process whose open connections drop traffic. */
  readonly target: (trial: Trial) => Promise<string>;
}

const { ToTarget, FromTarget } = Direction;

/** The cases run one after another on one cluster. */
const CASES: readonly LinkCase[] = [
  { name: "calls to an owner", direction: ToTarget, target: findOwnerOfOrders },
  {
    name: "an owner's answers",
    direction: FromTarget,
    target: findOwnerOfOrders,
  },
  { name: "calls to workers", direction: ToTarget, target: findWorkersOfZone },
  {
    name: "workers' answers",
    direction: FromTarget,
    target: findWorkersOfZone,
  },
];

async function findOwnerOfOrders(trial: Trial): Promise<string> {
  return (await trial.findOwner(`home/${Team.Orders}`)).owner;
}

function findWorkersOfZone(): Promise<string> {
  return Promise.resolve("workers-zone-a");
}

/**
 * Drops all further traffic in one direction on the open connections of a
 * process, and checks that new work still ends.
 */
async function dropTraffic(
  trial: Trial,
  { name, direction, target }: LinkCase,
): Promise<void> {
  const relay = trial.cluster.relay(await target(trial));
  expect(relay.dropBytes(direction), name).to.be.greaterThan(0);
  const from = performance.now();
  await trial.load.add(makeRequest({ name, runMs: 50 }));
  trial.report(`${name} dropped: a new request`, performance.now() - from);
  trial.report(`${name} dropped: 40 jobs`, await trial.waitForEndedJobs(40));
}

describe("Connections that drop one direction while new ones work", function () {
  this.timeout(CASE_TIMEOUT_MS);
  it("between entries, schedulers and workers", () =>
    runTrial(async (trial) => {
      for (const test of CASES) {
        await dropTraffic(trial, test);
      }
    }, { seed: 31, relayed: true }));
});
