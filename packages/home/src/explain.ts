import type { Update } from "@mustardweir/kernel";
import { findRule, isBelowCeiling } from "./ceiling.ts";
import { fitsOnInstance, isZoneOpen, outlineSlices } from "./fleet_view.ts";
import { type Home, type HomeJob, HomePhase, TaskState } from "./home_state.ts";
import { findCeilingInfeasibility } from "./ceiling_feasibility.ts";

/**
 * Returns what the job waits for, or that its end is being recorded; undefined
 * if it waits for nothing.
 */
export function explainWait(
  update: Update,
  home: Home,
  job: HomeJob,
): string | undefined {
  const waits = job.tasks.some(({ state }) =>
    state !== TaskState.Started && state !== TaskState.Ended
  );
  if (!waits) {
    const isEnding = job.outcome !== undefined && !job.endRecorded;
    return isEnding ? "Its end is being recorded" : undefined;
  }
  if (!job.accepted) {
    return "The acceptance is being recorded";
  }
  if (home.phase !== HomePhase.Active) {
    return describeRecovery(home);
  }
  const outlines = outlineSlices(update).filter((o) =>
    fitsOnInstance(o, job.size)
  );
  if (outlines.length === 0) {
    return "It can never run: no instance of the fleet is large enough";
  }
  if (!outlines.some((outline) => isZoneOpen(update, outline))) {
    return "Every availability zone that could run it is draining";
  }
  const rule = findRule(update, home.team);
  if (rule === undefined) {
    return "The rules name the team no longer";
  }
  const infeasibility = findCeilingInfeasibility(job, rule.ceiling);
  if (infeasibility !== undefined) {
    return infeasibility;
  }
  if (!isBelowCeiling(home, job.size, rule.ceiling)) {
    return "The team is at its ceiling";
  }
  return "No instance has enough free room at the moment";
}

function describeRecovery(home: Home): string {
  const silent = [...home.slices.values()]
    .filter((view) => !view.complete)
    .map((view) => view.sliceId);
  return `The home has changed hands and waits for slices ${
    silent.join(", ")
  } to report what they run`;
}
