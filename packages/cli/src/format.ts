import type { Ceiling, JobStatus, KeyRecord } from "@mustardweir/model";
import type {
  MissingParts,
  SchedulerStatus,
  TeamStatus,
  ZoneStatus,
} from "@mustardweir/protocol";

/** The time and the configuration version to which an answer refers. */
export interface Stamp {
  readonly asOf?: string;
  readonly configurationVersion?: number;
}

/** The answer of `GET /v1/teams`. */
export interface TeamsReply extends Stamp, Partial<MissingParts> {
  readonly teams: readonly TeamStatus[];
}

/** The answer of `GET /v1/fleet`. */
export interface FleetReply extends Stamp, Partial<MissingParts> {
  readonly schedulers: readonly SchedulerStatus[];
  readonly availabilityZones: readonly ZoneStatus[];
}

/** A key record as an entry returns it, without the hash. */
export type KeyWithoutHash = Omit<KeyRecord, "hash">;

const UNKNOWN = "?";

/** Returns one line on the state of a job. */
export function formatJob(status: JobStatus): string {
  const { jobId, state, tasksTotal, tasksRunning, tasksEnded } = status;
  const parts = [
    jobId,
    state,
    `${tasksRunning} running and ${tasksEnded} ended of ${tasksTotal}`,
    status.outcome && `outcome ${status.outcome}`,
    status.reason && `reason ${status.reason}`,
    status.explanation,
    status.answer !== undefined && `answer ${JSON.stringify(status.answer)}`,
  ];
  return parts.filter(Boolean).join(", ");
}

/** Returns a table with one row for each job. */
export function formatJobs(jobs: readonly JobStatus[]): string {
  const rows = jobs.map((job) => [
    job.jobId,
    job.team,
    job.state,
    `${job.tasksRunning}/${job.tasksTotal}`,
    job.waitedMs === undefined ? "-" : `${Math.round(job.waitedMs)} ms`,
    job.reason ?? job.explanation ?? "-",
  ]);
  const headings = ["JOB", "TEAM", "STATE", "RUNNING", "WAITED", "REASON"];
  return alignColumns([headings, ...rows]).join("\n");
}

/** Returns a table of the teams, then a line for each kind of missing data. */
export function formatTeams(reply: TeamsReply): string {
  return [...listTeams(reply), ...formatMissing(reply)].join("\n");
}

/** Returns the lines of the table of teams. */
export function listTeams(reply: TeamsReply): string[] {
  const rows = reply.teams.map((team) => [
    team.team,
    String(team.share ?? UNKNOWN),
    formatPercent(team.entitlement),
    formatPercent(team.dominantShare),
    formatCeiling(team.ceiling),
    String(team.waiting ?? UNKNOWN),
    String(team.used.cpuMillis / 1000),
    String(team.used.memoryMb),
    String(team.used.accelerators),
    String(team.used.slots),
  ]);
  const headings =
    "TEAM SHARE ENTITLED USES CEILING WAITING CPU MEMORY-MB ACCELERATORS TASKS";
  return alignColumns([headings.split(" "), ...rows]);
}

/** Returns tables of zones and schedulers, then lines on missing data. */
export function formatFleet(reply: FleetReply): string {
  return [...listFleet(reply), ...formatMissing(reply)].join("\n");
}

/** Returns the lines of the tables of availability zones and schedulers. */
export function listFleet(reply: FleetReply): string[] {
  const zones = reply.availabilityZones.map((zone) => [
    zone.availabilityZone,
    zone.state,
    String(zone.instances),
    ...["cpuMillis", "accelerators", "slots"].map((dimension) =>
      formatFree(zone, dimension as "cpuMillis" | "accelerators" | "slots")
    ),
    String(zone.slices.reduce((sum, { waiting }) => sum + waiting, 0)),
  ]);
  const schedulers = reply.schedulers.map((scheduler) => [
    scheduler.nodeId,
    scheduler.availabilityZone,
    describeScheduler(scheduler, reply.missingSchedulers),
    String(scheduler.configurationVersion),
    String(scheduler.owned),
    `${(scheduler.silentMs / 1000).toFixed(1)} s ago`,
  ]);
  return [
    ...alignColumns([
      "ZONE STATE INSTANCES FREE-CPU FREE-ACCELERATORS FREE-SLOTS ASKS".split(
        " ",
      ),
      ...zones,
    ]),
    "",
    ...alignColumns([
      "SCHEDULER ZONE STATE CONFIG OWNS HEARD".split(" "),
      ...schedulers,
    ]),
  ];
}

/** Returns a table with one row for each key. */
export function formatKeys(keys: readonly KeyWithoutHash[]): string {
  const rows = keys.map(({ id, role, team, expiresAtMs }) => [
    id,
    role,
    team ?? "-",
    expiresAtMs === undefined ? "-" : new Date(expiresAtMs).toISOString(),
  ]);
  return alignColumns([["KEY", "ROLE", "TEAM", "EXPIRES"], ...rows]).join("\n");
}

/** Returns the line printed below an answer; empty if it has no time. */
export function formatStamp({ asOf, configurationVersion }: Stamp): string {
  return asOf === undefined
    ? ""
    : `as of ${asOf}, configuration version ${configurationVersion ?? UNKNOWN}`;
}

/** Returns one line for each kind of part for which an answer has no data. */
export function formatMissing(missing: Partial<MissingParts>): string[] {
  const parts = [
    ["slices", missing.missingSlices],
    ["homes of teams", missing.missingHomes],
    ["schedulers", missing.missingSchedulers],
  ] as const;
  return parts.flatMap(([what, names = []]) =>
    names.length > 0 ? [`no data from ${what}: ${names.join(", ")}`] : []
  );
}

/** Pads the cells of the rows so that the columns are aligned. */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_heading, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd()
  );
}

export function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

/**
 * Returns the state of a scheduler. The entry lists as missing those without a
 * heartbeat for longer than the failure timeout of peers.
 */
function describeScheduler(
  { nodeId, isStopping }: SchedulerStatus,
  missing: readonly string[] = [],
): string {
  if (missing.includes(nodeId)) {
    return "silent";
  }
  return isStopping ? "stopping" : "up";
}

function formatCeiling(ceiling: Ceiling = {}): string {
  const limits = Object.entries(ceiling).map(([name, limit]) =>
    `${name}=${limit}`
  );
  return limits.join(",") || "-";
}

/**
 * Returns the resources available to new tasks, and the total. A slice that
 * accepts no new work reports none as free.
 */
function formatFree(
  { slices }: ZoneStatus,
  dimension: "cpuMillis" | "accelerators" | "slots",
): string {
  const unit = dimension === "cpuMillis" ? 1000 : 1;
  const sum = (part: "free" | "total") =>
    slices.reduce((total, slice) => total + slice[part][dimension], 0) / unit;
  return `${sum("free")}/${sum("total")}`;
}
