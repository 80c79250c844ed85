/** Renders `docs/SETTINGS.md` from the definitions of the flags. */
import { spawnSync } from "node:child_process";
import { ENTRY_SETTINGS } from "@mustardweir/entry";
import {
  type SettingDefinition,
  type SettingDefinitions,
  settingFlag,
  settingVariable,
} from "@mustardweir/runtime";
import { SCHEDULER_SETTINGS } from "@mustardweir/scheduler";
import { rootPath } from "./page.ts";

/** Path of the page from the root of the repository. */
export const SETTINGS_PAGE = "docs/SETTINGS.md";

/** The table row of one setting. */
interface SettingRow {
  /** The flag and the placeholder of its value. */
  readonly flag: string;
  /** Name of the environment variable; empty if there is none. */
  readonly variable: string;
  /** The default, or "required"; empty if there is neither. */
  readonly byDefault: string;
  readonly meaning: string;
}

const INTRODUCTION = `# Settings

This page is generated from the definitions of the flags. A test fails when it
is out of date. To write it again:

\`\`\`sh
node --import=tsx packages/demo/src/docs/write_settings_page.ts
\`\`\`

Each setting is a flag and an environment variable. A flag goes before its
variable, and that before the default. A wrong setting ends the process with
exit code 2 and one line that names the flag and the variable. \`--help\` of each
binary prints the same list.

Durations are a number with a unit, such as \`500ms\`, \`2s\`, \`1m\` or \`1h\`; without
a unit they are milliseconds. Port 0 takes any free port; the line that the
process prints when it is ready names it.`;

/**
 * Renders the whole page.
 *
 * @example
 * ```ts
 * writeFileSync("docs/SETTINGS.md", renderSettingsPage());
 * ```
 */
export function renderSettingsPage(): string {
  const sections = [
    ["mustardweir-entry", createRows(ENTRY_SETTINGS)],
    ["mustardweir-scheduler", createRows(SCHEDULER_SETTINGS)],
    ["mustardweir", parseHelpRows("cli")],
    ["mustardweir-platform (stand-in)", parseHelpRows("platform-stub")],
    ["mustardweir-worker (stand-in)", parseHelpRows("worker")],
  ] as const;
  return [
    INTRODUCTION,
    ...sections.map(([title, rows]) => `## ${title}\n\n${renderTable(rows)}`),
  ].join("\n\n") + "\n";
}

function createRows(definitions: SettingDefinitions): SettingRow[] {
  return Object.values(definitions).map(createRow);
}

function createRow(definition: SettingDefinition<unknown>): SettingRow {
  const isOptional = definition.schema.safeParse(undefined).success;
  const byDefault = definition.default ?? (isOptional ? "" : "required");
  return {
    flag: `${settingFlag(definition)} ${definition.value}`,
    variable: settingVariable(definition),
    byDefault,
    meaning: definition.description,
  };
}

/** Parses the options from the `--help` of a binary without definitions. */
function parseHelpRows(name: string): SettingRow[] {
  const main = rootPath(`packages/${name}/src/main.ts`);
  const { stdout } = spawnSync(
    process.execPath,
    ["--import=tsx", main, "--help"],
    { cwd: rootPath("."), encoding: "utf8" },
  );
  const options = /^Options:\n(.*?)(?:\n\n|$(?![\s\S]))/ms.exec(stdout)?.[1];
  return (options ?? "")
    .replaceAll(/\n {10,}/g, " ")
    .split("\n")
    .flatMap(parseOption)
    .filter(({ flag }) => flag !== "-h, --help");
}

function parseOption(line: string): SettingRow[] {
  const match = /^ {2}(\S.*?) {2,}(.*?)(?: \(([^()]*)\))?$/.exec(line);
  if (match === null) {
    return [];
  }
  const [, flag = "", meaning = "", notes = ""] = match;
  const byDefault = /default: ([^,]+)/.exec(notes)?.[1] ?? "";
  return [{
    flag,
    variable: /env: (\w+)/.exec(notes)?.[1] ?? "",
    byDefault: byDefault.replaceAll(/["[\]]/g, ""),
    meaning,
  }];
}

function renderTable(rows: readonly SettingRow[]): string {
  const cells = [
    ["flag", "variable", "default", "meaning"],
    ...rows.map(({ flag, variable, byDefault, meaning }) => [
      code(flag),
      code(variable),
      byDefault === "required" ? byDefault : code(byDefault),
      meaning,
    ]),
  ];
  const widths = [0, 1, 2, 3].map((column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0))
  );
  const lines = cells.map((row) =>
    `| ${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(" | ")} |`
  );
  const rule = `| ${widths.map((width) => "-".repeat(width)).join(" | ")} |`;
  return [lines[0], rule, ...lines.slice(1)].join("\n");
}

function code(text: string): string {
  return text === "" ? "" : `\`${text}\``;
}
