import { KeyRole } from "@mustardweir/model";
import { type Command, InvalidArgumentError, Option } from "commander";
import { ExitCode, fail } from "../cli_error.ts";
import { readConfiguration } from "../edits.ts";
import { formatKeys, type KeyWithoutHash } from "../format.ts";
import {
  addExamples,
  addIfMatch,
  type CommandContext,
  CommandGroup,
  registerCommandGroup,
  runEdit,
} from "./command_group.ts";

/** Milliseconds in each unit of a duration. */
const UNIT_MS: Readonly<Record<string, number>> = {
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

interface GrantOptions {
  readonly ifMatch?: number;
  readonly role: KeyRole;
  readonly team?: string;
  readonly expires?: number;
}

/** The commands `keys grant`, `keys withdraw` and `keys list`. */
export class KeyCommands extends CommandGroup {
  override register(program: Command, context: CommandContext): void {
    const keys = program.command("keys")
      .description("grant, withdraw and list keys");
    this.#addGrant(keys, context);
    this.#addWithdraw(keys, context);
    this.#addList(keys, context);
  }

  #addGrant(keys: Command, context: CommandContext): void {
    const grant = addIfMatch(keys.command("grant <id>"))
      .description("create a key; it is shown once and stored as a hash")
      .addOption(
        new Option("--role <role>").choices(Object.values(KeyRole))
          .default(KeyRole.Submitter),
      )
      .option("--team <team>", "the team of a submitter")
      .option(
        "--expires <time>",
        "ISO 8601 time, or a duration such as 30d",
        parseTime,
      )
      .action((id: string, options: GrantOptions) => {
        const { role, team, expires: expiresAtMs, ifMatch } = options;
        const hasTeam = team !== undefined;
        if (hasTeam !== (role === KeyRole.Submitter)) {
          return context.show(fail(
            ExitCode.Usage,
            hasTeam
              ? "Only a submitter's key has a team; leave out --team or --role"
              : "A submitter's key requires a team: use --team",
          ));
        }
        const body = { id, role, team, expiresAtMs };
        return runEdit(context, {
          call: { method: "POST", path: "/v1/config/keys", body },
          ifMatch,
          done: `key ${id}`,
        });
      });
    addExamples(grant, [
      "keys grant imaging-2 --team imaging --expires 30d",
      "keys grant night-shift --role viewer",
    ]);
  }

  #addWithdraw(keys: Command, context: CommandContext): void {
    const withdraw = addIfMatch(keys.command("withdraw <id>"))
      .description("invalidate a key")
      .action((id: string, options: { readonly ifMatch?: number }) => {
        const path = `/v1/config/keys/${encodeURIComponent(id)}`;
        return runEdit(context, {
          call: { method: "DELETE", path },
          ifMatch: options.ifMatch,
          done: `withdrawal of ${id}`,
        });
      });
    addExamples(withdraw, ["keys withdraw imaging-2"]);
  }

  #addList(keys: Command, context: CommandContext): void {
    const list = keys.command("list")
      .description("list keys without their secrets")
      .action(() =>
        context.runWithClient(async (client) => {
          const reply = await readConfiguration(client);
          return reply.map((configuration) => ({
            json: {
              keys: configuration.keys,
              asOf: configuration.asOf,
              configurationVersion: configuration.configurationVersion,
            },
            text: formatKeys(configuration.keys as readonly KeyWithoutHash[]),
            stamp: configuration,
          }));
        })
      );
    addExamples(list, ["keys list", "--json keys list"]);
  }
}

registerCommandGroup(new KeyCommands());

function parseTime(text: string): number {
  const duration = /^(\d{1,6})([mhd])$/.exec(text);
  if (duration !== null) {
    return Date.now() + Number(duration[1]) * (UNIT_MS[duration[2] ?? ""] ?? 0);
  }
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new InvalidArgumentError("It must be a time such as 2030-01-31");
  }
  return time;
}
