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
  registerCommandGroup,
  type ShownResult,
} from "./command_group.ts";
import { callForJob } from "./submit_command.ts";

interface JobsOptions {
  readonly team?: string;
  readonly state?: JobState;
}

interface JobsReply extends Stamp {
  readonly jobs: readonly JobStatus[];
}

/** `status`, `explain`, `cancel` and `jobs`. */
export class JobCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const status = program.command("status [job]")
      .description("show a job, or the fleet when no job is named")
      .action((job: string | undefined) =>
        context.serve((client) =>
          job === undefined ? showFleet(client) : showJob(client, job)
        )
      );
    addExamples(status, ["status", "status imaging.k3Zr0a"]);
    const explain = program.command("explain <job>")
      .description("say why a job waits, or why it can never run")
      .action((job: string) =>
        context.serve((client) => explainJob(client, job))
      );
    addExamples(explain, ["explain imaging.k3Zr0a"]);
    const cancel = program.command("cancel <job>")
      .description("cancel a job")
      .action((job: string) =>
        context.serve((client) => showJob(client, job, "DELETE"))
      );
    addExamples(cancel, ["cancel imaging.k3Zr0a"]);
    const jobs = program.command("jobs")
      .description("list jobs, of every team that the key may see")
      .option("--team <team>", "only this team")
      .addOption(
        new Option("--state <state>", "only jobs in this state")
          .choices(Object.values(JobState)),
      )
      .action((options: JobsOptions) =>
        context.serve((client) => listJobs(client, options))
      );
    addExamples(jobs, ["jobs", "jobs --team imaging --state waiting"]);
  }
}

registerCommandGroup(new JobCommands());

async function showFleet(client: EntryClient): Promise<ShownResult> {
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
): Promise<ShownResult> {
  const path = `/v1/jobs/${encodeURIComponent(job)}`;
  const reply = await callForJob(client, { method, path });
  return reply.map((json) => ({ json, text: formatJob(json), stamp: json }));
}

async function explainJob(
  client: EntryClient,
  job: string,
): Promise<ShownResult> {
  const path = `/v1/jobs/${encodeURIComponent(job)}`;
  const reply = await callForJob(client, { method: "GET", path });
  return reply.map((json) => ({
    json: { ...json, explanation: explainStatus(json) },
    text: `${json.jobId}: ${explainStatus(json)}`,
    stamp: json,
  }));
}

/** Says in a sentence where a job stands and why. */
function explainStatus(status: JobStatus): string {
  const { state, explanation, reason, outcome } = status;
  if (state === JobState.Ended) {
    return `It ended as ${reason} with outcome ${outcome}`;
  }
  if (explanation !== undefined) {
    return explanation;
  }
  return state === JobState.Running
    ? "It is running and waits for nothing"
    : "It waits for its turn";
}

/** Asks for each team by itself, and names those that did not answer. */
async function listJobs(
  client: EntryClient,
  { team, state }: JobsOptions,
): Promise<ShownResult> {
  const teams = await client.call({ method: "GET", path: "/v1/teams" });
  if (teams.isErr()) {
    return err(teams.error);
  }
  const stamp = teams.value as TeamsReply;
  const names = team === undefined
    ? stamp.teams.map((standing) => standing.team)
    : [team];
  const replies = await Promise.all(names.map(async (name) => {
    const path = `/v1/jobs?team=${encodeURIComponent(name)}`;
    return { name, reply: await client.call({ method: "GET", path }) };
  }));
  const fault = replies.map(({ reply }) => reply).find((reply) =>
    reply.isErr() && (team !== undefined || !reply.error.mayRetry) &&
    reply.error.reason !== "not-permitted"
  );
  if (fault?.isErr()) {
    return err(fault.error);
  }
  const jobs = replies.flatMap(({ reply }) =>
    reply.isOk() ? (reply.value as JobsReply).jobs : []
  ).filter((job) => state === undefined || job.state === state);
  const missingTeams = replies.filter(({ reply }) =>
    reply.isErr() && reply.error.reason !== "not-permitted"
  ).map(({ name }) => name);
  const note = missingTeams.length > 0
    ? [`not heard from, homes of teams: ${missingTeams.join(", ")}`]
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

/** The text of an answer with its stamp below. */
export function withStamp(text: string, stamp: Stamp = {}): string {
  return [text, formatStamp(stamp)].filter((line) => line !== "").join("\n");
}
