import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import { type CliError, ExitCode } from "./cli_error.ts";
import type { SectionFile } from "./config_file.ts";
import { listDifferences } from "./differences.ts";
import type { EntryCall, EntryClient } from "./entry_client.ts";
import type { Stamp } from "./format.ts";

/** Largest number of attempts of an edit that conflicts with others. */
const MAX_EDIT_ATTEMPTS = 5;

/** Largest number of changes that are listed after a conflict. */
const MAX_CHANGES_SHOWN = 20;

const SECTIONS = ["inventory", "rules", "zones", "keys"] as const;

/** The answer to an edit. */
export interface EditReply extends Stamp {
  readonly version: number;
  /** The secret of a new key; no other call returns it. */
  readonly key?: string;
}

export type ConfigurationReply = Configuration & Stamp;

/** The result of `apply` for one section. */
export interface AppliedSection {
  readonly section: string;
  readonly version: number;
  readonly changed: boolean;
}

/** The result of `apply` for all sections, with the stamp of the last answer. */
export interface ApplyResult {
  readonly list: readonly AppliedSection[];
  readonly stamp: Stamp;
}

/** Reads the current configuration; keys are without their hashes. */
export async function readConfiguration(
  client: EntryClient,
): Promise<Result<ConfigurationReply, CliError>> {
  const reply = await client.call({ method: "GET", path: "/v1/config" });
  return reply.map((json) => json as ConfigurationReply);
}

/**
 * Edits one zone or key. After a conflict with another edit it retries with the
 * new version, unless the caller specified the version.
 */
export async function editWithRetry(
  client: EntryClient,
  call: EntryCall,
  ifMatch?: number,
): Promise<Result<EditReply, CliError>> {
  for (let attempt = 1;; attempt += 1) {
    const version = await baseVersion(client, ifMatch);
    if (version.isErr()) {
      return err(version.error);
    }
    const reply = await client.call({ ...call, ifMatch: version.value });
    const mayRepeat = ifMatch === undefined && attempt < MAX_EDIT_ATTEMPTS;
    const isStale = reply.isErr() && reply.error.exitCode === ExitCode.Stale;
    if (!isStale || !mayRepeat) {
      return reply.map((json) => json as EditReply);
    }
  }
}

/** Replaces the sections that differ from the current configuration. */
export async function applySections(
  client: EntryClient,
  sections: readonly SectionFile[],
  ifMatch?: number,
): Promise<Result<ApplyResult, CliError>> {
  const base = await readConfiguration(client);
  if (base.isErr()) {
    return err(base.error);
  }
  let version = ifMatch ?? base.value.version;
  const list: AppliedSection[] = [];
  let stamp = stampOf(base.value);
  for (const file of sections) {
    const { section, body } = file;
    const changed = !isDeepStrictEqual(base.value[section], body);
    if (changed) {
      const path = `/v1/config/${section}`;
      const edit: EntryCall = { method: "PUT", path, body, ifMatch: version };
      const reply = await client.call(edit);
      if (reply.isErr()) {
        const located = addSourceLocation(reply.error, file);
        return err(await explainStale(client, located, base.value));
      }
      version = (reply.value as EditReply).version;
      stamp = stampOf(reply.value as EditReply);
    }
    list.push({ section, version, changed });
  }
  return ok({ list, stamp });
}

function stampOf({ asOf, configurationVersion }: Stamp): Stamp {
  return { asOf, configurationVersion };
}

/** Adds file and line to an issue that only the entry could detect. */
function addSourceLocation(error: CliError, file: SectionFile): CliError {
  const match = /^(\w+)\.(\S+?): (.*)$/.exec(error.message);
  if (match === null || match[1] !== file.section) {
    return error;
  }
  const path = match[2]!.split(".").map((step) =>
    /^\d+$/.test(step) ? Number(step) : step
  );
  return { ...error, message: file.source.describeIssue(path, match[3]!) };
}

/** Adds the changes that other edits made since `base` was read. */
async function explainStale(
  client: EntryClient,
  error: CliError,
  base: Configuration,
): Promise<CliError> {
  if (error.exitCode !== ExitCode.Stale) {
    return error;
  }
  const now = await readConfiguration(client);
  if (now.isErr()) {
    return error;
  }
  const changes = SECTIONS.flatMap((section) =>
    listDifferences(base[section], now.value[section], section)
  );
  const head = `changed from version ${base.version} to ${now.value.version}:`;
  const details = changes.length > 0
    ? [
      head,
      ...changes.slice(0, MAX_CHANGES_SHOWN),
      ...describeOmitted(changes),
    ]
    : [`the current version is ${now.value.version}; see "mustardweir diff"`];
  return { ...error, details };
}

function describeOmitted(changes: readonly string[]): string[] {
  const rest = changes.length - MAX_CHANGES_SHOWN;
  return rest > 0 ? [`and ${rest} more changes`] : [];
}

async function baseVersion(
  client: EntryClient,
  ifMatch: number | undefined,
): Promise<Result<number, CliError>> {
  if (ifMatch !== undefined) {
    return ok(ifMatch);
  }
  const configuration = await readConfiguration(client);
  return configuration.map(({ version }) => version);
}
