import type { Command } from "@mustardweir/kernel";
import {
  createEffectReply,
  type EffectKind,
  type NodeEffect,
  type ReplyTo,
} from "@mustardweir/protocol";

/** Takes events from the outside into the loop. */
export interface EventSink {
  post<Payload>(command: Command<Payload>, payload: Payload): void;
}

/** Carries out effects of some kinds and posts what comes back. */
export abstract class Performer {
  abstract readonly kinds: readonly EffectKind[];

  /** Must return at once; answers are posted to `sink` later. */
  abstract perform(effect: NodeEffect, sink: EventSink): void;

  /** Called once before the first effect; opens listeners. */
  start(_sink: EventSink): Promise<void> {
    return Promise.resolve();
  }

  /** Called once when the process stops; ends what is open. */
  close(): Promise<void> {
    return Promise.resolve();
  }
}

/**
 * Posts the answer to an effect to the command that asked for it.
 *
 * @example
 * ```ts
 * postAnswer(sink, effect.replyTo, result);
 * ```
 */
export function postAnswer<Result>(
  sink: EventSink,
  reply: ReplyTo<Result>,
  result: Result,
): void {
  sink.post(reply.command, createEffectReply(reply, result));
}
