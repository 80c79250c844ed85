import type { Command } from "@mustardweir/kernel";

/** Payload of the command that receives the result of an effect. */
export interface EffectReply<Context, Result> {
  /** The value that the plug-in passed to {@link replyTo}. */
  readonly context: Context;
  readonly result: Result;
}

/** The command that receives an effect's result, and its context. */
export interface ReplyTo<Result> {
  readonly command: Command<EffectReply<never, Result>>;
  readonly context: unknown;
}

/**
 * Returns a {@link ReplyTo}: the command that receives an effect's result.
 *
 * @example
 * ```ts
 * const ROWS_SCANNED = createCommand<EffectReply<string, ScanResult>>("rows");
 * update.emit(nodeEffect({
 *   kind: EffectKind.ScanTable,
 *   prefix: "owner/",
 *   afterRevision: 0,
 *   replyTo: replyTo(ROWS_SCANNED, "x"),
 * }));
 * ```
 */
export function replyTo<Context, Result>(
  command: Command<EffectReply<Context, Result>>,
  context: Context,
): ReplyTo<Result> {
  return { command: command as Command<EffectReply<never, Result>>, context };
}

/**
 * Returns the payload with which to run `reply.command`.
 *
 * @example
 * ```ts
 * kernel.run(reply.command, createEffectReply(reply, result), now);
 * ```
 */
export function createEffectReply<Result>(
  reply: ReplyTo<Result>,
  result: Result,
): EffectReply<never, Result> {
  return { context: reply.context as never, result };
}
