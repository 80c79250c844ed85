import type { JobStatus, KeyRecord } from "@mustardweir/model";

/** What `GET /v1/teams` answers. */
export interface TeamsReply {
  readonly teams: readonly {
    readonly team: string;
    readonly dominantShare: number;
    readonly entitlement: number;
    readonly used: {
      readonly cpuMillis: number;
      readonly memoryMb: number;
      readonly accelerators: number;
      readonly slots: number;
    };
  }[];
  readonly configurationVersion: number;
  readonly missingSlices: readonly string[];
}

/** A key as the entry shows it, without its hash. */
export type ShownKey = Omit<KeyRecord, "hash">;

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

/** A table of the teams, then what is missing from it. */
export function formatTeams(reply: TeamsReply): string {
  const rows = reply.teams.map((team) => [
    team.team,
    formatPercent(team.dominantShare),
    formatPercent(team.entitlement),
    String(team.used.cpuMillis / 1000),
    String(team.used.memoryMb),
    String(team.used.accelerators),
    String(team.used.slots),
  ]);
  const head = "TEAM USES ENTITLED CPU MEMORY-MB ACCELERATORS TASKS";
  const missing = reply.missingSlices;
  const note = missing.length > 0
    ? [`not heard from: ${missing.join(", ")}`]
    : [];
  return [...alignColumns([head.split(" "), ...rows]), ...note].join("\n");
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

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_head, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join("  ")
      .trimEnd()
  );
}
