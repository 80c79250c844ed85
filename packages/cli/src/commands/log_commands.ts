import { readFileSync } from "node:fs";
import {
  type Breakdown,
  computeBreakdowns,
  Grouping,
  type JobSummary,
  type LogLine,
  type LogLines,
  readLogLines,
  summarizeJob,
  TimePart,
} from "@mustardweir/log-story";
import { type Command, Option } from "commander";
import { ok, type Result } from "neverthrow";
import { type CliError, ExitCode, fail } from "../cli_error.ts";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  type CommandResult,
  registerCommandGroup,
} from "./command_group.ts";

const STANDARD_INPUT = "-";

/** The commands `explain-log` and `explain-time`. */
export class LogCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const explain = program.command("explain-log <job> [file...]")
      .description("explain what happened to a job, from the logs of all nodes")
      .action((jobId: string, files: string[]) =>
        context.show(
          readFiles(files).andThen((logs) => showJobSummary(logs, jobId)),
        )
      );
    addExamples(explain, ["explain-log 5c0e7a21d94b36f8 a.log b.log"]);
    const time = program.command("explain-time [file...]")
      .description("show how jobs spent their time, from the logs")
      .addOption(
        new Option("--by <what>").choices(Object.values(Grouping))
          .default(Grouping.Queue),
      )
      .action((files: string[], { by }: { by: Grouping }) =>
        context.show(
          readFiles(files).map(({ lines }) => {
            const rows = computeBreakdowns(lines, by);
            return { json: rows, text: formatBreakdown(rows, by) };
          }),
        )
      );
    addExamples(time, ["explain-time --by team a.log b.log"]);
  }
}

registerCommandGroup(new LogCommands());

function readFiles(files: readonly string[]): Result<LogLines, CliError> {
  const names = files.length > 0 ? files : [STANDARD_INPUT];
  const texts: string[] = [];
  for (const name of names) {
    try {
      texts.push(readFileSync(name === STANDARD_INPUT ? 0 : name, "utf8"));
    } catch (error) {
      return fail(ExitCode.Usage, `Can't read ${name}: ${String(error)}`);
    }
  }
  return ok(readLogLines(texts.join("\n")));
}

function showJobSummary(logs: LogLines, jobId: string): CommandResult {
  const summary = summarizeJob(logs.lines, jobId);
  const { damaged } = logs;
  const note = damaged.length === 0
    ? ""
    : `\n${damaged.length} damaged lines skipped, the first is line ` +
      `${damaged[0]}`;
  return ok({
    json: { ...summary, damagedLines: damaged },
    text: formatJobSummary(summary) + note,
  });
}

function formatJobSummary({ jobId, fate, cause, lines }: JobSummary): string {
  const startMs = lines[0]?.timeMs ?? 0;
  return [
    `job ${jobId}: ${fate}`,
    `cause: ${cause}`,
    ...lines.map((line) => formatLine(line, startMs)),
  ].join("\n");
}

function formatLine(
  { timeMs, node, message, fields }: LogLine,
  startMs: number,
): string {
  const after = `+${timeMs - startMs} ms`.padStart(11);
  const pairs = Object.entries(fields)
    .map(([name, value]) => `${name}=${value}`);
  return [after, node, message, ...pairs].join("  ");
}

function formatBreakdown(
  rows: readonly Breakdown[],
  grouping: Grouping,
): string {
  const parts = Object.values(TimePart);
  const table = [
    [grouping, "jobs", "open", "mean ms", ...parts],
    ...rows.map(({ name, jobs, open, totalMs, meanMs }) => [
      name,
      String(jobs),
      String(open),
      totalMs.toFixed(0),
      ...parts.map((part) => meanMs[part].toFixed(0)),
    ]),
  ];
  const widths = table[0]!.map((_, column) =>
    Math.max(...table.map((row) => row[column]!.length))
  );
  return table.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}
