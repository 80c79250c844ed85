import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { type CliError, errorJson } from "../cli_error.ts";
import type { EntryClient } from "../entry_client.ts";
import {
  type FleetReply,
  formatMissing,
  listFleet,
  listTeams,
  type TeamsReply,
} from "../format.ts";
import {
  addExamples,
  type CommandContext,
  CommandGroup,
  parseInteger,
  registerCommandGroup,
  type ShownResult,
} from "./command_group.ts";
import { withStamp } from "./job_commands.ts";

const DEFAULT_INTERVAL_MS = 2_000;

/** Clears the screen and goes to its first line. */
const CLEAR_SCREEN = "\u001b[2J\u001b[H";

interface TopOptions {
  readonly intervalMs: number;
  readonly count?: number;
}

/** `top`. */
export class TopCommand extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const top = program.command("top")
      .description("show fleet and teams again and again; ctrl-c ends it")
      .option(
        "--interval-ms <ms>",
        "time between views",
        parseInteger,
        DEFAULT_INTERVAL_MS,
      )
      .option("--count <n>", "end after so many views", parseInteger)
      .action((options: TopOptions) =>
        context.serve((client) => watch(client, context, options))
      );
    addExamples(top, [
      "top",
      "top --interval-ms 5000 --count 3",
      "--json top --count 1",
    ]);
  }
}

registerCommandGroup(new TopCommand());

/** Draws views until ctrl-c or the last one; an outage is shown, not fatal. */
async function watch(
  client: EntryClient,
  context: CommandContext,
  { intervalMs, count = Infinity }: TopOptions,
): Promise<ShownResult> {
  const pause = new Pause();
  const undo = context.onInterrupt(() => pause.end());
  let view: Result<View, CliError> = ok({ json: undefined, text: "" });
  for (let drawn = 0; drawn < count && !pause.hasEnded; drawn += 1) {
    view = await readView(client);
    if (view.isErr() && !view.error.mayRetry) {
      break;
    }
    context.print(formatView(view, { context, isFirst: drawn === 0 }));
    if (drawn + 1 < count) {
      await pause.wait(intervalMs);
    }
  }
  undo();
  return view.isErr() && !pause.hasEnded
    ? err(view.error)
    : ok({ json: undefined, text: "" });
}

/** One look at fleet and teams. */
interface View {
  readonly json: unknown;
  readonly text: string;
}

interface FormatViewOptions {
  readonly context: CommandContext;
  readonly isFirst: boolean;
}

/** A line of JSON, or text: on a clear screen, or below the last view. */
function formatView(
  view: Result<View, CliError>,
  { context, isFirst }: FormatViewOptions,
): string {
  if (context.asJson) {
    return JSON.stringify(view.match(({ json }) => json, errorJson));
  }
  const text = view.match(({ text }) => text, ({ message }) => message);
  if (context.isTerminal) {
    return `${CLEAR_SCREEN}${text}`;
  }
  return isFirst ? text : `\n${text}`;
}

async function readView(client: EntryClient): Promise<Result<View, CliError>> {
  const fleet = await client.call({ method: "GET", path: "/v1/fleet" });
  if (fleet.isErr()) {
    return err(fleet.error);
  }
  const teams = await client.call({ method: "GET", path: "/v1/teams" });
  return teams.map((json) => {
    const shares = json as TeamsReply;
    const text = [
      ...listFleet(fleet.value as FleetReply),
      "",
      ...listTeams(shares),
      ...formatMissing(shares),
    ].join("\n");
    return {
      json: { fleet: fleet.value, teams: shares },
      text: withStamp(text, shares),
    };
  });
}

/** A wait that ctrl-c cuts short. */
class Pause {
  #hasEnded = false;
  #wake: () => void = () => {};

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  wait(ms: number): Promise<void> {
    if (this.#hasEnded) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  end(): void {
    this.#hasEnded = true;
    this.#wake();
  }
}
