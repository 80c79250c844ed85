import { setTimeout as delay } from "node:timers/promises";
import { Operator, OPERATOR_KEY, Submitter } from "@mustardweir/demo";
import { expect } from "chai";
import type { Caller } from "./caller.ts";
import { Team } from "./fleet.ts";
import { makeRequest } from "./load.ts";
import { statusOfKey, versionAt } from "./entry_probe.ts";
import { CASE_TIMEOUT_MS, type Disturbance, runTrial } from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Edits that each of two operators gets accepted. */
const EDITS_EACH = 10;

/** Part of the table's writes whose answer is lost during the edits. */
const LOST_ANSWERS = 0.2;

/** Calls with a withdrawn key that every entry must refuse in a row. */
const REFUSALS_IN_A_ROW = 20;

const OK = 200;
const UNAUTHORIZED = 401;
const PRECONDITION_FAILED = 412;

interface EditCase {
  readonly name: string;
  readonly seed: number;
  readonly disturb: Disturbance;
}

const CASES: readonly EditCase[] = [
  {
    name: "two operators edit at once, then a key is withdrawn",
    seed: 61,
    disturb: async (trial) => {
      await raceEdits(trial);
      await withdrawKey(trial);
    },
  },
];

/** An edit that was accepted. */
interface Accepted {
  readonly keyId: string;
  readonly version: number;
}

async function raceEdits(trial: Trial): Promise<void> {
  const [first, second] = trial.callers;
  const watch = new VersionWatch(trial.callers);
  await trial.cluster.platform.setFaults({ loseAnswers: LOST_ANSWERS });
  const accepted = (await Promise.all([
    editAgainAndAgain(first!, "left"),
    editAgainAndAgain(second!, "right"),
  ])).flat();
  await trial.cluster.platform.setFaults({});
  const versions = accepted.map(({ version }) => version);
  expect(new Set(versions).size, "versions given").to.equal(versions.length);
  const newest = Math.max(...versions);
  const inForce = await trial.waitFor("the last edit in force", async () => {
    const seen = await Promise.all(trial.callers.map(versionAt));
    return seen.every((version) => version >= newest);
  });
  trial.report("the last edit in force everywhere after", inForce);
  await expectStale(trial, newest - 1);
  await Promise.all(
    trial.callers.map((caller) => expectKeys(caller, accepted)),
  );
  expect(await watch.stop(), "versions that went back").to.deep.equal([]);
}

/** Grants keys one after the other, each against the version last seen. */
async function editAgainAndAgain(
  caller: Caller,
  name: string,
): Promise<Accepted[]> {
  const accepted: Accepted[] = [];
  for (let tries = 0; accepted.length < EDITS_EACH; tries++) {
    const keyId = `${name}-${tries}`;
    const answer = await grant(caller, keyId, await versionAt(caller));
    if (answer.status === OK) {
      accepted.push({ keyId, version: answer.body.version });
    }
  }
  return accepted;
}

function grant(caller: Caller, id: string, version: number) {
  return caller.call<{ version: number }>({
    method: "POST",
    path: "/v1/config/keys",
    key: OPERATOR_KEY,
    body: { id, role: "submitter", team: Team.Alerts },
    headers: { "if-match": `"${version}"` },
  });
}

/** An edit against a version that was replaced is refused everywhere. */
async function expectStale(trial: Trial, version: number): Promise<void> {
  for (const caller of trial.callers) {
    const answer = await grant(caller, "stale", version);
    expect(answer.status, caller.nodeId).to.equal(PRECONDITION_FAILED);
  }
}

/** Nothing that was accepted has gone. */
async function expectKeys(
  caller: Caller,
  accepted: readonly Accepted[],
): Promise<void> {
  const { body } = await caller.call<{ keys: { id: string }[] }>({
    method: "GET",
    path: "/v1/config",
    key: OPERATOR_KEY,
  });
  const ids = body.keys.map(({ id }) => id);
  expect(ids).to.include.members(accepted.map(({ keyId }) => keyId));
}

/** Looks whether an entry's version ever goes back. */
class VersionWatch {
  readonly #work: Promise<string[]>[];
  #isOver = false;

  constructor(callers: readonly Caller[]) {
    this.#work = callers.map((caller) => this.#follow(caller));
  }

  /** Resolves to the steps back that were seen. */
  async stop(): Promise<string[]> {
    this.#isOver = true;
    return (await Promise.all(this.#work)).flat();
  }

  async #follow(caller: Caller): Promise<string[]> {
    const back: string[] = [];
    for (let newest = 0; !this.#isOver;) {
      const version = await versionAt(caller);
      if (version > 0 && version < newest) {
        back.push(`${caller.nodeId} from ${newest} to ${version}`);
      }
      newest = Math.max(newest, version);
      await delay(20);
    }
    return back;
  }
}

async function withdrawKey(trial: Trial): Promise<void> {
  const operator = new Operator(trial.callers[0]!);
  const key = await operator.grantKey(Team.Orders, "short-lived");
  await trial.waitFor("the key in force", async () => {
    const all = trial.callers.map((caller) => statusOfKey(caller, key));
    return (await Promise.all(all)).every((status) => status === OK);
  });
  const uses = trial.callers.map((caller) =>
    useUntilRefused(trial, caller, key)
  );
  await operator.withdrawKey("short-lived");
  const from = performance.now();
  const lastUses = await Promise.all(uses);
  const last = Math.max(...lastUses) - from;
  trial.report("a withdrawn key accepted for the last time after", last);
  const statuses = await Promise.all(
    trial.callers.map((caller) => statusOfKey(caller, key)),
  );
  expect(statuses).to.deep.equal(trial.callers.map(() => UNAUTHORIZED));
}

/** Hands in requests until they are refused; returns the last acceptance. */
async function useUntilRefused(
  trial: Trial,
  caller: Caller,
  key: string,
): Promise<number> {
  const submitter = trial.submitterAt(
    caller,
    new Map([[Team.Orders, key]]),
  );
  let lastAccepted = performance.now();
  let refusals = 0;
  for (let index = 0; refusals < REFUSALS_IN_A_ROW; index++) {
    const sentAt = performance.now();
    const isAccepted = await useKey(submitter, `${caller.nodeId}-${index}`);
    lastAccepted = isAccepted ? sentAt : lastAccepted;
    refusals = isAccepted ? 0 : refusals + 1;
  }
  return lastAccepted;
}

async function useKey(submitter: Submitter, name: string): Promise<boolean> {
  const job = makeRequest({ name, runMs: 10 });
  await submitter.run({ ...job, takesRefusal: true });
  return submitter.stories.at(-1)?.accepted ?? false;
}

describe("Edits of the configuration under load", function () {
  this.timeout(CASE_TIMEOUT_MS);
  for (const { name, seed, disturb } of CASES) {
    it(name, () => runTrial(disturb, { seed }));
  }
});
