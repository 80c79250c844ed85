import { isIP } from "node:net";
import {
  Command,
  CommanderError,
  InvalidArgumentError,
  Option,
} from "commander";
import { err, ok, type Result } from "neverthrow";
import { type FaultSettings, MAX_DELAY_MS } from "./faults.ts";
import type { ServerOptions } from "./server.ts";

const ENV_PREFIX = "MUSTARDWEIR_PLATFORM_";

/** The reason to exit without serving, and the exit code. */
export interface SettingsError {
  /** Empty when the help was requested and has been printed. */
  readonly message: string;
  readonly exitCode: number;
}

interface Address {
  readonly host: string;
  readonly port: number;
}

interface Flags extends FaultSettings {
  readonly listen: Address;
  readonly seed: number;
  readonly listLagMs: number;
}

/**
 * Reads the settings from flags and environment variables.
 *
 * @example
 * ```ts
 * const settings = readSettings(["--listen", "127.0.0.1:0"]);
 * ```
 */
export function readSettings(
  args: readonly string[],
): Result<ServerOptions, SettingsError> {
  const command = createCommand();
  try {
    command.parse(args, { from: "user" });
  } catch (cause) {
    return err(toSettingsError(cause));
  }
  const { listen, seed, listLagMs, ...faults } = command.opts<Flags>();
  return ok({ ...listen, seed, listLagMs, faults });
}

function createCommand(): Command {
  const command = new Command("mustardweir-platform")
    .description("Stand-in for the platform: table, objects, instance list")
    .exitOverride()
    .configureOutput({ outputError: () => {} })
    .showSuggestionAfterError(false);
  for (const option of createOptions()) {
    command.addOption(option);
  }
  return command;
}

function createOptions(): readonly Option[] {
  return [
    option(
      "--listen <host:port>",
      "address to listen on; port 0 takes any free port",
    )
      .argParser(parseAddress)
      .default({ host: "127.0.0.1", port: 7070 }, "127.0.0.1:7070"),
    option("--seed <number>", "seed of the random choice of affected writes")
      .argParser(parseWholeNumber)
      .default(1),
    option("--list-lag-ms <ms>", "lag of the instance list")
      .argParser(parseWholeNumber)
      .default(1_000),
    option("--slow-ms <ms>", "delay of each response")
      .argParser(parseWholeNumber)
      .default(0),
    option("--down [boolean]", "refuse every request")
      .argParser(parseBoolean)
      .default(false),
    option("--silent [boolean]", "respond to no request")
      .argParser(parseBoolean)
      .default(false),
    option(
      "--lose-answers <fraction>",
      "fraction of writes whose response is lost",
    )
      .argParser(parseFraction)
      .default(0),
    option(
      "--late-writes <fraction>",
      "fraction of writes that take effect late",
    )
      .argParser(parseFraction)
      .default(0),
    option("--late-ms <ms>", "delay of late writes")
      .argParser(parseWholeNumber)
      .default(1_000),
  ];
}

function option(flags: string, description: string): Option {
  const created = new Option(flags, description);
  const name = created.name().toUpperCase().replaceAll("-", "_");
  return created.env(`${ENV_PREFIX}${name}`);
}

function parseAddress(value: string): Address {
  const [, bracketed, plain, digits] =
    /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(value) ?? [];
  const host = bracketed ?? plain ?? "";
  const port = Number(digits);
  if (isIP(host) === 0 || port > 65_535) {
    throw new InvalidArgumentError("Expected an IP number and port");
  }
  return { host, port };
}

function parseWholeNumber(value: string): number {
  if (!/^\d+$/.test(value) || Number(value) > MAX_DELAY_MS) {
    throw new InvalidArgumentError(
      `Expected a whole number from 0 to ${MAX_DELAY_MS}`,
    );
  }
  return Number(value);
}

function parseFraction(value: string): number {
  const fraction = Number(value);
  if (value.trim() === "" || !(fraction >= 0 && fraction <= 1)) {
    throw new InvalidArgumentError("Expected a fraction from 0 to 1");
  }
  return fraction;
}

function parseBoolean(value: string): boolean {
  if (value !== "true" && value !== "false") {
    throw new InvalidArgumentError("Expected true or false");
  }
  return value === "true";
}

function toSettingsError(cause: unknown): SettingsError {
  if (!(cause instanceof CommanderError)) {
    throw cause;
  }
  return cause.exitCode === 0
    ? { message: "", exitCode: 0 }
    : { message: cause.message, exitCode: 2 };
}
