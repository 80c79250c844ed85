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
import * as z from "zod";

/** Exit code of a process with invalid settings. */
export const EXIT_BAD_SETTINGS = 2;

/** Why settings could not be read. */
export enum SettingErrorKind {
  /** The command line can't be parsed. */
  BadArguments = "bad-arguments",
  /** A value is missing or invalid. */
  BadValue = "bad-value",
  /** Not an error: the help was requested and has been printed. */
  HelpShown = "help-shown",
}

/** Settings that could not be read. */
export interface SettingError {
  readonly kind: SettingErrorKind;
  /** One line with the flag and the issue; empty after the help. */
  readonly message: string;
}

/** The sources of settings and the texts of the help. */
export interface ParseSettingsOptions {
  /** Name of the binary, for the help. */
  readonly command: string;
  /** One line on what the binary does, for the help. */
  readonly description?: string;
  /** Arguments after interpreter and script; those of the process by default. */
  readonly argv?: readonly string[];
  /** Environment variables; those of the process by default. */
  readonly env?: Readonly<Record<string, string | undefined>>;
}

/** Settings that every long-running binary has. */
export const COMMON_SETTINGS = {
  logLevel: defineSetting({
    name: "log-level",
    value: "<level>",
    description: "lowest level that is logged: error, warn, info or debug",
    default: "info",
    schema: logLevelSetting,
  }),
  logFormat: defineSetting({
    name: "log-format",
    value: "<format>",
    description: "format of log lines: text or json",
    default: "text",
    schema: logFormatSetting,
  }),
  stopTimeoutMs: defineSetting({
    name: "stop-timeout",
    value: "<duration>",
    description: "maximum duration of a planned stop",
    default: "10s",
    schema: durationSetting,
  }),
};

/** Settings of the nodes: entries and schedulers. */
export const NODE_SETTINGS = {
  nodeId: defineSetting({
    name: "node-id",
    value: "<id>",
    description: "id of this node, unique among all nodes",
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
    description: "schedulers to contact at the start",
    default: "",
    schema: peersSetting,
  }),
  platform: defineSetting({
    name: "platform",
    value: "<url>",
    description: "base URL of the platform's table, objects and instance list",
    schema: z.url({ protocol: /^https?$/, error: "must be an http URL" }),
  }),
  ...COMMON_SETTINGS,
  drainDelayMs: defineSetting({
    name: "drain-delay",
    value: "<duration>",
    description: "time between the end of readiness and the planned stop",
    default: "0s",
    schema: durationSetting,
  }),
  linkCert: defineSetting({
    name: "link-cert",
    value: "<file>",
    description: "PEM certificate of this node for links; no TLS if not set",
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
    description: "PEM certificates of the authorities of all nodes",
    schema: textSetting.optional(),
  }),
};

/**
 * Reads and checks all settings of a binary. A flag takes precedence over the
 * environment variable, which takes precedence over the default.
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
 * Prints the error as one line and exits with {@link EXIT_BAD_SETTINGS}, or
 * with 0 after the help. Only for use in `main`.
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
  const issue = text === undefined
    ? "is required"
    : `${checked.error.issues[0]?.message ?? "is wrong"}, got ${
      JSON.stringify(text)
    }`;
  return err({
    kind: SettingErrorKind.BadValue,
    message: `${settingFlag(definition)} (${
      settingVariable(definition)
    }) ${issue}`,
  });
}

/** Returns the property name that commander derives from a flag. */
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
