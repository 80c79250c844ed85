import type { z } from "zod";

const ENVIRONMENT_PREFIX = "MUSTARDWEIR_";

/** One setting of a binary, as data: flags, checks and pages come from it. */
export interface SettingDefinition<Value> {
  /** Lower-case words joined by dashes; names flag and variable. */
  readonly name: string;
  /** What the help shows for the value, such as `<host:port>`. */
  readonly value: string;
  /** One line, without a full stop. */
  readonly description: string;
  /** The default as it would be typed. */
  readonly default?: string;
  /**
   * Turns the text into the value. A schema that takes `undefined` makes the
   * setting optional.
   */
  readonly schema: z.ZodType<Value>;
}

/** The settings of a binary by the name that its code uses. */
export type SettingDefinitions = Readonly<
  Record<string, SettingDefinition<unknown>>
>;

/** The checked values of `Definitions`. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: Definitions[Name] extends
    SettingDefinition<infer Value> ? Value : never;
};

/**
 * Defines a setting; keeps the type of its value.
 *
 * @example
 * ```ts
 * const SETTINGS = {
 *   listen: defineSetting({
 *     name: "listen",
 *     value: "<host:port>",
 *     description: "where callers are taken",
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
 * The flag of a setting, such as `--link-listen`.
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
 * The variable of a setting, such as `MUSTARDWEIR_LINK_LISTEN`.
 *
 * @example
 * ```ts
 * settingVariable(COMMON_SETTINGS.logLevel); // "MUSTARDWEIR_LOG_LEVEL"
 * ```
 */
export function settingVariable({ name }: SettingDefinition<unknown>): string {
  return ENVIRONMENT_PREFIX + name.toUpperCase().replaceAll("-", "_");
}
