import { setTimeout as delay } from "node:timers/promises";
import { Operator, OPERATOR_KEY, Submitter } from "@mustardweir/demo";
import { expect } from "chai";
import type { Caller } from "./caller.ts";
import { Team } from "./fleet.ts";
import { makeRequest } from "./load.ts";
import { fetchStatusWithKey, fetchVersion } from "./entry_probe.ts";
import {
  CASE_TIMEOUT_MS,
  type FailureInjection,
  runTrial,
} from "./run_trial.ts";
import type { Trial } from "./trial.ts";

/** Number of accepted edits after which each of two operators stops. */
const EDITS_PER_OPERATOR = 10;

/** Fraction of the table's writes whose reply is lost during the edits. */
const LOST_ANSWER_FRACTION = 0.2;

/** Refusals in a row after which a key counts as withdrawn at an entry. */
const CONSECUTIVE_REFUSALS = 20;

const OK = 200;
const UNAUTHORIZED = 401;
const PRECONDITION_FAILED = 412;

interface EditCase {
  readonly name: string;
  readonly seed: number;
  readonly injectFailures: FailureInjection;
}

const CASES: readonly EditCase[] = [
  {
    name: "two operators edit concurrently, then a key is withdrawn",
    seed: 61,
    injectFailures: async (trial) => {
      await raceEdits(trial);
      await withdrawKey(trial);
    },
  },
];

/** An edit that was accepted. */
interface AcceptedEdit {
  readonly keyId: string;
  readonly version: number;
}

async function raceEdits(trial: Trial): Promise<void> {
  const [first, second] = trial.callers;
  const monitor = new VersionMonitor(trial.callers);
  await trial.cluster.platform.setFaults({ loseAnswers: LOST_ANSWER_FRACTION });
  const accepted = (await Promise.all([
    grantKeysRepeatedly(first!, "left"),
    grantKeysRepeatedly(second!, "right"),
  ])).flat();
  await trial.cluster.platform.setFaults({});
  const versions = accepted.map(({ version }) => version);
  expect(new Set(versions).size, "distinct versions of accepted edits").to
    .equal(versions.length);
  const newest = Math.max(...versions);
  const inEffectMs = await trial.waitFor(
    "the last edit in effect",
    async () => {
      const seen = await Promise.all(trial.callers.map(fetchVersion));
      return seen.every((version) => version >= newest);
    },
  );
  trial.report("the last edit in effect at all entries after", inEffectMs);
  await expectStaleEditRefused(trial, newest - 1);
  await Promise.all(
    trial.callers.map((caller) => expectKeysPresent(caller, accepted)),
  );
  expect(await monitor.stop(), "regressions of the version").to.deep.equal([]);
}

/** Grants keys one after another, each edit based on the entry's version. */
async function grantKeysRepeatedly(
  caller: Caller,
  name: string,
): Promise<AcceptedEdit[]> {
  const accepted: AcceptedEdit[] = [];
  for (let tries = 0; accepted.length < EDITS_PER_OPERATOR; tries++) {
    const keyId = `${name}-${tries}`;
    const answer = await grant(caller, keyId, await fetchVersion(caller));
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

/** Expects every entry to refuse an edit based on a replaced version. */
async function expectStaleEditRefused(
  trial: Trial,
  version: number,
): Promise<void> {
  for (const caller of trial.callers) {
    const answer = await grant(caller, "stale", version);
    expect(answer.status, caller.nodeId).to.equal(PRECONDITION_FAILED);
  }
}

/** Expects all accepted edits in the entry's configuration. */
async function expectKeysPresent(
  caller: Caller,
  accepted: readonly AcceptedEdit[],
): Promise<void> {
  const { body } = await caller.call<{ keys: { id: string }[] }>({
    method: "GET",
    path: "/v1/config",
    key: OPERATOR_KEY,
  });
  const ids = body.keys.map(({ id }) => id);
  expect(ids).to.include.members(accepted.map(({ keyId }) => keyId));
}

/** Polls the version of each entry and records every decrease. */
class VersionMonitor {
  readonly #polls: Promise<string[]>[];
  #isStopped = false;

  constructor(callers: readonly Caller[]) {
    this.#polls = callers.map((caller) => this.#poll(caller));
  }

  /** Stops polling; resolves to the decreases seen. */
  async stop(): Promise<string[]> {
    this.#isStopped = true;
    return (await Promise.all(this.#polls)).flat();
  }

  async #poll(caller: Caller): Promise<string[]> {
    const regressions: string[] = [];
    for (let newest = 0; !this.#isStopped;) {
      const version = await fetchVersion(caller);
      if (version > 0 && version < newest) {
        regressions.push(`${caller.nodeId} from ${newest} to ${version}`);
      }
      newest = Math.max(newest, version);
      await delay(20);
    }
    return regressions;
  }
}

async function withdrawKey(trial: Trial): Promise<void> {
  const operator = new Operator(trial.callers[0]!);
  const key = await operator.grantKey(Team.Orders, "short-lived");
  await trial.waitFor("the key in effect", async () => {
    const all = trial.callers.map((caller) => fetchStatusWithKey(caller, key));
    return (await Promise.all(all)).every((status) => status === OK);
  });
  const uses = trial.callers.map((caller) =>
    useUntilRefused(trial, caller, key)
  );
  await operator.withdrawKey("short-lived");
  const from = performance.now();
  const lastUses = await Promise.all(uses);
  const last = Math.max(...lastUses) - from;
  trial.report("a withdrawn key was last accepted after", last);
  const statuses = await Promise.all(
    trial.callers.map((caller) => fetchStatusWithKey(caller, key)),
  );
  expect(statuses).to.deep.equal(trial.callers.map(() => UNAUTHORIZED));
}

/**
 * Submits requests until {@link CONSECUTIVE_REFUSALS} are refused; returns the
 * time at which the last accepted one was sent.
 */
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
  for (let index = 0; refusals < CONSECUTIVE_REFUSALS; index++) {
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
  for (const { name, seed, injectFailures } of CASES) {
    it(name, () => runTrial(injectFailures, { seed }));
  }
});
