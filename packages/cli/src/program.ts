import { Command, CommanderError, InvalidArgumentError } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  type CliError,
  errorJson,
  EXIT_CODE_HELP,
  ExitCode,
  fail,
} from "./cli_error.ts";
import {
  type CommandContext,
  commandGroups,
  type CommandResult,
  parseInteger,
  withStamp,
} from "./commands/mod.ts";
import {
  DEFAULT_TIMEOUT_MS,
  EntryClient,
  MAX_TIMEOUT_MS,
} from "./entry_client.ts";
import { readText } from "./source_document.ts";

export interface CliOptions {
  /** Arguments after the program's name. */
  readonly argv: readonly string[];
  /** Environment variables; those of the process by default. */
  readonly env?: Readonly<Record<string, string | undefined>>;
  /** Called with each block of output. */
  readonly print: (line: string) => void;
  /** Called with each line of the error message. */
  readonly printError: (line: string) => void;
  /** Whether output goes to a terminal; false by default. */
  readonly isTerminal?: boolean;
  /**
   * Registers a listener for ctrl-c and returns a function that removes it. By
   * default listeners are never called.
   */
  readonly onInterrupt?: (listener: () => void) => () => void;
}

interface GlobalOptions {
  readonly entry?: string;
  readonly key?: string;
  readonly ca?: string;
  readonly timeoutMs: number;
  readonly json: boolean;
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
    describeFailure(result.error, program.asJson).forEach((line) =>
      options.printError(line)
    );
    return result.error.exitCode;
  }
  return result.value;
}

function describeFailure(error: CliError, asJson: boolean): string[] {
  const { message, details = [] } = error;
  if (message === "") {
    return [];
  }
  return asJson
    ? [JSON.stringify(errorJson(error))]
    : [`mustardweir: ${message}`, ...details.map((line) => `  ${line}`)];
}

/** One run of the command line, and its result. */
class Program implements CommandContext {
  readonly program: Command;
  readonly #options: CliOptions;
  #result: Result<ExitCode, CliError> = ok(ExitCode.Ok);

  constructor(options: CliOptions) {
    this.#options = options;
    this.program = this.#createCommand();
    for (const group of commandGroups()) {
      group.register(this.program, this);
    }
  }

  /** Also true if the command line is rejected before `--json` is parsed. */
  get asJson(): boolean {
    return this.program.opts<GlobalOptions>().json ||
      this.#options.argv.includes("--json");
  }

  get isTerminal(): boolean {
    return this.#options.isTerminal ?? false;
  }

  async run(): Promise<Result<ExitCode, CliError>> {
    try {
      await this.program.parseAsync([...this.#options.argv], { from: "user" });
    } catch (cause) {
      return toUsageError(cause);
    }
    return this.#result;
  }

  async runWithClient(
    action: (client: EntryClient) => Promise<CommandResult>,
  ): Promise<void> {
    const globals = this.program.opts<GlobalOptions>();
    const client = createClient(globals, this.#options.env);
    if (client.isErr()) {
      this.#result = err(client.error);
      return;
    }
    try {
      this.show(await action(client.value));
    } catch (cause) {
      this.#result = createInvalidResponseError(cause);
    }
    await client.value.close();
  }

  show(result: CommandResult): void {
    this.#result = result.map(({ json, text, stamp, exitCode }) => {
      const output = this.asJson
        ? JSON.stringify(json)
        : withStamp(text, stamp);
      if (output) {
        this.print(output);
      }
      return exitCode ?? ExitCode.Ok;
    });
  }

  print(line: string): void {
    this.#options.print(line);
  }

  onInterrupt(listener: () => void): () => void {
    return this.#options.onInterrupt?.(listener) ?? (() => {});
  }

  #createCommand(): Command {
    return new Command("mustardweir")
      .description("Command line for operators and submitters")
      .option("--entry <url>", "an entry (env: MUSTARDWEIR_ENTRY)")
      .option("--key <key>", "your key (env: MUSTARDWEIR_KEY)")
      .option(
        "--ca <file>",
        "PEM file of the CA of entries (env: MUSTARDWEIR_CA)",
      )
      .option(
        "--timeout-ms <ms>",
        "time limit for an answer, in milliseconds",
        parseTimeout,
        DEFAULT_TIMEOUT_MS,
      )
      .option("--json", "print answers and failures as JSON", false)
      .exitOverride()
      .showSuggestionAfterError(false)
      .addHelpText("after", describeExitCodes())
      .configureOutput({
        writeOut: (text) => this.#options.print(text.trimEnd()),
        writeErr: (text) => this.#options.printError(text.trimEnd()),
        outputError: () => {},
      });
  }
}

/**
 * Creates the error for a response that is not in an entry's format, which
 * another server at the entry's address may send.
 */
function createInvalidResponseError(
  cause: unknown,
): Result<ExitCode, CliError> {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return fail(
    ExitCode.Unreachable,
    `The response is not in an entry's format: ${reason}`,
  );
}

function describeExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_HELP).map(([code, meaning]) =>
    `  ${code}  ${meaning}`
  );
  return `\nExit codes:\n${lines.join("\n")}`;
}

/** Parses the time limit for an answer, in milliseconds. */
function parseTimeout(text: string): number {
  const timeoutMs = parseInteger(text);
  if (timeoutMs < 1 || timeoutMs > MAX_TIMEOUT_MS) {
    throw new InvalidArgumentError(`It must be from 1 to ${MAX_TIMEOUT_MS}`);
  }
  return timeoutMs;
}

function createClient(
  options: GlobalOptions,
  env: CliOptions["env"] = process.env,
): Result<EntryClient, CliError> {
  const { timeoutMs } = options;
  const entry = options.entry ?? env.MUSTARDWEIR_ENTRY;
  const key = options.key ?? env.MUSTARDWEIR_KEY;
  if (!entry || !URL.canParse(entry)) {
    const message =
      "An entry's URL is required: use --entry or MUSTARDWEIR_ENTRY";
    return fail(ExitCode.Usage, message);
  }
  if (!key) {
    return fail(
      ExitCode.Usage,
      "A key is required: use --key or MUSTARDWEIR_KEY",
    );
  }
  return readCertificates(options.ca ?? env.MUSTARDWEIR_CA).map((ca) =>
    new EntryClient({ entry: new URL(entry).origin, key, timeoutMs, ca })
  );
}

function readCertificates(
  path: string | undefined,
): Result<string | undefined, CliError> {
  return path === undefined ? ok(undefined) : readText(path);
}

function toUsageError(cause: unknown): Result<ExitCode, CliError> {
  if (!(cause instanceof CommanderError)) {
    throw cause;
  }
  if (cause.exitCode === ExitCode.Ok) {
    return ok(ExitCode.Ok);
  }
  const message = cause.message.replace(/^error: /, "");
  return fail(ExitCode.Usage, message === "(outputHelp)" ? "" : message);
}
