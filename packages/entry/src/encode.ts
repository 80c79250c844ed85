import {
  type Configuration,
  JobState,
  type Refusal,
  RefusalReason,
} from "@mustardweir/model";
import { type CallerAnswer, CallerAnswerKind } from "@mustardweir/protocol";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { REFUSAL_STATUS } from "./status_codes.ts";

const OK = 200;
const ACCEPTED = 202;

/** Value of `Retry-After` for retryable refusals, in seconds. */
const RETRY_AFTER_S = "1";

/** An HTTP response to a call. */
export interface HttpReply {
  readonly status: ContentfulStatusCode;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  /** Minimum version of the configuration that the response reports. */
  readonly minVersion?: number;
}

/**
 * Encodes an answer as an HTTP response.
 *
 * @example
 * ```ts
 * const reply = encodeAnswer({ kind: CallerAnswerKind.Edited, version: 7 });
 * ```
 */
export function encodeAnswer(answer: CallerAnswer): HttpReply {
  switch (answer.kind) {
    case CallerAnswerKind.Job:
      return okReply(answer.status);
    case CallerAnswerKind.Jobs:
      return okReply({ jobs: answer.jobs });
    case CallerAnswerKind.Configuration:
      return taggedReply(
        answer.configuration.version,
        withoutHashes(answer.configuration),
      );
    case CallerAnswerKind.Edited:
      return editedReply(answer.version);
    case CallerAnswerKind.Teams:
    case CallerAnswerKind.Fleet: {
      const { kind: _kind, ...body } = answer;
      return okReply(body);
    }
    case CallerAnswerKind.Burn:
      return okReply(answer.report);
    case CallerAnswerKind.Refused:
      return encodeRefusal(answer.refusal);
  }
}

/** Encodes the answer to a submission: 202 until the job has ended. */
export function encodeSubmitted(answer: CallerAnswer): HttpReply {
  const reply = encodeAnswer(answer);
  const isAccepted = answer.kind === CallerAnswerKind.Job &&
    answer.status.state !== JobState.Ended;
  return isAccepted ? { ...reply, status: ACCEPTED } : reply;
}

/** Refusals after which the server closes the connection. */
const CLOSES_CONNECTION: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.Stopping,
  RefusalReason.BodyTooLarge, // The rest of the body has not been read.
]);

/** Encodes a refusal; `status` is that of its reason by default. */
export function encodeRefusal(
  refusal: Refusal,
  status: ContentfulStatusCode = REFUSAL_STATUS[refusal.reason],
): HttpReply {
  const { reason, message, outcome, retryable } = refusal;
  const headers: Record<string, string> = {};
  if (retryable) {
    headers["Retry-After"] = RETRY_AFTER_S;
  }
  if (CLOSES_CONNECTION.has(reason)) {
    headers["Connection"] = "close";
  }
  return {
    status,
    headers,
    body: { error: { reason, message, outcome, retryable } },
  };
}

/** Formats a version as an HTTP entity tag. */
export function formatEntityTag(version: number): string {
  return `"${version}"`;
}

function okReply(body: unknown): HttpReply {
  return { status: OK, headers: {}, body };
}

function taggedReply(version: number, body: unknown): HttpReply {
  return { status: OK, headers: { ETag: formatEntityTag(version) }, body };
}

/**
 * Encodes the answer to an edit. The edit's version may not be in force at
 * this entry yet, so the response reports at least that version.
 */
function editedReply(version: number): HttpReply {
  return { ...taggedReply(version, { version }), minVersion: version };
}

function withoutHashes(configuration: Configuration) {
  const keys = configuration.keys.map(({ hash: _hash, ...shown }) => shown);
  return { ...configuration, keys };
}
