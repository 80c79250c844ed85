import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import { type CliError, ExitCode } from "./cli_error.ts";
import type { SectionFile } from "./config_file.ts";
import { listDifferences } from "./differences.ts";
import type { EntryCall, EntryClient } from "./entry_client.ts";
import type { Stamp } from "./format.ts";

/** Times that a small edit is made again when another one came first. */
const MAX_EDIT_ATTEMPTS = 5;

/** Most lines that are shown of what changed meanwhile. */
const MAX_CHANGES_SHOWN = 20;

const SECTIONS = ["inventory", "rules", "zones", "keys"] as const;

/** The fields of an edit's answer. */
export interface EditReply extends Stamp {
  readonly version: number;
  /** A new key; shown only here. */
  readonly key?: string;
}

export type ConfigurationReply = Configuration & Stamp;

/** What became of one section of `apply`. */
export interface AppliedSection {
  readonly section: string;
  readonly version: number;
  readonly changed: boolean;
}

/** What became of all sections, as of the last answer. */
export interface Applied {
  readonly list: readonly AppliedSection[];
  readonly stamp: Stamp;
}

/** Reads the configuration in force; keys come without their hashes. */
export async function readConfiguration(
  client: EntryClient,
): Promise<Result<ConfigurationReply, CliError>> {
  const reply = await client.call({ method: "GET", path: "/v1/config" });
  return reply.map((json) => json as ConfigurationReply);
}

/**
 * Makes an edit of one zone or key. It is made again when another edit came
 * first, unless the caller named the version.
 */
export async function editPart(
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

/** Replaces the sections that differ from those in force. */
export async function applySections(
  client: EntryClient,
  sections: readonly SectionFile[],
  ifMatch?: number,
): Promise<Result<Applied, CliError>> {
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
        const located = locateFault(reply.error, file);
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

/** Adds file and line to a fault that only the entry could find. */
function locateFault(error: CliError, file: SectionFile): CliError {
  const fault = /^(\w+)\.(\S+?): (.*)$/.exec(error.message);
  if (fault === null || fault[1] !== file.section) {
    return error;
  }
  const path = fault[2]!.split(".").map((step) =>
    /^\d+$/.test(step) ? Number(step) : step
  );
  return { ...error, message: file.source.describeFault(path, fault[3]!) };
}

/** Adds what other edits have changed since `base` was read. */
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
    ? [head, ...changes.slice(0, MAX_CHANGES_SHOWN), ...hidden(changes)]
    : [`version ${now.value.version} is in force; see "mustardweir diff"`];
  return { ...error, details };
}

function hidden(changes: readonly string[]): string[] {
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
