import { readFileSync } from "node:fs";
import {
  ConfigurationSection,
  type Inventory,
  inventorySchema,
  type JobSpec,
  jobSpecSchema,
  type Rules,
  rulesSchema,
} from "@mustardweir/model";
import { err, ok, Result } from "neverthrow";
import { parseAllDocuments } from "yaml";
import type { z } from "zod";
import { type CliError, ExitCode, fail } from "./cli_error.ts";

/** A section as a file holds it. */
export type SectionFile =
  | {
    readonly section: ConfigurationSection.Inventory;
    readonly body: Inventory;
  }
  | { readonly section: ConfigurationSection.Rules; readonly body: Rules };

/**
 * Reads the sections in YAML or JSON files. A document with the field
 * `availabilityZones` is an inventory, one with `teams` holds the rules.
 *
 * @example
 * ```ts
 * const sections = readSections(["fleet.yaml", "rules.yaml"]);
 * ```
 */
export function readSections(
  paths: readonly string[],
): Result<SectionFile[], CliError> {
  return Result.combine(paths.map(readSectionFile))
    .map((sections) => sections.flat().sort(inventoryFirst))
    .andThen(refuseDoubled);
}

/** Reads a job from a YAML or JSON file. */
export function readJob(path: string): Result<JobSpec, CliError> {
  return readDocuments(path).andThen(([document]) =>
    check(jobSpecSchema, document, path)
  );
}

function readSectionFile(path: string): Result<SectionFile[], CliError> {
  return readDocuments(path).andThen((documents) =>
    Result.combine(documents.map((document) => toSection(document, path)))
  );
}

function toSection(
  document: unknown,
  path: string,
): Result<SectionFile, CliError> {
  const fields = document instanceof Object ? document : {};
  if ("availabilityZones" in fields) {
    const section = ConfigurationSection.Inventory as const;
    return check(inventorySchema, document, path)
      .map((body) => ({ section, body }));
  }
  if ("teams" in fields) {
    const section = ConfigurationSection.Rules as const;
    return check(rulesSchema, document, path)
      .map((body) => ({ section, body }));
  }
  return fail(
    ExitCode.Usage,
    `${path}: neither an inventory (availabilityZones) nor rules (teams)`,
  );
}

function readDocuments(path: string): Result<unknown[], CliError> {
  return readText(path).andThen((text) => {
    const documents = [...parseAllDocuments(text)];
    const fault = documents.flatMap((document) => document.errors)[0];
    return fault
      ? fail<unknown[]>(
        ExitCode.Usage,
        `${path}: ${fault.message.split("\n")[0]}`,
      )
      : ok(documents.map((document) => document.toJS() as unknown));
  });
}

function readText(path: string): Result<string, CliError> {
  try {
    return ok(readFileSync(path, "utf8"));
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? "unknown error";
    return fail(ExitCode.Usage, `${path}: can't be read (${code})`);
  }
}

function check<Value>(
  schema: z.ZodType<Value>,
  document: unknown,
  path: string,
): Result<Value, CliError> {
  const parsed = schema.safeParse(document);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const place = issue?.path.join(".") || "document";
  return fail(ExitCode.Usage, `${path}: ${place}: ${issue?.message}`);
}

function refuseDoubled(
  sections: SectionFile[],
): Result<SectionFile[], CliError> {
  const names = sections.map(({ section }) => section);
  const doubled = names.find((name, index) => names.indexOf(name) < index);
  return doubled === undefined
    ? ok(sections)
    : err({ exitCode: ExitCode.Usage, message: `${doubled} is given twice` });
}

/** Rules may name what only the new inventory has. */
function inventoryFirst(a: SectionFile, b: SectionFile): number {
  return a.section < b.section ? -1 : 1;
}
