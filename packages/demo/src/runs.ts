import { createHash } from "node:crypto";
import { type EndReason, formatJobId } from "@mustardweir/model";
import { request } from "undici";
import type { Fleet } from "./fleet_file.ts";
import type { SubmittedJob } from "./submitter.ts";

/** One attempt of a task, as its worker recorded it. */
export interface Run {
  readonly instanceId: string;
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  /** Times are Unix time in milliseconds. */
  readonly startedMs: number;
  readonly endedMs: number;
  readonly reason: EndReason | undefined;
}

type ReportedRun = Omit<Run, "instanceId" | "endedMs"> & {
  readonly endedMs?: number;
};

/** The fleet to collect runs from. */
export interface CollectRunsOptions {
  readonly fleet: Fleet;
  readonly originOfZone: ReadonlyMap<string, string>;
  /** Used as the end of runs that have not ended; Unix time in milliseconds. */
  readonly now: number;
}

/** Fetches the runs of every worker since its process started. */
export async function collectRuns(options: CollectRunsOptions): Promise<Run[]> {
  const { fleet, originOfZone, now } = options;
  const endpoints = fleet.inventory.availabilityZones.flatMap((zone) =>
    zone.racks.flatMap((rack) => rack.instances).map(({ id }) => ({
      instanceId: id,
      url: `${originOfZone.get(zone.name)}/${id}/v1/starts`,
    }))
  );
  const runs = await Promise.all(endpoints.map(async ({ instanceId, url }) => {
    const res = await request(url);
    const logged = await res.body.json() as ReportedRun[];
    return logged.map((run) => ({
      ...run,
      instanceId,
      endedMs: run.endedMs ?? now,
    }));
  }));
  return runs.flat();
}

/** A run and the submitted job that it belongs to. */
export interface MatchedRun extends Run {
  readonly submitted: SubmittedJob;
}

/** Number of hexadecimal digits in the hash part of a job id. */
const JOB_ID_DIGITS = 24;

/** Computes the id of a job, which the submitter may not have received. */
export function jobIdOf({ job }: Pick<SubmittedJob, "job">): string {
  const name = JSON.stringify([job.team, job.idempotencyKey]);
  const digest = createHash("sha256").update(name).digest("hex");
  return formatJobId(job.team, digest.slice(0, JOB_ID_DIGITS));
}

/** Finds the job of each run; runs of unknown jobs are left out. */
export function matchRuns(
  runs: readonly Run[],
  stories: readonly SubmittedJob[],
): MatchedRun[] {
  const byJobId = new Map(
    stories.map((submitted) => [jobIdOf(submitted), submitted]),
  );
  return runs.flatMap((run) => {
    const submitted = byJobId.get(run.jobId);
    return submitted === undefined ? [] : [{ ...run, submitted }];
  });
}
