/** Reads the platform's answers into the results of the protocol. */
import { StoreStatus } from "@mustardweir/protocol";
import { err, ok, Result } from "neverthrow";
import { z } from "zod";
import {
  type CallError,
  CallErrorKind,
  type HttpAnswer,
} from "./connection.ts";

const COUNT = z.int().min(0);

/** Body of the answer to a scan. */
export const SCAN_PAGE = z.object({
  rows: z.array(
    z.object({ key: z.string(), value: z.string(), version: z.int().min(1) }),
  ),
  deleted: z.array(z.string()),
  revision: COUNT,
});

/** Body of the answer to a transaction that was applied. */
export const COMMITTED = z.object({ revision: COUNT });

/** Body of the answer to a transaction whose checks failed. */
export const CONFLICT = z.object({ conflicts: z.array(z.string()) });

/** Body of the list of processes. */
export const INSTANCES = z.object({
  instances: z.array(z.object({
    nodeId: z.string(),
    role: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    leaving: z.boolean(),
  })),
});

/** A result that says whether a call may have taken effect. */
export interface StoreFailure {
  readonly status: StoreStatus.Unavailable | StoreStatus.Unknown;
}

const parseJson = Result.fromThrowable(
  (body: string): unknown => JSON.parse(body),
  () => malformed("Answer is not JSON"),
);

/**
 * Decodes an answer that must have status `code` and a body of `schema`.
 *
 * @example
 * ```ts
 * const page = decode(answer, { schema: SCAN_PAGE });
 * ```
 */
export function decode<T>(
  answer: HttpAnswer,
  { schema, code = 200 }: { schema: z.ZodType<T>; code?: number },
): Result<T, CallError> {
  return checkCode(answer, code)
    .andThen(({ body }) => parseJson(body))
    .andThen((value) => check(value, schema));
}

/**
 * Turns an error of the connection into a result of the store.
 *
 * @example
 * ```ts
 * const result = decoded.mapErr(toFailure);
 * ```
 */
export function toFailure({ kind }: CallError): StoreFailure {
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
 * Requires the status `code`.
 *
 * @example
 * ```ts
 * const created = checkCode(answer, 201);
 * ```
 */
export function checkCode(
  answer: HttpAnswer,
  code = 200,
): Result<HttpAnswer, CallError> {
  return answer.code === code
    ? ok(answer)
    : err(malformed(`Unexpected status ${answer.code}`));
}

function check<T>(value: unknown, schema: z.ZodType<T>): Result<T, CallError> {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(malformed(z.prettifyError(parsed.error)));
}

function malformed(message: string): CallError {
  return { kind: CallErrorKind.Malformed, message };
}
