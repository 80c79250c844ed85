import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  NO_RESOURCES,
  subtractResources,
} from "@mustardweir/model";
import { REPLICA } from "@mustardweir/replica";
import { attemptKey, type PlacedAttempt } from "@mustardweir/sessions";
import { DISPATCH_STATE, parseTaskName } from "./dispatch_state.ts";

/**
 * Counts an attempt that was found and is being stopped as used by its team until
 * it has ended. A job that isn't known any more tells no team.
 */
export function addUnwantedAttempt(
  update: Update,
  placed: PlacedAttempt,
): void {
  const { jobId, stage } = parseTaskName(placed.task) ??
    { jobId: "", stage: 0 };
  const record = update.read(REPLICA).jobs.get(jobId)?.record;
  const size = record?.spec.stages[stage]?.size;
  const { unwanted, used } = update.write(DISPATCH_STATE);
  const key = keyOf(placed);
  if (record === undefined || size === undefined || unwanted.has(key)) {
    return;
  }
  const { team } = record;
  unwanted.set(key, { team, size });
  used.set(team, addResources(used.get(team) ?? NO_RESOURCES, size));
}

/** Frees what an unwanted attempt used, as it no longer runs. */
export function removeUnwantedAttempt(
  update: Update,
  placed: PlacedAttempt,
): void {
  const state = update.write(DISPATCH_STATE);
  const { unwanted, used } = state;
  const key = keyOf(placed);
  const attempt = unwanted.get(key);
  if (attempt !== undefined) {
    const { team, size } = attempt;
    unwanted.delete(key);
    state.isDirty = true;
    used.set(team, subtractResources(used.get(team) ?? NO_RESOURCES, size));
  }
}

function keyOf({ workerId, ...name }: PlacedAttempt): string {
  return `${workerId} ${attemptKey(name)}`;
}
