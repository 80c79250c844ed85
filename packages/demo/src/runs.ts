import { createHash } from "node:crypto";
import { type EndReason, formatJobId } from "@mustardweir/model";
import { request } from "undici";
import type { Fleet } from "./fleet_file.ts";
import type { JobStory } from "./submitter.ts";

/** One attempt of a task as its worker ran it: what really happened. */
export interface Run {
  readonly instanceId: string;
  readonly taskId: string;
  readonly jobId: string;
  readonly team: string;
  /** Wall-clock times in milliseconds since 1970. */
  readonly startedMs: number;
  readonly endedMs: number;
  readonly reason: EndReason | undefined;
}

type LoggedRun = Omit<Run, "instanceId" | "endedMs"> & {
  readonly endedMs?: number;
};

/** Whose runs are collected. */
export interface CollectRunsOptions {
  readonly fleet: Fleet;
  readonly originOfZone: ReadonlyMap<string, string>;
  /** Taken for the end of runs that go on. */
  readonly now: number;
}

/** Asks every worker for all that it ever ran. */
export async function collectRuns(options: CollectRunsOptions): Promise<Run[]> {
  const { fleet, originOfZone, now } = options;
  const places = fleet.inventory.availabilityZones.flatMap((zone) =>
    zone.racks.flatMap((rack) => rack.instances).map(({ id }) => ({
      instanceId: id,
      url: `${originOfZone.get(zone.name)}/${id}/v1/starts`,
    }))
  );
  const runs = await Promise.all(places.map(async ({ instanceId, url }) => {
    const res = await request(url);
    const logged = await res.body.json() as LoggedRun[];
    return logged.map((run) => ({
      ...run,
      instanceId,
      endedMs: run.endedMs ?? now,
    }));
  }));
  return runs.flat();
}

/** A run with the job that it was for. */
export interface MatchedRun extends Run {
  readonly story: JobStory;
}

/** Hexadecimal digits of a job id's own part. */
const JOB_ID_DIGITS = 24;

/** The id that the job has, also when the submitter was not told of it. */
export function jobIdOf({ job }: Pick<JobStory, "job">): string {
  const name = JSON.stringify([job.team, job.idempotencyKey]);
  const digest = createHash("sha256").update(name).digest("hex");
  return formatJobId(job.team, digest.slice(0, JOB_ID_DIGITS));
}

/** Finds the job of each run; runs of unknown jobs are left out. */
export function matchRuns(
  runs: readonly Run[],
  stories: readonly JobStory[],
): MatchedRun[] {
  const byJobId = new Map(stories.map((story) => [jobIdOf(story), story]));
  return runs.flatMap((run) => {
    const story = byJobId.get(run.jobId);
    return story === undefined ? [] : [{ ...run, story }];
  });
}
