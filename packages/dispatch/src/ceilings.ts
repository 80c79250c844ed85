import type { Update } from "@mustardweir/kernel";
import {
  addResources,
  type FleetTeam,
  NO_RESOURCES,
  type Resources,
} from "@mustardweir/model";
import {
  DISPATCH_STATE,
  type StageRun,
  type TaskRun,
} from "./dispatch_state.ts";

/**
 * Returns the leading part of the waiting tasks that fits within the team's
 * ceiling.
 */
export function withinCeiling(
  update: Update,
  { stage, waiting, team, unseenOf }: {
    readonly stage: StageRun;
    readonly waiting: readonly TaskRun[];
    readonly team: FleetTeam | undefined;
    /** Returns the most that a team may use beside what is known. */
    readonly unseenOf: (team: string) => Resources;
  },
): readonly TaskRun[] {
  if (team === undefined || !hasCeiling(team)) {
    return waiting;
  }
  const used = update.read(DISPATCH_STATE).used.get(team.name) ?? NO_RESOURCES;
  let sum = addResources(used, unseenOf(team.name));
  for (let index = 0; index < waiting.length; index++) {
    sum = addResources(sum, stage.spec.size);
    if (exceeds(sum, team.ceiling)) {
      return waiting.slice(0, index);
    }
  }
  return waiting;
}

function hasCeiling({ ceiling }: FleetTeam): boolean {
  return ceiling.cpuMillis > 0 || ceiling.memoryMb > 0 ||
    ceiling.accelerators > 0;
}

function exceeds(used: Resources, ceiling: Resources): boolean {
  return isOver(used.cpuMillis, ceiling.cpuMillis) ||
    isOver(used.memoryMb, ceiling.memoryMb) ||
    isOver(used.accelerators, ceiling.accelerators);
}

function isOver(used: number, ceiling: number): boolean {
  return ceiling > 0 && used > ceiling;
}
