import { type Command, InvalidArgumentError } from "commander";
import type { Result } from "neverthrow";
import type { CliError, ExitCode } from "../cli_error.ts";
import type { EntryCall, EntryClient } from "../entry_client.ts";
import { editPart } from "../edits.ts";
import type { Stamp } from "../format.ts";

/** What a command shows: JSON, or text for people. */
export interface Shown {
  readonly json: unknown;
  readonly text: string;
  /** Printed below the text. */
  readonly stamp?: Stamp;
  /** `ExitCode.Ok` by default. */
  readonly exitCode?: ExitCode;
}

export type ShownResult = Result<Shown, CliError>;

/** What commands need of the program that runs them. */
export interface CommandContext {
  /** The program with all its commands. */
  readonly program: Command;
  /** True when answers are printed as JSON. */
  readonly asJson: boolean;
  /** True when output goes to a terminal. */
  readonly isTerminal: boolean;
  /** Runs an action with a client and shows its answer. */
  serve(action: (client: EntryClient) => Promise<ShownResult>): Promise<void>;
  /** Shows what needs no entry. */
  show(shown: ShownResult): void;
  print(line: string): void;
  /** Calls `listener` at ctrl-c until it is taken back. */
  onInterrupt(listener: () => void): () => void;
}

/** Commands that belong together; adds them to the program. */
export abstract class CommandGroup {
  abstract register(program: Command, context: CommandContext): void;
}

const groups = new Set<CommandGroup>();

/**
 * Announces a group to every program made later. Called at the top level of
 * the group's module, so that a program has the commands that it imports.
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

/** The groups announced so far, in order. */
export function commandGroups(): readonly CommandGroup[] {
  return [...groups];
}

/** Adds examples to the help of a command. */
export function addExamples(
  command: Command,
  examples: readonly string[],
): Command {
  const lines = examples.map((example) => `  mustardweir ${example}`);
  return command.addHelpText("after", `\nExamples:\n${lines.join("\n")}`);
}

/** Adds the option that ties an edit to a version. */
export function addIfMatch(command: Command): Command {
  return command.option(
    "--if-match <version>",
    "refuse the edit when the configuration has another version",
    parseInteger,
  );
}

/** Makes an edit and shows the version that it led to. */
export function serveEdit(
  context: CommandContext,
  options: {
    readonly call: EntryCall;
    readonly ifMatch?: number;
    readonly done: string;
  },
): Promise<void> {
  return context.serve(async (client) => {
    const reply = await editPart(client, options.call, options.ifMatch);
    return reply.map((json) => ({
      json,
      text: json.key ?? `${options.done} in version ${json.version}`,
      stamp: json,
    }));
  });
}

/** Reads a whole number from the command line. */
export function parseInteger(text: string): number {
  if (!/^\d{1,15}$/.test(text)) {
    throw new InvalidArgumentError("It must be a whole number");
  }
  return Number(text);
}
