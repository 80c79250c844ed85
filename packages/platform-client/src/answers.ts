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

export const SCAN_PAGE = z.object({
  rows: z.array(
    z.object({ key: z.string(), value: z.string(), version: z.int().min(1) }),
  ),
  deleted: z.array(z.string()),
  revision: COUNT,
});

export const COMMITTED = z.object({ revision: COUNT });

export const CONFLICT = z.object({ conflicts: z.array(z.string()) });

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

/** Decodes an answer that must have status `code` and a body of `schema`. */
export function decode<T>(
  answer: HttpAnswer,
  { schema, code = 200 }: { schema: z.ZodType<T>; code?: number },
): Result<T, CallError> {
  return checkCode(answer, code)
    .andThen(({ body }) => parseJson(body))
    .andThen((value) => check(value, schema));
}

/** Turns an error of the connection into a result of the store. */
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

/** Requires the status `code`. */
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
