import {
  addResources,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import type { Run } from "../history.ts";

/** An end within this time after a start counts as before it, in ms. */
const ROUNDING_MS = 0.001;

/** The start or end of a run. */
interface Change {
  readonly at: number;
  readonly run: Run;
  readonly isStart: boolean;
}

/**
 * Calls `visit` at each start of a run with the resources then in use,
 * including those of the run itself.
 */
export function sweep(
  runs: readonly Run[],
  visit: (run: Run, used: Resources) => void,
): void {
  const changes = runs.flatMap((run): Change[] => [
    { at: run.startedAt, run, isStart: true },
    { at: run.endedAt - ROUNDING_MS, run, isStart: false },
  ]);
  changes.sort((a, b) => a.at - b.at);
  let used = NO_RESOURCES;
  for (const { run, isStart } of changes) {
    used = isStart
      ? addResources(used, run.size)
      : subtractResources(used, run.size);
    if (isStart) {
      visit(run, used);
    }
  }
}

/** Groups runs by a key. */
export function groupRuns(
  runs: readonly Run[],
  keyOf: (run: Run) => string,
): Map<string, Run[]> {
  const groups = new Map<string, Run[]>();
  for (const run of runs) {
    const key = keyOf(run);
    const group = groups.get(key) ?? [];
    group.push(run);
    groups.set(key, group);
  }
  return groups;
}

/** Groups runs by task; the runs of each task are in order of start. */
export function runsOfTasks(runs: readonly Run[]): Map<string, Run[]> {
  const sorted = [...runs].sort((a, b) => a.startedAt - b.startedAt);
  return groupRuns(sorted, ({ jobId, taskIndex }) => `${jobId}#${taskIndex}`);
}

/** Returns whether `b`, which starts after `a`, starts before `a` ends. */
export function overlaps(a: Run, b: Run): boolean {
  return b.startedAt < a.endedAt - ROUNDING_MS;
}

/** Formats a run in one line, for violations. */
export function describeRun(run: Run): string {
  const ended = run.endedAt === Infinity ? "" : ` to ${run.endedAt.toFixed(1)}`;
  const { taskId, instanceId, startedAt, submission } = run;
  return `${taskId} of ${submission} on ${instanceId} from ${
    startedAt.toFixed(1)
  }${ended} (${run.reason ?? "running"})`;
}
