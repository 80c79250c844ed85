import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import type { CliError } from "../cli_error.ts";
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
    addExamples(top, ["top", "top --interval-ms 5000 --count 3"]);
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
  let view: Result<View, CliError> = ok({ text: "" });
  for (let drawn = 0; drawn < count && !pause.hasEnded; drawn += 1) {
    view = await readView(client);
    if (view.isErr() && !view.error.mayRetry) {
      break;
    }
    const text = view.match(({ text }) => text, ({ message }) => message);
    context.print(`${CLEAR_SCREEN}${text}`);
    if (drawn + 1 < count) {
      await pause.wait(intervalMs);
    }
  }
  undo();
  return view.isErr() && !pause.hasEnded
    ? err(view.error)
    : ok({ json: undefined, text: "" });
}

interface View {
  readonly text: string;
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
    return { text: withStamp(text, shares) };
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
