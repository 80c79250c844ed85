import type { Command } from "@mustardweir/kernel";

/** The payload of a command that brings an answer from the outside. */
export interface Answered<Context, Result> {
  /** What the asking plug-in gave along. */
  readonly context: Context;
  readonly result: Result;
}

/** Where the answer to an effect goes: a command of the asking plug-in. */
export interface ReplyTo<Result> {
  readonly command: Command<Answered<never, Result>>;
  readonly context: unknown;
}

/**
 * Names the command that receives an answer.
 *
 * @example
 * ```ts
 * const ROWS_SCANNED = createCommand<Answered<string, ScanResult>>("rows");
 * update.emit(scanTable("owner/", { replyTo: replyTo(ROWS_SCANNED, "x") }));
 * ```
 */
export function replyTo<Context, Result>(
  command: Command<Answered<Context, Result>>,
  context: Context,
): ReplyTo<Result> {
  return { command: command as Command<Answered<never, Result>>, context };
}

/**
 * Makes the payload for `reply.command`.
 *
 * @example
 * ```ts
 * kernel.run(reply.command, answerPayload(reply, result), nowMs);
 * ```
 */
export function answerPayload<Result>(
  reply: ReplyTo<Result>,
  result: Result,
): Answered<never, Result> {
  return { context: reply.context as never, result };
}
