import { writeFileSync } from "node:fs";
import {
  type BurnReply,
  renderBurnHtml,
  renderBurnText,
} from "@mustardweir/burn/render";
import { type Command, Option } from "commander";
import { err, ok } from "neverthrow";
import { ExitCode, fail } from "../cli_error.ts";
import type { EntryClient } from "../entry_client.ts";
import { formatTeams, type TeamsReply } from "../format.ts";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  type CommandResult,
  registerCommandGroup,
} from "./command_group.ts";

enum ReportFormat {
  Text = "text",
  Json = "json",
  Html = "html",
}

interface BurnOptions {
  readonly format: ReportFormat;
  readonly output?: string;
}

/** The commands `teams` and `report burn`. */
export class ReportCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const teams = program.command("teams")
      .description("show share, entitlement, use, ceiling and queue of teams")
      .action(() =>
        context.runWithClient(async (client) => {
          const reply = await client.call({ method: "GET", path: "/v1/teams" });
          return reply.map((json) => ({
            json,
            text: formatTeams(json as TeamsReply),
            stamp: json as TeamsReply,
          }));
        })
      );
    addExamples(teams, ["teams", "--json teams"]);
    const report = program.command("report").description("create reports");
    const burn = report.command("burn")
      .description(
        "report how fast late jobs use up error budgets",
      )
      .addOption(
        new Option("--format <format>", "format of the report")
          .choices(Object.values(ReportFormat))
          .default(ReportFormat.Text),
      )
      .option("--output <file>", "write the report to a file")
      .action((options: BurnOptions) =>
        context.runWithClient((client) => reportBurn(client, options))
      );
    addExamples(burn, [
      "report burn",
      "report burn --format html --output burn.html",
    ]);
  }
}

registerCommandGroup(new ReportCommands());

async function reportBurn(
  client: EntryClient,
  { format, output }: BurnOptions,
): Promise<CommandResult> {
  const path = "/v1/reports/burn";
  const reply = await client.call({ method: "GET", path });
  if (reply.isErr()) {
    return err(reply.error);
  }
  const report = reply.value as BurnReply;
  const text = renderReport(report, format);
  if (output === undefined) {
    return ok({ json: report, text });
  }
  try {
    writeFileSync(output, `${text}\n`);
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "unknown error";
    return fail(ExitCode.Usage, `${output}: can't be written (${code})`);
  }
  return ok({ json: report, text: `report in ${output}`, stamp: report });
}

function renderReport(report: BurnReply, format: ReportFormat): string {
  switch (format) {
    case ReportFormat.Text:
      return renderBurnText(report);
    case ReportFormat.Json:
      return JSON.stringify(report, undefined, 2);
    case ReportFormat.Html:
      return renderBurnHtml(report);
  }
}
