/** Decodes the platform's HTTP responses into results of the protocol. */
import { StoreStatus } from "@mustardweir/protocol";
import { err, ok, Result } from "neverthrow";
import * as z from "zod";
import {
  type CallError,
  CallErrorKind,
  type HttpResponse,
} from "./connection.ts";

const COUNT = z.int().min(0);

/** Body of the response to a scan. */
export const SCAN_PAGE = z.object({
  rows: z.array(
    z.object({ key: z.string(), value: z.string(), version: z.int().min(1) }),
  ),
  deleted: z.array(z.string()),
  revision: COUNT,
});

/** Body of the response to a transaction that was applied. */
export const COMMITTED = z.object({ revision: COUNT });

/** Body of the response to a transaction whose checks failed. */
export const CONFLICT = z.object({ conflicts: z.array(z.string()) });

const INSTANCE = z.object({
  nodeId: z.string(),
  role: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  leaving: z.boolean(),
});

/**
 * Body of the response with the list of processes. Entries that can't be read
 * are left out; they may come from another writer.
 */
export const INSTANCES = z.object({
  instances: z.array(z.unknown()).transform((entries) =>
    entries.flatMap((entry) => INSTANCE.safeParse(entry).data ?? [])
  ),
});

/** Result of a failed call; the status says if it may have taken effect. */
export interface StoreFailure {
  readonly status: StoreStatus.Unavailable | StoreStatus.Unknown;
}

const parseJson = Result.fromThrowable(
  (body: string): unknown => JSON.parse(body),
  () => malformedResponse("Response body is not JSON"),
);

/**
 * Decodes a response that must have status `code` and a body of `schema`.
 *
 * @example
 * ```ts
 * const page = decode(response, { schema: SCAN_PAGE });
 * ```
 */
export function decode<T>(
  response: HttpResponse,
  { schema, code = 200 }: { schema: z.ZodType<T>; code?: number },
): Result<T, CallError> {
  return requireCode(response, code)
    .andThen(({ body }) => parseJson(body))
    .andThen((value) => validate(value, schema));
}

/**
 * Converts an error of the connection into a result of the store.
 *
 * @example
 * ```ts
 * const result = decoded.mapErr(toStoreFailure);
 * ```
 */
export function toStoreFailure({ kind }: CallError): StoreFailure {
  switch (kind) {
    case CallErrorKind.NotSent:
    case CallErrorKind.Refused:
      return { status: StoreStatus.Unavailable };
    case CallErrorKind.NoAnswer:
    case CallErrorKind.Malformed:
      return { status: StoreStatus.Unknown };
  }
}

/**
 * Returns the response if it has status `code`, otherwise an error.
 *
 * @example
 * ```ts
 * const created = requireCode(response, 201);
 * ```
 */
export function requireCode(
  response: HttpResponse,
  code = 200,
): Result<HttpResponse, CallError> {
  return response.code === code
    ? ok(response)
    : err(malformedResponse(`Unexpected HTTP status ${response.code}`));
}

function validate<T>(
  value: unknown,
  schema: z.ZodType<T>,
): Result<T, CallError> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(malformedResponse(z.prettifyError(parsed.error)));
}

function malformedResponse(message: string): CallError {
  return { kind: CallErrorKind.Malformed, message };
}
