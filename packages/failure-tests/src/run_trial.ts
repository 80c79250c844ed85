import { existsSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { Binary, scriptOf } from "@mustardweir/demo";
import { Trial, type TrialOptions } from "./trial.ts";
import type { Verdict } from "./verdict.ts";

/** Longest time of one case with its cluster, in milliseconds. */
export const CASE_TIMEOUT_MS = 180_000;

/** A case that waits longer is given up before, and cleaned up. */
const TRIAL_LIMIT_MS = CASE_TIMEOUT_MS - 30_000;

/** What a case does to a cluster under load. */
export type Disturbance = (trial: Trial) => Promise<void>;

/**
 * Runs one disturbance on a cluster of its own under load, then waits until
 * all work has ended and rejects when any of it was lost, doubled, over a
 * limit, or told untruly.
 *
 * @example
 * ```ts
 * await runTrial(async (trial) => {
 *   await trial.cluster.child("scheduler-1").kill();
 * });
 * ```
 */
export async function runTrial(
  disturb: Disturbance,
  options: TrialOptions = {},
): Promise<void> {
  requireBinaries();
  const trial = new Trial(options);
  const limit = new AbortController();
  try {
    await trial.start();
    await Promise.race([
      disturbAndJudge(trial, disturb),
      expire(TRIAL_LIMIT_MS + (options.extraMs ?? 0), limit),
    ]);
  } catch (cause) {
    trial.noteUnfinished();
    throw cause;
  } finally {
    limit.abort();
    await trial.close();
  }
}

async function disturbAndJudge(
  trial: Trial,
  disturb: Disturbance,
): Promise<void> {
  await disturb(trial);
  requireClean(await trial.finish());
}

/** Rejects when a case waits for what never comes, so that it is cleaned up. */
async function expire(
  limitMs: number,
  { signal }: AbortController,
): Promise<void> {
  await delay(limitMs, undefined, { signal });
  throw new Error(`The case has not ended in ${limitMs} ms`);
}

function requireBinaries(): void {
  for (const binary of Object.values(Binary)) {
    const main = scriptOf(binary).replace(/bin\/[^/]*$/, "dist/main.js");
    if (!existsSync(main)) {
      throw new Error(`${main} is missing: run npm run build first`);
    }
  }
}

function requireClean(verdict: Verdict): void {
  const faults = Object.entries(verdict).flatMap(([kind, names]) =>
    (names as readonly string[]).map((name) => `${kind}: ${name}`)
  );
  if (faults.length > 0) {
    const some = faults.slice(0, 20).join("\n");
    throw new Error(`${faults.length} faults\n${some}`);
  }
}
