import { JobState, type JobStatus } from "@mustardweir/model";
import { type Command, Option } from "commander";
import { err, ok } from "neverthrow";
import { ExitCode } from "../cli_error.ts";
import type { EntryClient } from "../entry_client.ts";
import {
  type FleetReply,
  formatFleet,
  formatJob,
  formatJobs,
  formatStamp,
  type Stamp,
  type TeamsReply,
} from "../format.ts";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  type CommandResult,
  registerCommandGroup,
} from "./command_group.ts";
import { requestJob } from "./submit_command.ts";

interface JobsOptions {
  readonly team?: string;
  readonly state?: JobState;
}

interface JobsReply extends Stamp {
  readonly jobs: readonly JobStatus[];
}

/** The commands `status`, `explain`, `cancel` and `jobs`. */
export class JobCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const status = program.command("status [job]")
      .description("show a job, or the fleet when no job is named")
      .action((job: string | undefined) =>
        context.runWithClient((client) =>
          job === undefined ? showFleet(client) : showJob(client, job)
        )
      );
    addExamples(status, ["status", "status imaging.k3Zr0a"]);
    const explain = program.command("explain <job>")
      .description("explain why a job waits, or why it can never run")
      .action((job: string) =>
        context.runWithClient((client) => explainJob(client, job))
      );
    addExamples(explain, ["explain imaging.k3Zr0a"]);
    const cancel = program.command("cancel <job>")
      .description("cancel a job")
      .action((job: string) =>
        context.runWithClient((client) => showJob(client, job, "DELETE"))
      );
    addExamples(cancel, ["cancel imaging.k3Zr0a"]);
    const jobs = program.command("jobs")
      .description("list the jobs of every team that the key may access")
      .option("--team <team>", "only this team")
      .addOption(
        new Option("--state <state>", "only jobs in this state")
          .choices(Object.values(JobState)),
      )
      .action((options: JobsOptions) =>
        context.runWithClient((client) => listJobs(client, options))
      );
    addExamples(jobs, ["jobs", "jobs --team imaging --state waiting"]);
  }
}

registerCommandGroup(new JobCommands());

async function showFleet(client: EntryClient): Promise<CommandResult> {
  const reply = await client.call({ method: "GET", path: "/v1/fleet" });
  return reply.map((json) => ({
    json,
    text: formatFleet(json as FleetReply),
    stamp: json as Stamp,
  }));
}

async function showJob(
  client: EntryClient,
  job: string,
  method: "GET" | "DELETE" = "GET",
): Promise<CommandResult> {
  const path = `/v1/jobs/${encodeURIComponent(job)}`;
  const reply = await requestJob(client, { method, path });
  return reply.map((json) => ({ json, text: formatJob(json), stamp: json }));
}

async function explainJob(
  client: EntryClient,
  job: string,
): Promise<CommandResult> {
  const path = `/v1/jobs/${encodeURIComponent(job)}`;
  const reply = await requestJob(client, { method: "GET", path });
  return reply.map((json) => ({
    json: { ...json, explanation: describeStatus(json) },
    text: `${json.jobId}: ${describeStatus(json)}`,
    stamp: json,
  }));
}

/** Returns a sentence on the state of a job and the reason for it. */
function describeStatus(status: JobStatus): string {
  const { state, explanation, reason, outcome } = status;
  if (state === JobState.Ended) {
    return `It ended with reason ${reason} and outcome ${outcome}`;
  }
  if (explanation !== undefined) {
    return explanation;
  }
  return state === JobState.Running
    ? "It is running and waits for nothing"
    : "It waits for its turn";
}

/**
 * Lists jobs with one request for each team, since each team's home answers
 * separately. Teams whose home doesn't answer are listed as missing.
 */
async function listJobs(
  client: EntryClient,
  { team, state }: JobsOptions,
): Promise<CommandResult> {
  const teams = await client.call({ method: "GET", path: "/v1/teams" });
  if (teams.isErr()) {
    return err(teams.error);
  }
  const stamp = teams.value as TeamsReply;
  const names = team === undefined
    ? stamp.teams.map((status) => status.team)
    : [team];
  const replies = await Promise.all(names.map(async (name) => {
    const path = `/v1/jobs?team=${encodeURIComponent(name)}`;
    return { name, reply: await client.call({ method: "GET", path }) };
  }));
  const failed = replies.map(({ reply }) => reply).find((reply) =>
    reply.isErr() && (team !== undefined || !reply.error.mayRetry) &&
    reply.error.reason !== "not-permitted"
  );
  if (failed?.isErr()) {
    return err(failed.error);
  }
  const jobs = replies.flatMap(({ reply }) =>
    reply.isOk() ? (reply.value as JobsReply).jobs : []
  ).filter((job) => state === undefined || job.state === state);
  const missingTeams = replies.filter(({ reply }) =>
    reply.isErr() && reply.error.reason !== "not-permitted"
  ).map(({ name }) => name);
  const note = missingTeams.length > 0
    ? [`no data from homes of teams: ${missingTeams.join(", ")}`]
    : [];
  return ok({
    json: { jobs, missingTeams, ...pickStamp(stamp) },
    text: [formatJobs(jobs), ...note].join("\n"),
    stamp,
    exitCode: ExitCode.Ok,
  });
}

function pickStamp({ asOf, configurationVersion }: Stamp): Stamp {
  return { asOf, configurationVersion };
}

/** Returns the text of an answer with the line of its stamp below. */
export function withStamp(text: string, stamp: Stamp = {}): string {
  return [text, formatStamp(stamp)].filter((line) => line !== "").join("\n");
}
