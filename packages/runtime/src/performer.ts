import type { Command } from "@mustardweir/kernel";
import {
  createEffectReply,
  type EffectKind,
  type NodeEffect,
  type ReplyTo,
} from "@mustardweir/protocol";

/** Accepts events for the loop's queue. */
export interface EventSink {
  post<Payload>(command: Command<Payload>, payload: Payload): void;
}

/** Performs effects of some kinds and posts their results as events. */
export abstract class Performer {
  abstract readonly kinds: readonly EffectKind[];

  /** Must not block; results are posted to `sink` later. */
  abstract perform(effect: NodeEffect, sink: EventSink): void;

  /** Called once before the first effect, to open listeners. */
  start(_sink: EventSink): Promise<void> {
    return Promise.resolve();
  }

  /**
   * Called once before the loop stops, while it still handles events: opens no
   * new connections and resolves when nothing more can arrive on those that are
   * open, within `timeoutMs` milliseconds.
   */
  drain(_timeoutMs: number): Promise<void> {
    return Promise.resolve();
  }

  /** Called once after the loop has stopped, to close connections. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * Posts the result of an effect to the command that the effect names.
 *
 * @example
 * ```ts
 * postReply(sink, effect.replyTo, result);
 * ```
 */
export function postReply<Result>(
  sink: EventSink,
  reply: ReplyTo<Result>,
  result: Result,
): void {
  sink.post(reply.command, createEffectReply(reply, result));
}
