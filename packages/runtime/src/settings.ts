import { Command, CommanderError } from "commander";
import { err, ok, Result } from "neverthrow";
import {
  defineSetting,
  type SettingDefinition,
  type SettingDefinitions,
  settingFlag,
  type SettingValues,
  settingVariable,
} from "./setting.ts";
import {
  durationSetting,
  idSetting,
  logFormatSetting,
  logLevelSetting,
  peersSetting,
  textSetting,
} from "./setting_schemas.ts";
import { z } from "zod";

/** Exit code of a process whose settings are wrong. */
export const EXIT_BAD_SETTINGS = 2;

/** Why settings could not be read. */
export enum SettingErrorKind {
  /** The command line itself is wrong. */
  BadArguments = "bad-arguments",
  /** A value is missing or does not pass its check. */
  BadValue = "bad-value",
  /** Not a fault: the help was asked for and has been printed. */
  HelpShown = "help-shown",
}

/** Settings that could not be read. */
export interface SettingError {
  readonly kind: SettingErrorKind;
  /** One line that names the flag and the fault; empty after the help. */
  readonly message: string;
}

/** Where settings are read from, and what the help says. */
export interface ParseSettingsOptions {
  /** Name of the binary, for the help. */
  readonly command: string;
  /** One line on what the binary does, for the help. */
  readonly description?: string;
  /** Arguments without interpreter and script; the process' by default. */
  readonly argv?: readonly string[];
  /** The process' environment by default. */
  readonly env?: Readonly<Record<string, string | undefined>>;
}

/** Settings that every long-running binary has. */
export const COMMON_SETTINGS = {
  logLevel: defineSetting({
    name: "log-level",
    value: "<level>",
    description: "lowest level of log lines: error, warn, info or debug",
    default: "info",
    schema: logLevelSetting,
  }),
  logFormat: defineSetting({
    name: "log-format",
    value: "<format>",
    description: "form of log lines: text or json",
    default: "text",
    schema: logFormatSetting,
  }),
  stopTimeoutMs: defineSetting({
    name: "stop-timeout",
    value: "<duration>",
    description: "longest time of a planned stop",
    default: "10s",
    schema: durationSetting,
  }),
};

/** Settings of the nodes: entries and schedulers. */
export const NODE_SETTINGS = {
  nodeId: defineSetting({
    name: "node-id",
    value: "<id>",
    description: "name of this node, unlike that of any other",
    schema: idSetting,
  }),
  availabilityZone: defineSetting({
    name: "availability-zone",
    value: "<name>",
    description: "availability zone that this node runs in",
    schema: idSetting,
  }),
  peers: defineSetting({
    name: "peers",
    value: "<id=host:port,...>",
    description: "schedulers known at the start",
    default: "",
    schema: peersSetting,
  }),
  platform: defineSetting({
    name: "platform",
    value: "<url>",
    description: "base URL of the platform's table, objects and list",
    schema: z.url({ protocol: /^https?$/, error: "must be an http URL" }),
  }),
  ...COMMON_SETTINGS,
  drainDelayMs: defineSetting({
    name: "drain-delay",
    value: "<duration>",
    description: "time between the loss of readiness and a planned stop",
    default: "0s",
    schema: durationSetting,
  }),
  linkCert: defineSetting({
    name: "link-cert",
    value: "<file>",
    description: "PEM certificate of this node for links; plain without",
    schema: textSetting.optional(),
  }),
  linkKey: defineSetting({
    name: "link-key",
    value: "<file>",
    description: "PEM key of the certificate for links",
    schema: textSetting.optional(),
  }),
  linkCa: defineSetting({
    name: "link-ca",
    value: "<file>",
    description: "PEM certificates that sign those of all nodes",
    schema: textSetting.optional(),
  }),
};

/**
 * Reads and checks all settings of a binary. A flag goes before the
 * environment variable, and that before the default.
 *
 * @example
 * ```ts
 * const settings = parseSettings(SETTINGS, { command: "mustardweir-entry" })
 *   .match((values) => values, exitOnSettingError);
 * ```
 */
export function parseSettings<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  options: ParseSettingsOptions,
): Result<SettingValues<Definitions>, SettingError> {
  const { env = process.env } = options;
  return readFlags(definitions, options).andThen((flags) => {
    const values = Object.entries(definitions).map(([key, definition]) =>
      readValue(definition, { flag: flags.get(key), env })
        .map((value) => [key, value] as const)
    );
    return Result.combine(values).map((entries) =>
      Object.fromEntries(entries) as SettingValues<Definitions>
    );
  });
}

/**
 * Prints the error as one line and ends the process; for `main` only.
 *
 * @example
 * ```ts
 * const settings = parseSettings(definitions, { command: "mustardweir-entry" })
 *   .match((values) => values, exitOnSettingError);
 * ```
 */
export function exitOnSettingError(error: SettingError): never {
  if (error.kind === SettingErrorKind.HelpShown) {
    process.exit(0);
  }
  process.stderr.write(`${error.message}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

type Flags = ReadonlyMap<string, string>;

function readFlags(
  definitions: SettingDefinitions,
  options: ParseSettingsOptions,
): Result<Flags, SettingError> {
  const { argv = process.argv.slice(2) } = options;
  const command = createCommand(definitions, options);
  try {
    command.parse([...argv], { from: "user" });
  } catch (error) {
    return err(toSettingError(error));
  }
  const given = command.opts<Record<string, string>>();
  const flags = Object.entries(definitions).flatMap(([key, definition]) => {
    const text = given[attributeName(definition)];
    return text === undefined ? [] : [[key, text] as const];
  });
  return ok(new Map(flags));
}

function createCommand(
  definitions: SettingDefinitions,
  options: ParseSettingsOptions,
): Command {
  const command = new Command(options.command)
    .description(options.description ?? "")
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({ writeErr: () => {} });
  for (const definition of Object.values(definitions)) {
    command.option(
      `${settingFlag(definition)} ${definition.value}`,
      describe(definition),
    );
  }
  return command;
}

function describe(definition: SettingDefinition<unknown>): string {
  const notes = [`env: ${settingVariable(definition)}`];
  if (definition.default !== undefined) {
    notes.unshift(`default: ${definition.default}`);
  }
  return `${definition.description} (${notes.join(", ")})`;
}

interface ValueSources {
  readonly flag: string | undefined;
  readonly env: Readonly<Record<string, string | undefined>>;
}

function readValue<Value>(
  definition: SettingDefinition<Value>,
  { flag, env }: ValueSources,
): Result<Value, SettingError> {
  const text = flag ?? env[settingVariable(definition)] ?? definition.default;
  const checked = definition.schema.safeParse(text);
  if (checked.success) {
    return ok(checked.data);
  }
  const fault = text === undefined
    ? "is required"
    : `${checked.error.issues[0]?.message ?? "is wrong"}, got ${
      JSON.stringify(text)
    }`;
  return err({
    kind: SettingErrorKind.BadValue,
    message: `${settingFlag(definition)} (${
      settingVariable(definition)
    }) ${fault}`,
  });
}

/** The key under which commander keeps an option. */
function attributeName({ name }: SettingDefinition<unknown>): string {
  return name.replaceAll(/-([a-z0-9])/g, (_dash, char) => char.toUpperCase());
}

function toSettingError(error: unknown): SettingError {
  if (!(error instanceof CommanderError)) {
    throw error;
  }
  if (error.exitCode === 0) {
    return { kind: SettingErrorKind.HelpShown, message: "" };
  }
  const message = error.message.split("\n")[0] ?? "";
  return { kind: SettingErrorKind.BadArguments, message };
}
