import { createHash } from "node:crypto";
import { ConfigurationSection } from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { retiredInstanceSchema } from "./retired.ts";

/** Key of the table row that holds the version in force. */
export const CONFIGURATION_ROW = "configuration";

/** Number of accepted edits whose nonces the row keeps. */
export const KEPT_NONCES = 32;

const documentSchema = z.object({
  version: z.int().positive(),
  /** Keys of the sections' objects; a section never edited is absent. */
  sections: z.partialRecord(z.enum(ConfigurationSection), z.string()),
  /** Nonces of accepted edits, newest first, beginning with this version's. */
  nonces: z.array(z.string()).min(1),
  /** Instances that were recently removed from the inventory. */
  retired: z.array(retiredInstanceSchema).default([]),
});

/** The value of the configuration row. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** Why a row, an edit or a section's body is invalid. */
export interface DocumentError {
  readonly message: string;
}

/**
 * Parses and validates the value of the configuration row.
 *
 * @example
 * ```ts
 * const document = parseDocument(row.value).unwrapOr(undefined);
 * ```
 */
export function parseDocument(
  value: string,
): Result<ConfigurationDocument, DocumentError> {
  return parseJson(value).andThen((json) => {
    const parsed = documentSchema.safeParse(json);
    return parsed.success
      ? ok(parsed.data)
      : err({ message: describeIssues(parsed.error) });
  });
}

/**
 * Parses JSON without throwing.
 *
 * @example
 * ```ts
 * const value = parseJson(row.value).unwrapOr(undefined);
 * ```
 */
export function parseJson(text: string): Result<unknown, DocumentError> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err({ message: "The text is not JSON" });
  }
}

/**
 * Returns the key of the object that stores `body`, made from its hash.
 *
 * @example
 * ```ts
 * sectionObjectKey("[]"); // "configuration/4f53cda1..."
 * ```
 */
export function sectionObjectKey(body: string): string {
  return `configuration/${createHash("sha256").update(body).digest("hex")}`;
}

/**
 * Returns the nonce of the edit that created `version`; undefined if it is no
 * longer kept.
 *
 * @example
 * ```ts
 * const nonce = nonceOfVersion(document, request.ifMatch + 1);
 * ```
 */
export function nonceOfVersion(
  document: ConfigurationDocument,
  version: number,
): string | undefined {
  return document.nonces[document.version - version];
}

/**
 * Returns one line that lists each validation issue with its path.
 *
 * @example
 * ```ts
 * describeIssues(parsed.error); // "teams.0.share: Too small"
 * ```
 */
export function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(({ path, message }) => `${path.join(".") || "body"}: ${message}`)
    .join("; ");
}
