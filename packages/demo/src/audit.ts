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
import type { JobStory } from "./submitter.ts";

/** What the demo looks for in the end. */
export interface Audit {
  readonly lost: readonly string[];
  readonly doubled: readonly string[];
  readonly overLimit: readonly string[];
  /** Jobs of which the submitter was told that their fate is unknown. */
  readonly unknown: readonly string[];
}

/** Compares what submitters were told with what workers ran. */
export function audit(
  fleet: Fleet,
  stories: readonly JobStory[],
  runs: readonly MatchedRun[],
): Audit {
  return {
    lost: stories.filter((story) => isLost(story, runs)).map(nameOf),
    doubled: findDoubled(runs),
    overLimit: [
      ...findOverCeiling(fleet, runs),
      ...findOverCapacity(fleet, runs),
    ],
    unknown: stories.filter(({ status }) => status?.outcome === Outcome.Unknown)
      .map(nameOf),
  };
}

function nameOf({ job, status, refusal, accepted }: JobStory): string {
  const last = accepted
    ? `${status?.state} ${status?.outcome ?? ""} ${status?.explanation ?? ""}`
    : `refused: ${refusal}`;
  return `${job.idempotencyKey} (${last.trim()})`;
}

/** Not ended, or told to be done though no worker has run it all. */
function isLost(story: JobStory, runs: readonly MatchedRun[]): boolean {
  const { status, job, accepted } = story;
  if (!accepted || status?.state !== JobState.Ended) {
    return true;
  }
  if (job.spec.kind === JobKind.Service || status.outcome === Outcome.Unknown) {
    return false;
  }
  const completed = new Set(
    runs.filter((run) =>
      run.story === story && run.reason === EndReason.Completed
    ).map(taskIndex),
  );
  return status.outcome !== Outcome.Done || completed.size < job.spec.tasks;
}

function taskIndex({ taskId }: MatchedRun): string {
  const attempt = taskId.slice(taskId.lastIndexOf("#") + 1);
  return attempt.slice(0, attempt.indexOf("."));
}

/** Attempts of one task that overlap, or repeats of work that runs once. */
function findDoubled(runs: readonly MatchedRun[]): string[] {
  const byTask = new Map<string, MatchedRun[]>();
  for (const run of runs) {
    const key = `${run.jobId}#${taskIndex(run)}`;
    byTask.set(key, [...byTask.get(key) ?? [], run]);
  }
  return [...byTask].flatMap(([key, attempts]) =>
    isDoubled(attempts) ? [`${key} ${describeAttempts(attempts)}`] : []
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

function isDoubled(attempts: MatchedRun[]): boolean {
  attempts.sort((a, b) => a.startedMs - b.startedMs);
  const overlaps = attempts.some((run, index) =>
    index > 0 && run.startedMs < (attempts[index - 1]?.endedMs ?? 0)
  );
  const mayRepeat = attempts[0]?.story.job.spec.idempotent ?? true;
  return overlaps || (!mayRepeat && attempts.length > 1);
}

/** A start or an end, in the order in which they happened. */
interface Change {
  readonly atMs: number;
  readonly size: Resources;
  readonly isStart: boolean;
}

/** Highest use at any time, by dimension; ends go before starts. */
function peakUse(runs: readonly MatchedRun[]): Resources {
  const changes = runs.flatMap((run): Change[] => [
    { atMs: run.startedMs, size: sizeOf(run), isStart: true },
    { atMs: run.endedMs, size: sizeOf(run), isStart: false },
  ]).sort((a, b) => a.atMs - b.atMs || Number(a.isStart) - Number(b.isStart));
  let used = NO_RESOURCES;
  let peak = NO_RESOURCES;
  for (const { size, isStart } of changes) {
    used = isStart ? addResources(used, size) : subtractResources(used, size);
    peak = largerOf(peak, used);
  }
  return peak;
}

function largerOf(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
    slots: Math.max(a.slots, b.slots),
  };
}

/** What a run takes from its instance. */
export function sizeOf({ story }: MatchedRun): Resources {
  const { cpu, memoryMb, accelerators } = story.job.spec;
  return { cpuMillis: cpu * 1000, memoryMb, accelerators, slots: 1 };
}

function findOverCeiling(
  fleet: Fleet,
  runs: readonly MatchedRun[],
): string[] {
  return fleet.rules.teams.flatMap(({ name, ceiling }) => {
    const peak = peakUse(runs.filter(({ team }) => team === name));
    return exceeds(peak, ceiling) ? [`team ${name}`] : [];
  });
}

function exceeds(peak: Resources, ceiling: Ceiling): boolean {
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
    const peak = peakUse(runs.filter(({ instanceId }) => instanceId === id));
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

/** A team's part of the fleet over the time of the load. */
export interface TeamPart {
  readonly team: string;
  /** Time average of the dominant share, from 0 to 1. */
  readonly share: number;
  readonly entitlement: number;
}

/** A span of wall-clock time, in milliseconds since 1970. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Each team's average part of the fleet next to what its share is worth. */
export function describeParts(
  fleet: Fleet,
  runs: readonly MatchedRun[],
  span: Span,
): TeamPart[] {
  const total = listInstances(fleet).map(({ capacity }) => capacity)
    .reduce(addResources, NO_RESOURCES);
  const weights = fleet.rules.teams.reduce((sum, { share }) => sum + share, 0);
  return fleet.rules.teams.map(({ name, share }) => ({
    team: name,
    share: dominantShare(
      averageUse(runs.filter(({ team }) => team === name), span),
      total,
    ),
    entitlement: share / weights,
  }));
}

/** Average use of the instances that ran anything, dominant dimension. */
export function describePacking(
  fleet: Fleet,
  runs: readonly MatchedRun[],
  span: Span,
): number {
  const busy = new Set(runs.map(({ instanceId }) => instanceId));
  const total = listInstances(fleet).filter(({ id }) => busy.has(id))
    .map(({ capacity }) => capacity).reduce(addResources, NO_RESOURCES);
  return dominantShare(averageUse(runs, span), total);
}

function averageUse(runs: readonly MatchedRun[], span: Span): Resources {
  const length = Math.max(span.toMs - span.fromMs, 1);
  return runs.reduce((sum, run) => {
    const from = Math.max(run.startedMs, span.fromMs);
    const to = Math.min(run.endedMs, span.toMs);
    const part = Math.max(to - from, 0) / length;
    const size = sizeOf(run);
    return addResources(sum, {
      cpuMillis: size.cpuMillis * part,
      memoryMb: size.memoryMb * part,
      accelerators: size.accelerators * part,
      slots: size.slots * part,
    });
  }, NO_RESOURCES);
}
