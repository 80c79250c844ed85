import { randomUUID } from "node:crypto";
import { type JobStatus, KeyRole } from "@mustardweir/model";
import {
  Command,
  CommanderError,
  InvalidArgumentError,
  Option,
} from "commander";
import { err, ok, type Result } from "neverthrow";
import { type CliError, ExitCode, fail } from "./cli_error.ts";
import { readJob, readSections } from "./config_file.ts";
import { applySections, editPart, readConfiguration } from "./edits.ts";
import {
  DEFAULT_TIMEOUT_MS,
  type EntryCall,
  EntryClient,
} from "./entry_client.ts";
import {
  formatJob,
  formatKeys,
  formatTeams,
  type ShownKey,
  type TeamsReply,
} from "./format.ts";

export interface CliOptions {
  /** Arguments after the program's name. */
  readonly argv: readonly string[];
  /** The process' environment by default. */
  readonly env?: Readonly<Record<string, string | undefined>>;
  /** Takes each line of output. */
  readonly print: (line: string) => void;
  /** Takes the line that says why the command failed. */
  readonly printError: (line: string) => void;
}

/** What a command shows: JSON, or text for people. */
interface Shown {
  readonly json: unknown;
  readonly text: string;
}

type ShownResult = Result<Shown, CliError>;

interface GlobalOptions {
  readonly entry?: string;
  readonly key?: string;
  readonly timeoutMs: number;
  readonly json: boolean;
}

interface EditOptions {
  readonly ifMatch?: number;
}

interface GrantOptions extends EditOptions {
  readonly role: KeyRole;
  readonly team?: string;
  readonly expires?: number;
}

/**
 * Runs one command line and resolves to its exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli({
 *   argv: process.argv.slice(2),
 *   print: console.log,
 *   printError: console.error,
 * });
 * ```
 */
export async function runCli(options: CliOptions): Promise<ExitCode> {
  const program = new Program(options);
  const result = await program.run();
  if (result.isErr()) {
    const { exitCode, message } = result.error;
    if (message !== "") {
      options.printError(`mustardweir: ${message}`);
    }
    return exitCode;
  }
  return ExitCode.Ok;
}

/** The commands and what they do. */
class Program {
  readonly #options: CliOptions;
  readonly #command: Command;
  #result: Result<void, CliError> = ok(undefined);

  constructor(options: CliOptions) {
    this.#options = options;
    this.#command = this.#createCommand();
    this.#addEdits();
    this.#addKeys();
    this.#addJobs();
  }

  async run(): Promise<Result<void, CliError>> {
    try {
      await this.#command.parseAsync([...this.#options.argv], { from: "user" });
    } catch (cause) {
      return toCliError(cause);
    }
    return this.#result;
  }

  #createCommand(): Command {
    return new Command("mustardweir")
      .description("Command line for operators and submitters")
      .option("--entry <url>", "an entry (env: MUSTARDWEIR_ENTRY)")
      .option("--key <key>", "your key (env: MUSTARDWEIR_KEY)")
      .option(
        "--timeout-ms <ms>",
        "longest wait for an answer",
        parseInteger,
        DEFAULT_TIMEOUT_MS,
      )
      .option("--json", "print answers as JSON", false)
      .exitOverride()
      .showSuggestionAfterError(false)
      .configureOutput({
        writeOut: (text) => this.#options.print(text.trimEnd()),
        writeErr: (text) => this.#options.printError(text.trimEnd()),
        outputError: () => {},
      });
  }

  #addEdits(): void {
    this.#addEdit("apply <files...>", "put inventory and rules in force")
      .action((files: string[], { ifMatch }: EditOptions) =>
        this.#serve(async (client) => {
          const sections = readSections(files);
          if (sections.isErr()) {
            return err(sections.error);
          }
          const applied = await applySections(client, sections.value, ifMatch);
          return applied.map((list) => ({
            json: list,
            text: list.map(({ section, version, changed }) =>
              `${section} ${changed ? "in" : "unchanged in"} version ${version}`
            ).join("\n"),
          }));
        })
      );
    this.#addZone("drain", "take an availability zone out of service");
    this.#addZone("return", "bring an availability zone back");
  }

  #addZone(verb: string, description: string): void {
    this.#addEdit(`${verb} <zone>`, description)
      .action((zone: string, { ifMatch }: EditOptions) => {
        const path = `/v1/config/zones/${encodeURIComponent(zone)}/${verb}`;
        return this.#edit({ method: "POST", path }, {
          ifMatch,
          done: `${verb} of ${zone}`,
        });
      });
  }

  #addKeys(): void {
    const keys = this.#command.command("keys")
      .description("grant, withdraw and list keys");
    addIfMatch(keys.command("grant <id>"))
      .description("make a key; it is shown once")
      .addOption(
        new Option("--role <role>").choices(Object.values(KeyRole))
          .default(KeyRole.Submitter),
      )
      .option("--team <team>", "the team of a submitter")
      .option("--expires <time>", "ISO 8601 time", parseTime)
      .action((id: string, options: GrantOptions) => {
        const { role, team, expires: expiresAtMs, ifMatch } = options;
        const body = { id, role, team, expiresAtMs };
        return this.#edit({ method: "POST", path: "/v1/config/keys", body }, {
          ifMatch,
          done: `key ${id}`,
        });
      });
    addIfMatch(keys.command("withdraw <id>"))
      .description("make a key invalid")
      .action((id: string, { ifMatch }: EditOptions) => {
        const path = `/v1/config/keys/${encodeURIComponent(id)}`;
        return this.#edit({ method: "DELETE", path }, {
          ifMatch,
          done: `withdrawal of ${id}`,
        });
      });
    keys.command("list").description("list keys without their secrets")
      .action(() =>
        this.#serve(async (client) => {
          const configuration = await readConfiguration(client);
          return configuration.map(({ keys }) => ({
            json: keys,
            text: formatKeys(keys as readonly ShownKey[]),
          }));
        })
      );
  }

  #addJobs(): void {
    this.#command.command("submit <file>")
      .description("hand in a job from a YAML or JSON file")
      .option("--idempotency-key <key>", "names the submission", randomUUID())
      .action((file: string, options: { readonly idempotencyKey: string }) => {
        const job = readJob(file);
        return this.#serve((client) =>
          job.isErr() ? Promise.resolve(err(job.error)) : submit(client, {
            method: "POST",
            path: "/v1/jobs",
            body: job.value,
            idempotencyKey: options.idempotencyKey,
          })
        );
      });
    this.#addJob("status", "show a job", "GET");
    this.#addJob("cancel", "cancel a job", "DELETE");
    this.#command.command("teams")
      .description("show what each team uses and is entitled to")
      .action(() =>
        this.#serve(async (client) => {
          const reply = await client.call({ method: "GET", path: "/v1/teams" });
          return reply.map((json) => ({
            json,
            text: formatTeams(json as TeamsReply),
          }));
        })
      );
  }

  #addJob(verb: string, description: string, method: "GET" | "DELETE"): void {
    this.#command.command(`${verb} <job>`).description(description)
      .action((job: string) => {
        const path = `/v1/jobs/${encodeURIComponent(job)}`;
        return this.#serve((client) => callForJob(client, { method, path }));
      });
  }

  #addEdit(usage: string, description: string): Command {
    return addIfMatch(this.#command.command(usage)).description(description);
  }

  #edit(
    call: EntryCall,
    { ifMatch, done }: { readonly ifMatch?: number; readonly done: string },
  ): Promise<void> {
    return this.#serve(async (client) => {
      const reply = await editPart(client, call, ifMatch);
      return reply.map((json) => ({
        json,
        text: json.key ?? `${done} in version ${json.version}`,
      }));
    });
  }

  /** Runs a command with a client and shows its answer. */
  async #serve(
    action: (client: EntryClient) => Promise<ShownResult>,
  ): Promise<void> {
    const globals = this.#command.opts<GlobalOptions>();
    const client = createClient(globals, this.#options.env);
    if (client.isErr()) {
      this.#result = err(client.error);
      return;
    }
    const shown = await action(client.value);
    await client.value.close();
    this.#result = shown.map(({ json, text }) =>
      this.#options.print(globals.json ? JSON.stringify(json) : text)
    );
  }
}

function createClient(
  options: GlobalOptions,
  env: CliOptions["env"] = process.env,
): Result<EntryClient, CliError> {
  const { timeoutMs } = options;
  const entry = options.entry ?? env.MUSTARDWEIR_ENTRY;
  const key = options.key ?? env.MUSTARDWEIR_KEY;
  if (!entry || !URL.canParse(entry)) {
    const message = "Name an entry's URL with --entry or MUSTARDWEIR_ENTRY";
    return fail(ExitCode.Usage, message);
  }
  if (!key) {
    return fail(ExitCode.Usage, "Give your key with --key or MUSTARDWEIR_KEY");
  }
  return ok(new EntryClient({ entry: new URL(entry).origin, key, timeoutMs }));
}

/** Names the idempotency key when the job may have been accepted. */
async function submit(
  client: EntryClient,
  call: EntryCall,
): Promise<ShownResult> {
  const shown = await callForJob(client, call);
  const repeat = `to repeat it: --idempotency-key ${call.idempotencyKey}`;
  return shown.mapErr((error) =>
    error.isNotRun
      ? error
      : { ...error, message: `${error.message}; ${repeat}` }
  );
}

async function callForJob(
  client: EntryClient,
  call: EntryCall,
): Promise<ShownResult> {
  const reply = await client.call(call);
  return reply.map((json) => ({ json, text: formatJob(json as JobStatus) }));
}

function addIfMatch(command: Command): Command {
  return command.option(
    "--if-match <version>",
    "refuse the edit when the configuration has another version",
    parseInteger,
  );
}

function toCliError(cause: unknown): Result<void, CliError> {
  if (!(cause instanceof CommanderError)) {
    throw cause;
  }
  if (cause.exitCode === ExitCode.Ok) {
    return ok(undefined);
  }
  const message = cause.message.replace(/^error: /, "");
  return fail(ExitCode.Usage, message === "(outputHelp)" ? "" : message);
}

function parseInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError("It must be a whole number");
  }
  return Number(text);
}

function parseTime(text: string): number {
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new InvalidArgumentError("It must be a time such as 2030-01-31");
  }
  return time;
}
