import { existsSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { Binary, scriptOf } from "@mustardweir/demo";
import { Trial, type TrialOptions } from "./trial.ts";
import type { Verdict } from "./verdict.ts";

/** Timeout of one test case, its cluster included, in milliseconds. */
export const CASE_TIMEOUT_MS = 180_000;

/** Timeout of a trial; it leaves 30 s of the case's for the clean-up. */
const TRIAL_TIMEOUT_MS = CASE_TIMEOUT_MS - 30_000;

/** Injects the failures of a case into a cluster under load. */
export type FailureInjection = (trial: Trial) => Promise<void>;

/**
 * Injects failures into a new cluster under load and waits until all work has
 * ended. Rejects if work was lost, ran more than once, exceeded a limit or was
 * reported wrongly to its submitter.
 *
 * @example
 * ```ts
 * await runTrial(async (trial) => {
 *   await trial.cluster.child("scheduler-1").kill();
 * });
 * ```
 */
export async function runTrial(
  injectFailures: FailureInjection,
  options: TrialOptions = {},
): Promise<void> {
  requireBinaries();
  const trial = new Trial(options);
  const limit = new AbortController();
  try {
    await trial.start();
    await Promise.race([
      runAndVerify(trial, injectFailures),
      rejectAfter(TRIAL_TIMEOUT_MS + (options.extraMs ?? 0), limit),
    ]);
  } catch (cause) {
    trial.printUnfinishedJobs();
    throw cause;
  } finally {
    limit.abort();
    await trial.close();
  }
}

async function runAndVerify(
  trial: Trial,
  injectFailures: FailureInjection,
): Promise<void> {
  await injectFailures(trial);
  requireNoViolations(await trial.finish());
}

/** Rejects after `limitMs`, so that a case that hangs is cleaned up. */
async function rejectAfter(
  limitMs: number,
  { signal }: AbortController,
): Promise<void> {
  await delay(limitMs, undefined, { signal });
  throw new Error(`The case did not end within ${limitMs} ms`);
}

function requireBinaries(): void {
  for (const binary of Object.values(Binary)) {
    const main = scriptOf(binary).replace(/bin\/[^/]*$/, "dist/main.js");
    if (!existsSync(main)) {
      throw new Error(`${main} is missing: run npm run build first`);
    }
  }
}

function requireNoViolations(verdict: Verdict): void {
  const faults = Object.entries(verdict).flatMap(([kind, names]) =>
    (names as readonly string[]).map((name) => `${kind}: ${name}`)
  );
  if (faults.length > 0) {
    const some = faults.slice(0, 20).join("\n");
    throw new Error(`${faults.length} violations\n${some}`);
  }
}
