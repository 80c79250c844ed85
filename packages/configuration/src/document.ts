import { createHash } from "node:crypto";
import { ConfigurationSection } from "@mustardweir/model";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { retiredInstanceSchema } from "./retired.ts";

/** Key of the table row that holds the version in force. */
export const CONFIGURATION_ROW = "configuration";

/** Accepted edits whose nonces the row keeps, newest first. */
export const KEPT_NONCES = 32;

const documentSchema = z.object({
  version: z.int().positive(),
  /** Object keys; a section that was never edited is absent. */
  sections: z.partialRecord(z.enum(ConfigurationSection), z.string()),
  /** Nonce of the edit that made this version, then those before it. */
  nonces: z.array(z.string()).min(1),
  /** Instances that left the inventory lately. */
  retired: z.array(retiredInstanceSchema).default([]),
});

/** The value of the configuration row. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** Why a row or a section's body can't be used. */
export interface DocumentError {
  readonly message: string;
}

/**
 * Reads the configuration row.
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
 * The key of the object that holds `body`.
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
 * The nonce of the edit that made `version`; undefined when not kept.
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
 * One line that names each fault with its path.
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
