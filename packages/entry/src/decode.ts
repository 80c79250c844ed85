import { createHash, randomBytes } from "node:crypto";
import { describeIssues } from "@mustardweir/configuration";
import { type Refusal, RefusalReason, refuse } from "@mustardweir/model";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { PRECONDITION_REQUIRED } from "./status_codes.ts";

/** Time limit of a call without `Request-Timeout-Ms`, in milliseconds. */
export const DEFAULT_TTL_MS = 30_000;

/** Maximum time limit of a call, in milliseconds. */
export const MAX_TTL_MS = 300_000;

const MAX_IDEMPOTENCY_KEY_CHARS = 255;
const KEY_BYTES = 32;

/** The parts of a request that the routes decode. */
export interface RouteInput {
  param(name: string): string;
  query(name: string): string | undefined;
  header(name: string): string | undefined;
  /** The parsed JSON; undefined if the route takes no body. */
  readonly body: unknown;
}

/** A request that could not be decoded. */
export interface DecodeError {
  readonly refusal: Refusal;
  /** HTTP status that replaces the one of the refusal's reason. */
  readonly status?: ContentfulStatusCode;
}

export type Decoded<Value> = Result<Value, DecodeError>;

/** A new key and its hash; only the hash is stored. */
export interface NewKey {
  readonly key: string;
  readonly hash: string;
}

/** Creates a random key, which is returned to the caller once. */
export function createKey(): NewKey {
  const key = `mw_${randomBytes(KEY_BYTES).toString("base64url")}`;
  return { key, hash: hashKey(key) };
}

/** Returns the SHA-256 of a key, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Returns the hash of the key in an `Authorization` header. */
export function decodeKeyHash(header: string | undefined): Decoded<string> {
  const key = /^Bearer +(\S+)$/i.exec(header ?? "")?.[1];
  return key === undefined
    ? err({
      refusal: refuse(RefusalReason.UnknownKey, {
        message: "Send the key as 'Authorization: Bearer <key>'",
      }),
    })
    : ok(hashKey(key));
}

/** Decodes `Request-Timeout-Ms`, the time limit of a call in milliseconds. */
export function decodeTtl(header: string | undefined): Decoded<number> {
  if (header === undefined) {
    return ok(DEFAULT_TTL_MS);
  }
  const ttlMs = /^\d{1,9}$/.test(header) ? Number(header) : 0;
  return ttlMs >= 1 && ttlMs <= MAX_TTL_MS
    ? ok(ttlMs)
    : malformed(`Request-Timeout-Ms must be from 1 to ${MAX_TTL_MS}`);
}

/** Decodes `If-Match`, the version that an edit is based on. */
export function decodeIfMatch(header: string | undefined): Decoded<number> {
  if (header === undefined) {
    const message =
      'An If-Match header with the version that the edit is based on, such as "7", is required';
    return err({
      refusal: refuse(RefusalReason.Malformed, { message }),
      status: PRECONDITION_REQUIRED,
    });
  }
  const version = /^"(\d{1,15})"$/.exec(header)?.[1];
  return version === undefined
    ? malformed('If-Match must be a version in quotes, such as "7"')
    : ok(Number(version));
}

/** Decodes `Idempotency-Key`, with which a submission can be retried safely. */
export function decodeIdempotencyKey(
  header: string | undefined,
): Decoded<string> {
  const isGiven = header !== undefined && header !== "";
  return isGiven && header.length <= MAX_IDEMPOTENCY_KEY_CHARS
    ? ok(header)
    : malformed(
      `An Idempotency-Key header of 1 to ${MAX_IDEMPOTENCY_KEY_CHARS} characters is required`,
    );
}

/** Checks a body against a schema; a violation is refused as malformed. */
export function decodeBody<Value>(
  schema: z.ZodType<Value>,
  body: unknown,
): Decoded<Value> {
  const parsed = schema.safeParse(body);
  return parsed.success
    ? ok(parsed.data)
    : malformed(describeIssues(parsed.error));
}

/** Returns the refusal of a malformed request. */
export function malformed<Value>(message: string): Decoded<Value> {
  return err({ refusal: refuse(RefusalReason.Malformed, { message }) });
}
