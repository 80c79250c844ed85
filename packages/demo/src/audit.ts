import {
  addResources,
  type Ceiling,
  dominantShare,
  EndReason,
  instanceCapacity,
  JobKind,
  JobState,
  NO_RESOURCES,
  Outcome,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import type { Fleet } from "./fleet_file.ts";
import type { MatchedRun } from "./runs.ts";
import type { SubmittedJob } from "./submitter.ts";

/** Faults that the audit found; each item describes one for the report. */
export interface Audit {
  /** Jobs that were refused, did not end, or were not completed. */
  readonly lost: readonly string[];
  /** Tasks with overlapping attempts, or with repeated non-idempotent work. */
  readonly duplicateRuns: readonly string[];
  /** Teams above their ceiling and instances above their capacity. */
  readonly overLimit: readonly string[];
  /** Jobs whose outcome was reported to the submitter as unknown. */
  readonly unknown: readonly string[];
}

/** Compares what was reported to submitters with what workers ran. */
export function audit(
  fleet: Fleet,
  stories: readonly SubmittedJob[],
  runs: readonly MatchedRun[],
): Audit {
  return {
    lost: stories.filter((submitted) => isLost(submitted, runs)).map(
      describeJob,
    ),
    duplicateRuns: findDuplicateRuns(runs),
    overLimit: [
      ...findOverCeiling(fleet, runs),
      ...findOverCapacity(fleet, runs),
    ],
    unknown: stories.filter(({ status }) => status?.outcome === Outcome.Unknown)
      .map(describeJob),
  };
}

function describeJob({ job, status, refusal, accepted }: SubmittedJob): string {
  const last = accepted
    ? `${status?.state} ${status?.outcome ?? ""} ${status?.explanation ?? ""}`
    : `refused: ${refusal}`;
  return `${job.idempotencyKey} (${last.trim()})`;
}

/**
 * Returns whether a job was refused, has not ended, has an outcome other than
 * done, or has a task without a completed run. Services only have to end, and
 * a job with an unknown outcome is not lost.
 */
function isLost(submitted: SubmittedJob, runs: readonly MatchedRun[]): boolean {
  const { status, job, accepted } = submitted;
  if (!accepted || status?.state !== JobState.Ended) {
    return true;
  }
  if (job.spec.kind === JobKind.Service || status.outcome === Outcome.Unknown) {
    return false;
  }
  const completed = new Set(
    runs.filter((run) =>
      run.submitted === submitted && run.reason === EndReason.Completed
    ).map(parseTaskIndex),
  );
  return status.outcome !== Outcome.Done || completed.size < job.spec.tasks;
}

function parseTaskIndex({ taskId }: MatchedRun): string {
  const attempt = taskId.slice(taskId.lastIndexOf("#") + 1);
  return attempt.slice(0, attempt.indexOf("."));
}

/** Finds overlapping attempts of a task and repeated non-idempotent work. */
function findDuplicateRuns(runs: readonly MatchedRun[]): string[] {
  const byTask = new Map<string, MatchedRun[]>();
  for (const run of runs) {
    const key = `${run.jobId}#${parseTaskIndex(run)}`;
    byTask.set(key, [...byTask.get(key) ?? [], run]);
  }
  return [...byTask].flatMap(([key, attempts]) =>
    hasDuplicateRuns(attempts) ? [`${key} ${describeAttempts(attempts)}`] : []
  );
}

function describeAttempts(attempts: readonly MatchedRun[]): string {
  const firstMs = attempts[0]?.startedMs ?? 0;
  return attempts.map((run) => {
    const from = Math.round(run.startedMs - firstMs);
    const to = Math.round(run.endedMs - firstMs);
    return `(${run.instanceId} ${from}-${to} ms ${run.reason ?? "running"})`;
  }).join(" ");
}

function hasDuplicateRuns(attempts: MatchedRun[]): boolean {
  attempts.sort((a, b) => a.startedMs - b.startedMs);
  const overlaps = attempts.some((run, index) =>
    index > 0 && run.startedMs < (attempts[index - 1]?.endedMs ?? 0)
  );
  const mayRepeat = attempts[0]?.submitted.job.spec.idempotent ?? true;
  return overlaps || (!mayRepeat && attempts.length > 1);
}

/** The start or end of a run. */
interface Change {
  readonly atMs: number;
  readonly size: Resources;
  readonly isStart: boolean;
}

/** Returns the peak use per dimension; at equal times, ends precede starts. */
function computePeakUse(runs: readonly MatchedRun[]): Resources {
  const changes = runs.flatMap((run): Change[] => [
    { atMs: run.startedMs, size: getTaskResources(run), isStart: true },
    { atMs: run.endedMs, size: getTaskResources(run), isStart: false },
  ]).sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart));
  let used = NO_RESOURCES;
  let peak = NO_RESOURCES;
  for (const { size, isStart } of changes) {
    used = isStart ? addResources(used, size) : subtractResources(used, size);
    peak = computeMaximum(peak, used);
  }
  return peak;
}

function computeMaximum(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
    slots: Math.max(a.slots, b.slots),
  };
}

/** Returns the resources that a run allocates on its instance. */
export function getTaskResources({ submitted }: MatchedRun): Resources {
  const { cpu, memoryMb, accelerators } = submitted.job.spec;
  return { cpuMillis: cpu * 1000, memoryMb, accelerators, slots: 1 };
}

function findOverCeiling(
  fleet: Fleet,
  runs: readonly MatchedRun[],
): string[] {
  return fleet.rules.teams.flatMap(({ name, ceiling }) => {
    const peak = computePeakUse(runs.filter(({ team }) => team === name));
    return exceedsCeiling(peak, ceiling) ? [`team ${name}`] : [];
  });
}

function exceedsCeiling(peak: Resources, ceiling: Ceiling): boolean {
  return peak.cpuMillis > (ceiling.cpu ?? Infinity) * 1000 ||
    peak.memoryMb > (ceiling.memoryMb ?? Infinity) ||
    peak.accelerators > (ceiling.accelerators ?? Infinity) ||
    peak.slots > (ceiling.tasks ?? Infinity);
}

function findOverCapacity(
  fleet: Fleet,
  runs: readonly MatchedRun[],
): string[] {
  return listInstances(fleet).flatMap(({ id, capacity }) => {
    const peak = computePeakUse(
      runs.filter(({ instanceId }) => instanceId === id),
    );
    const after = subtractResources(capacity, peak);
    const isOver = Object.values(after).some((left) => left < 0);
    return isOver ? [`instance ${id}`] : [];
  });
}

function listInstances(fleet: Fleet) {
  return fleet.inventory.availabilityZones
    .flatMap((zone) => zone.racks)
    .flatMap((rack) => rack.instances)
    .map((spec) => ({ id: spec.id, capacity: instanceCapacity(spec) }));
}

/** A team's use of the fleet during the load. */
export interface TeamShare {
  readonly team: string;
  /** Time average of the dominant share, from 0 to 1. */
  readonly share: number;
  /** The team's share over the sum of all shares, from 0 to 1. */
  readonly entitlement: number;
}

/** A span of time; bounds are Unix time in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Returns each team's average dominant share and its entitlement. */
export function computeTeamShares(
  fleet: Fleet,
  runs: readonly MatchedRun[],
  span: TimeSpan,
): TeamShare[] {
  const total = listInstances(fleet).map(({ capacity }) => capacity)
    .reduce(addResources, NO_RESOURCES);
  const weights = fleet.rules.teams.reduce((sum, { share }) => sum + share, 0);
  return fleet.rules.teams.map(({ name, share }) => ({
    team: name,
    share: dominantShare(
      computeAverageUse(runs.filter(({ team }) => team === name), span),
      total,
    ),
    entitlement: share / weights,
  }));
}

/**
 * Returns the average use of the instances that ran any task, in the dominant
 * dimension, from 0 to 1.
 */
export function computePacking(
  fleet: Fleet,
  runs: readonly MatchedRun[],
  span: TimeSpan,
): number {
  const busy = new Set(runs.map(({ instanceId }) => instanceId));
  const total = listInstances(fleet).filter(({ id }) => busy.has(id))
    .map(({ capacity }) => capacity).reduce(addResources, NO_RESOURCES);
  return dominantShare(computeAverageUse(runs, span), total);
}

function computeAverageUse(
  runs: readonly MatchedRun[],
  span: TimeSpan,
): Resources {
  const length = Math.max(span.toMs - span.fromMs, 1);
  return runs.reduce((sum, run) => {
    const from = Math.max(run.startedMs, span.fromMs);
    const to = Math.min(run.endedMs, span.toMs);
    const part = Math.max(to - from, 0) / length;
    const size = getTaskResources(run);
    return addResources(sum, {
      cpuMillis: size.cpuMillis * part,
      memoryMb: size.memoryMb * part,
      accelerators: size.accelerators * part,
      slots: size.slots * part,
    });
  }, NO_RESOURCES);
}
