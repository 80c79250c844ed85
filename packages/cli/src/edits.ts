import { isDeepStrictEqual } from "node:util";
import type { Configuration } from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import { type CliError, ExitCode } from "./cli_error.ts";
import type { SectionFile } from "./config_file.ts";
import type { EntryCall, EntryClient } from "./entry_client.ts";

/** Times that a small edit is made again when another one came first. */
const MAX_EDIT_ATTEMPTS = 5;

/** The fields of an edit's answer. */
export interface EditReply {
  readonly version: number;
  /** A new key; shown only here. */
  readonly key?: string;
}

/** What became of one section of `apply`. */
export interface AppliedSection {
  readonly section: string;
  readonly version: number;
  readonly changed: boolean;
}

/** Reads the configuration in force; keys come without their hashes. */
export async function readConfiguration(
  client: EntryClient,
): Promise<Result<Configuration, CliError>> {
  const reply = await client.call({ method: "GET", path: "/v1/config" });
  return reply.map((json) => json as Configuration);
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
): Promise<Result<AppliedSection[], CliError>> {
  const base = await readConfiguration(client);
  if (base.isErr()) {
    return err(base.error);
  }
  let version = ifMatch ?? base.value.version;
  const applied: AppliedSection[] = [];
  for (const { section, body } of sections) {
    const changed = !isDeepStrictEqual(base.value[section], body);
    if (changed) {
      const path = `/v1/config/${section}`;
      const edit: EntryCall = { method: "PUT", path, body, ifMatch: version };
      const reply = await client.call(edit);
      if (reply.isErr()) {
        return err(reply.error);
      }
      version = (reply.value as EditReply).version;
    }
    applied.push({ section, version, changed });
  }
  return ok(applied);
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
