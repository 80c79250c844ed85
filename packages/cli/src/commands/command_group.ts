import { type Command, InvalidArgumentError } from "commander";
import type { Result } from "neverthrow";
import type { CliError, ExitCode } from "../cli_error.ts";
import type { EntryCall, EntryClient } from "../entry_client.ts";
import { editWithRetry } from "../edits.ts";
import type { Stamp } from "../format.ts";

/** The output of a command, as JSON and as text. */
export interface CommandOutput {
  readonly json: unknown;
  readonly text: string;
  /** Printed below the text. */
  readonly stamp?: Stamp;
  /** `ExitCode.Ok` by default. */
  readonly exitCode?: ExitCode;
}

export type CommandResult = Result<CommandOutput, CliError>;

/** The interface of the program that commands use. */
export interface CommandContext {
  /** The program with all its commands. */
  readonly program: Command;
  /** Whether answers are printed as JSON. */
  readonly asJson: boolean;
  /** Whether output goes to a terminal. */
  readonly isTerminal: boolean;
  /** Runs an action with a client of the entry and prints its result. */
  runWithClient(
    action: (client: EntryClient) => Promise<CommandResult>,
  ): Promise<void>;
  /** Prints the result of a command that needs no entry. */
  show(result: CommandResult): void;
  print(line: string): void;
  /** Registers a listener for ctrl-c; returns a function that removes it. */
  onInterrupt(listener: () => void): () => void;
}

/** A group of related commands, which it adds to a program. */
export abstract class CommandGroup {
  abstract register(program: Command, context: CommandContext): void;
}

const groups = new Set<CommandGroup>();

/**
 * Registers a group with every program created later. Called at the top level
 * of the group's module, so that importing the module adds the commands.
 *
 * @example
 * ```ts
 * registerCommandGroup(new KeyCommands());
 * ```
 */
export function registerCommandGroup(group: CommandGroup): () => void {
  groups.add(group);
  return () => {
    groups.delete(group);
  };
}

/** Returns the registered groups, in order of registration. */
export function commandGroups(): readonly CommandGroup[] {
  return [...groups];
}

/** Adds examples to the help text of a command. */
export function addExamples(
  command: Command,
  examples: readonly string[],
): Command {
  const lines = examples.map((example) => `  mustardweir ${example}`);
  return command.addHelpText("after", `\nExamples:\n${lines.join("\n")}`);
}

/** Adds the option that makes an edit conditional on a version. */
export function addIfMatch(command: Command): Command {
  return command.option(
    "--if-match <version>",
    "reject the edit if the configuration has another version",
    parseInteger,
  );
}

/** Sends an edit and prints the version that it created, or a new key. */
export function runEdit(
  context: CommandContext,
  options: {
    readonly call: EntryCall;
    readonly ifMatch?: number;
    readonly done: string;
  },
): Promise<void> {
  return context.runWithClient(async (client) => {
    const reply = await editWithRetry(client, options.call, options.ifMatch);
    return reply.map((json) => ({
      json,
      text: json.key ?? `${options.done} in version ${json.version}`,
      stamp: json,
    }));
  });
}

/** Parses a non-negative integer of the command line. */
export function parseInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError("It must be a whole number");
  }
  return Number(text);
}
