import type { Ceiling, JobStatus, KeyRecord } from "@mustardweir/model";
import type {
  MissingParts,
  SchedulerStatus,
  TeamStatus,
  ZoneStatus,
} from "@mustardweir/protocol";

/** As of when an answer is and of which version of the configuration. */
export interface Stamp {
  readonly asOf?: string;
  readonly configurationVersion?: number;
}

/** What `GET /v1/teams` answers. */
export interface TeamsReply extends Stamp, Partial<MissingParts> {
  readonly teams: readonly TeamStatus[];
}

/** What `GET /v1/fleet` answers. */
export interface FleetReply extends Stamp, Partial<MissingParts> {
  readonly schedulers: readonly SchedulerStatus[];
  readonly availabilityZones: readonly ZoneStatus[];
}

/** A key as the entry shows it, without its hash. */
export type ShownKey = Omit<KeyRecord, "hash">;

const UNKNOWN = "?";

/** One line for a job. */
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

/** One line for each job. */
export function formatJobs(jobs: readonly JobStatus[]): string {
  const rows = jobs.map((job) => [
    job.jobId,
    job.team,
    job.state,
    `${job.tasksRunning}/${job.tasksTotal}`,
    job.waitedMs === undefined ? "-" : `${Math.round(job.waitedMs)} ms`,
    job.reason ?? job.explanation ?? "-",
  ]);
  const head = ["JOB", "TEAM", "STATE", "RUNNING", "WAITED", "REASON"];
  return alignColumns([head, ...rows]).join("\n");
}

/** A table of the teams, then what is missing from it. */
export function formatTeams(reply: TeamsReply): string {
  return [...listTeams(reply), ...formatMissing(reply)].join("\n");
}

/** The lines of the table of the teams. */
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
  const head =
    "TEAM SHARE ENTITLED USES CEILING WAITING CPU MEMORY-MB ACCELERATORS TASKS";
  return alignColumns([head.split(" "), ...rows]);
}

/** Tables of availability zones and schedulers, then what is missing. */
export function formatFleet(reply: FleetReply): string {
  return [...listFleet(reply), ...formatMissing(reply)].join("\n");
}

/** The lines of the tables of availability zones and schedulers. */
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

/** One line for each key. */
export function formatKeys(keys: readonly ShownKey[]): string {
  const rows = keys.map(({ id, role, team, expiresAtMs }) => [
    id,
    role,
    team ?? "-",
    expiresAtMs === undefined ? "-" : new Date(expiresAtMs).toISOString(),
  ]);
  return alignColumns([["KEY", "ROLE", "TEAM", "EXPIRES"], ...rows]).join("\n");
}

/** The line below each answer; empty when the answer has no time. */
export function formatStamp({ asOf, configurationVersion }: Stamp): string {
  return asOf === undefined
    ? ""
    : `as of ${asOf}, configuration version ${configurationVersion ?? UNKNOWN}`;
}

/** Lines that name the parts that an answer tells nothing of. */
export function formatMissing(missing: Partial<MissingParts>): string[] {
  const parts = [
    ["slices", missing.missingSlices],
    ["homes of teams", missing.missingHomes],
    ["schedulers", missing.missingSchedulers],
  ] as const;
  return parts.flatMap(([what, names = []]) =>
    names.length > 0 ? [`not heard from, ${what}: ${names.join(", ")}`] : []
  );
}

/** Pads the cells of rows so that their columns line up. */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_head, column) =>
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

/** The entry names as missing who is silent for longer than its peers wait. */
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

/** What new tasks may take; nothing while a slice takes no new work. */
function formatFree(
  { slices }: ZoneStatus,
  dimension: "cpuMillis" | "accelerators" | "slots",
): string {
  const unit = dimension === "cpuMillis" ? 1000 : 1;
  const sum = (part: "free" | "total") =>
    slices.reduce((total, slice) => total + slice[part][dimension], 0) / unit;
  return `${sum("free")}/${sum("total")}`;
}
