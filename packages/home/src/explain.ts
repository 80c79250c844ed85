import type { Update } from "@mustardweir/kernel";
import { findRule, isBelowCeiling } from "./ceiling.ts";
import { canHold, isZoneOpen, outlineSlices } from "./fleet_view.ts";
import { type Home, type HomeJob, HomePhase, TaskState } from "./home_state.ts";
import { findCeilingObstacle } from "./obstacle.ts";

/**
 * Says what the job waits for, or that its end waits for its record; undefined
 * when it waits for nothing.
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
  const outlines = outlineSlices(update).filter((o) => canHold(o, job.size));
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
  const obstacle = findCeilingObstacle(job, rule.ceiling);
  if (obstacle !== undefined) {
    return obstacle;
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
  } to tell what they run`;
}
