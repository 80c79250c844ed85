import {
  ConfigurationSection,
  inventorySchema,
  rulesSchema,
} from "@mustardweir/model";
import { err, ok, Result } from "neverthrow";
import { type CliError, ExitCode, fail } from "./cli_error.ts";
import { readDocuments, type SourceDocument } from "./source_document.ts";

/** A section of the configuration, read from a file. */
export interface SectionFile {
  readonly section: ConfigurationSection.Inventory | ConfigurationSection.Rules;
  /** Valid according to the section's schema. */
  readonly body: unknown;
  readonly source: SourceDocument;
}

/**
 * Reads sections from YAML or JSON files. A document with the field
 * `availabilityZones` is an inventory, one with `teams` contains the rules.
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
    .map((sections) => sections.flat().sort(compareSections))
    .andThen(rejectDuplicates);
}

function readSectionFile(path: string): Result<SectionFile[], CliError> {
  return readDocuments(path).andThen((documents) =>
    Result.combine(documents.map(toSection))
  );
}

function toSection(source: SourceDocument): Result<SectionFile, CliError> {
  const fields = source.value instanceof Object ? source.value : {};
  if ("availabilityZones" in fields) {
    const section = ConfigurationSection.Inventory as const;
    return source.check(inventorySchema)
      .map((body) => ({ section, body, source }));
  }
  if ("teams" in fields) {
    const section = ConfigurationSection.Rules as const;
    return source.check(rulesSchema)
      .map((body) => ({ section, body, source }));
  }
  return fail(
    ExitCode.Usage,
    `${source.path}: neither an inventory (availabilityZones) nor rules (teams)`,
  );
}

function rejectDuplicates(
  sections: SectionFile[],
): Result<SectionFile[], CliError> {
  const names = sections.map(({ section }) => section);
  const duplicate = names.find((name, index) => names.indexOf(name) < index);
  return duplicate === undefined
    ? ok(sections)
    : err({ exitCode: ExitCode.Usage, message: `${duplicate} is given twice` });
}

/** The inventory comes first: rules may refer to items that it adds. */
function compareSections(a: SectionFile, b: SectionFile): number {
  return a.section < b.section ? -1 : 1;
}
