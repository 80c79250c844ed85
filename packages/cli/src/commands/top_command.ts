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
  type CommandResult,
  parseInteger,
  registerCommandGroup,
} from "./command_group.ts";
import { withStamp } from "./job_commands.ts";

const DEFAULT_INTERVAL_MS = 2_000;

/** ANSI escape codes: clear the screen, move the cursor to the top left. */
const CLEAR_SCREEN = "\u001b[2J\u001b[H";

interface TopOptions {
  readonly intervalMs: number;
  readonly count?: number;
}

/** The command `top`. */
export class TopCommand extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const top = program.command("top")
      .description("show fleet and teams periodically until ctrl-c")
      .option(
        "--interval-ms <ms>",
        "time between updates, in milliseconds",
        parseInteger,
        DEFAULT_INTERVAL_MS,
      )
      .option("--count <n>", "end after this number of updates", parseInteger)
      .action((options: TopOptions) =>
        context.runWithClient((client) =>
          printSnapshots(client, context, options)
        )
      );
    addExamples(top, [
      "top",
      "top --interval-ms 5000 --count 3",
      "--json top --count 1",
    ]);
  }
}

registerCommandGroup(new TopCommand());

/**
 * Prints snapshots until ctrl-c or until `count` are printed. Failures that may
 * be temporary are printed too and don't end the command.
 */
async function printSnapshots(
  client: EntryClient,
  context: CommandContext,
  { intervalMs, count = Infinity }: TopOptions,
): Promise<CommandResult> {
  const delay = new InterruptibleDelay();
  const undo = context.onInterrupt(() => delay.end());
  let snapshot: Result<Snapshot, CliError> = ok({ json: undefined, text: "" });
  for (let printed = 0; printed < count && !delay.hasEnded; printed += 1) {
    snapshot = await readSnapshot(client);
    if (snapshot.isErr() && !snapshot.error.mayRetry) {
      break;
    }
    context.print(
      formatSnapshot(snapshot, { context, isFirst: printed === 0 }),
    );
    if (printed + 1 < count) {
      await delay.wait(intervalMs);
    }
  }
  undo();
  return snapshot.isErr() && !delay.hasEnded
    ? err(snapshot.error)
    : ok({ json: undefined, text: "" });
}

/** The state of fleet and teams at one time. */
interface Snapshot {
  readonly json: unknown;
  readonly text: string;
}

interface FormatSnapshotOptions {
  readonly context: CommandContext;
  readonly isFirst: boolean;
}

/**
 * Returns a line of JSON, or text. The text clears the screen of a terminal;
 * elsewhere an empty line separates it from the previous snapshot.
 */
function formatSnapshot(
  snapshot: Result<Snapshot, CliError>,
  { context, isFirst }: FormatSnapshotOptions,
): string {
  if (context.asJson) {
    return JSON.stringify(snapshot.match(({ json }) => json, errorJson));
  }
  const text = snapshot.match(({ text }) => text, ({ message }) => message);
  if (context.isTerminal) {
    return `${CLEAR_SCREEN}${text}`;
  }
  return isFirst ? text : `\n${text}`;
}

async function readSnapshot(
  client: EntryClient,
): Promise<Result<Snapshot, CliError>> {
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

/** A delay that can be ended early, which ctrl-c does. */
class InterruptibleDelay {
  #hasEnded = false;
  #finishWait: () => void = () => {};

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  wait(ms: number): Promise<void> {
    if (this.#hasEnded) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#finishWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  end(): void {
    this.#hasEnded = true;
    this.#finishWait();
  }
}
