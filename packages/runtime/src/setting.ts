import type { z } from "zod";

const ENVIRONMENT_PREFIX = "MUSTARDWEIR_";

/** A setting of a binary; its flag, check and documentation follow from it. */
export interface SettingDefinition<Value> {
  /** Lower-case words joined by dashes, from which flag and variable derive. */
  readonly name: string;
  /** Placeholder of the value in the help, such as `<host:port>`. */
  readonly value: string;
  /** One line for the help, without a full stop. */
  readonly description: string;
  /** The default, as text. */
  readonly default?: string;
  /**
   * Checks the text and converts it to the value. A schema that accepts
   * `undefined` makes the setting optional.
   */
  readonly schema: z.ZodType<Value>;
}

/** The settings of a binary, by their property names in the code. */
export type SettingDefinitions = Readonly<
  Record<string, SettingDefinition<unknown>>
>;

/** The types of the values of `Definitions`. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: Definitions[Name] extends
    SettingDefinition<infer Value> ? Value : never;
};

/**
 * Defines a setting and infers the type of its value.
 *
 * @example
 * ```ts
 * const SETTINGS = {
 *   listen: defineSetting({
 *     name: "listen",
 *     value: "<host:port>",
 *     description: "address to listen on for callers",
 *     default: "127.0.0.1:7400",
 *     schema: hostPortSetting,
 *   }),
 * };
 * ```
 */
export function defineSetting<Value>(
  definition: SettingDefinition<Value>,
): SettingDefinition<Value> {
  return definition;
}

/**
 * Returns the flag of a setting, such as `--link-listen`.
 *
 * @example
 * ```ts
 * settingFlag(COMMON_SETTINGS.logLevel); // "--log-level"
 * ```
 */
export function settingFlag({ name }: SettingDefinition<unknown>): string {
  return `--${name}`;
}

/**
 * Returns the environment variable of a setting, such as
 * `MUSTARDWEIR_LINK_LISTEN`.
 *
 * @example
 * ```ts
 * settingVariable(COMMON_SETTINGS.logLevel); // "MUSTARDWEIR_LOG_LEVEL"
 * ```
 */
export function settingVariable({ name }: SettingDefinition<unknown>): string {
  return ENVIRONMENT_PREFIX + name.toUpperCase().replaceAll("-", "_");
}
