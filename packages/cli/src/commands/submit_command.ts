import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import {
  EndReason,
  JobKind,
  type JobSpec,
  jobSpecSchema,
  JobState,
  type JobStatus,
  Outcome,
  Priority,
} from "@mustardweir/model";
import { type Command, InvalidArgumentError, Option } from "commander";
import { ok, type Result } from "neverthrow";
import { type CliError, ExitCode, fail } from "../cli_error.ts";
import type { EntryCall, EntryClient } from "../entry_client.ts";
import { formatJob, type Stamp } from "../format.ts";
import { readDocuments, SourceDocument } from "../source_document.ts";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  parseInteger,
  registerCommandGroup,
  type ShownResult,
} from "./command_group.ts";

/** Time between looks at a job that is waited for, in milliseconds. */
const WAIT_INTERVAL_MS = 500;

/** Looks without an answer, one after another, that end the wait. */
const MAX_SILENT = 20;

type JobReply = JobStatus & Stamp;

/** The fields of a job that flags give. */
type JobFlags = Partial<Omit<JobSpec, "idempotent">> & {
  readonly nonIdempotent?: boolean;
  readonly idempotencyKey?: string;
  readonly wait: boolean;
};

/** `submit`. */
export class SubmitCommand extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const submit = program.command("submit [file]")
      .description("hand in a job from a YAML or JSON file, from flags or both")
      .addOption(
        new Option("--kind <kind>", "kind of work")
          .choices(Object.values(JobKind)),
      )
      .option("--name <name>", "name for people")
      .option("--cpu <cores>", "cores of one task", parseNumber)
      .option("--memory-mb <mb>", "memory of one task", parseInteger)
      .option("--accelerators <n>", "accelerators of one task", parseInteger)
      .option("--tasks <n>", "number of tasks", parseInteger)
      .addOption(
        new Option("--priority <priority>", "priority of the job")
          .choices(Object.values(Priority)),
      )
      .option("--non-idempotent", "the job runs at most once")
      .option("--duration-ms <ms>", "declared run time", parseInteger)
      .option("--start-within-ms <ms>", "useless when later", parseInteger)
      .option("--payload <text>", "handed to the task")
      .option(
        "--idempotency-key <key>",
        "names the submission; made up when absent",
      )
      .option("--wait", "wait for the end of the job", false)
      .action((file: string | undefined, flags: JobFlags) => {
        const spec = readJob(file, flags);
        return spec.isErr()
          ? context.show(spec.map(() => ({ json: undefined, text: "" })))
          : context.serve((client) => submitJob(client, spec.value, flags));
      });
    addExamples(submit, [
      "submit job.yaml",
      "submit --kind batch --cpu 2 --memory-mb 512 --tasks 8 --wait",
      "submit job.yaml --priority urgent --idempotency-key order-81",
    ]);
  }
}

registerCommandGroup(new SubmitCommand());

function readJob(
  file: string | undefined,
  flags: JobFlags,
): Result<JobSpec, CliError> {
  const given = specOfFlags(flags);
  if (file === undefined) {
    const parsed = jobSpecSchema.safeParse(given);
    const issue = parsed.error?.issues[0];
    return parsed.success ? ok(parsed.data) : fail(
      ExitCode.Usage,
      `${issue?.path.join(".") || "job"}: ${issue?.message}`,
    );
  }
  return readDocuments(file).andThen(([source]) =>
    source === undefined
      ? fail<JobSpec>(ExitCode.Usage, `${file}: holds no job`)
      : overlay(source, given).check(jobSpecSchema)
  );
}

/** Flags go before the fields of the file. */
function overlay(source: SourceDocument, given: object): SourceDocument {
  return source.value instanceof Object
    ? source.withValue({ ...source.value, ...given })
    : source;
}

function specOfFlags(flags: JobFlags): object {
  const { nonIdempotent, idempotencyKey: _key, wait: _wait, ...spec } = flags;
  return { ...spec, ...(nonIdempotent ? { idempotent: false } : {}) };
}

async function submitJob(
  client: EntryClient,
  body: JobSpec,
  { idempotencyKey = randomUUID(), wait }: JobFlags,
): Promise<ShownResult> {
  const submitted = await callForJob(client, {
    method: "POST",
    path: "/v1/jobs",
    body,
    idempotencyKey,
  });
  const repeat = `to repeat it: --idempotency-key ${idempotencyKey}`;
  const accepted = submitted.mapErr((error) =>
    error.outcome === Outcome.NotRun
      ? error
      : { ...error, message: `${error.message}; ${repeat}` }
  );
  const reply = wait && accepted.isOk()
    ? await waitForEnd(client, accepted.value)
    : accepted;
  return reply.map((job) => ({
    json: job,
    text: formatJob(job),
    stamp: job,
    exitCode: wait && !isCompleted(job) ? ExitCode.JobFailed : ExitCode.Ok,
  }));
}

/** Follows a job to its end; an entry that is silent is asked again. */
async function waitForEnd(
  client: EntryClient,
  job: JobReply,
): Promise<Result<JobReply, CliError>> {
  let latest = job;
  let silent = 0;
  while (latest.state !== JobState.Ended) {
    await delay(WAIT_INTERVAL_MS);
    const path = `/v1/jobs/${encodeURIComponent(job.jobId)}`;
    const reply = await callForJob(client, { method: "GET", path });
    silent = reply.isErr() ? silent + 1 : 0;
    if (reply.isErr() && (!reply.error.mayRetry || silent >= MAX_SILENT)) {
      return reply;
    }
    latest = reply.unwrapOr(latest);
  }
  return ok(latest);
}

function isCompleted({ outcome, reason }: JobStatus): boolean {
  return outcome === Outcome.Done && reason === EndReason.Completed;
}

/** Makes a call that a job's status answers. */
export async function callForJob(
  client: EntryClient,
  call: EntryCall,
): Promise<Result<JobReply, CliError>> {
  const reply = await client.call(call);
  return reply.map((json) => json as JobReply);
}

function parseNumber(text: string): number {
  if (!/^\d{1,9}(\.\d{1,9})?$/.test(text)) {
    throw new InvalidArgumentError("It must be a number");
  }
  return Number(text);
}
