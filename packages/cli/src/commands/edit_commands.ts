import type { Command } from "commander";
import { err, ok } from "neverthrow";
import { ExitCode } from "../cli_error.ts";
import { readSections } from "../config_file.ts";
import { listDifferences } from "../differences.ts";
import { applySections, readConfiguration } from "../edits.ts";
import type { EntryClient } from "../entry_client.ts";
import {
  addExamples,
  addIfMatch,
  type CommandContext,
  CommandGroup,
  type CommandResult,
  registerCommandGroup,
  runEdit,
} from "./command_group.ts";

interface EditOptions {
  readonly ifMatch?: number;
}

/** The commands `apply`, `diff`, `drain` and `return`. */
export class EditCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const apply = addIfMatch(program.command("apply <files...>"))
      .description("apply inventory and rules from files")
      .action((files: string[], { ifMatch }: EditOptions) =>
        context.runWithClient((client) => applyFiles(client, files, ifMatch))
      );
    addExamples(apply, [
      "apply inventory.yaml rules.yaml",
      "apply rules.json --if-match 7",
    ]);
    const diff = program.command("diff <files...>")
      .description("show what apply would change")
      .action((files: string[]) =>
        context.runWithClient((client) => diffFiles(client, files))
      );
    addExamples(diff, ["diff inventory.yaml rules.yaml"]);
    this.#addZone(program, context, {
      verb: "drain",
      description: "take an availability zone out of service",
    });
    this.#addZone(program, context, {
      verb: "return",
      description: "bring an availability zone back",
    });
  }

  #addZone(
    program: Command,
    context: CommandContext,
    { verb, description }: {
      readonly verb: string;
      readonly description: string;
    },
  ): void {
    const command = addIfMatch(program.command(`${verb} <zone>`))
      .description(description)
      .action((zone: string, { ifMatch }: EditOptions) => {
        const path = `/v1/config/zones/${encodeURIComponent(zone)}/${verb}`;
        return runEdit(context, {
          call: { method: "POST", path },
          ifMatch,
          done: `${verb} of ${zone}`,
        });
      });
    addExamples(command, [`${verb} tx-central-a`]);
  }
}

registerCommandGroup(new EditCommands());

async function applyFiles(
  client: EntryClient,
  files: readonly string[],
  ifMatch: number | undefined,
): Promise<CommandResult> {
  const sections = readSections(files);
  if (sections.isErr()) {
    return err(sections.error);
  }
  const applied = await applySections(client, sections.value, ifMatch);
  return applied.map(({ stamp, list }) => ({
    json: { sections: list, ...stamp },
    stamp,
    text: list.map(({ section, version, changed }) =>
      `${section} ${changed ? "in" : "unchanged in"} version ${version}`
    ).join("\n"),
  }));
}

async function diffFiles(
  client: EntryClient,
  files: readonly string[],
): Promise<CommandResult> {
  const sections = readSections(files);
  if (sections.isErr()) {
    return err(sections.error);
  }
  const reply = await readConfiguration(client);
  if (reply.isErr()) {
    return err(reply.error);
  }
  const { version, asOf } = reply.value;
  const differences = sections.value.flatMap(({ section, body }) =>
    listDifferences(reply.value[section], body, section)
  );
  return ok({
    json: { version, asOf, differences },
    text: [
      ...differences,
      `${differences.length} differences to version ${version}`,
    ].join("\n"),
    stamp: reply.value,
    exitCode: differences.length > 0 ? ExitCode.Different : ExitCode.Ok,
  });
}
