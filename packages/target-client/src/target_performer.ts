import { invariant } from "@mustardweir/kernel";
import {
  EffectKind,
  type NodeEffect,
  type SyncTargetEffect,
} from "@mustardweir/protocol";
import { type EventSink, Performer, postReply } from "@mustardweir/runtime";
import { HttpTargetClient } from "./http_target_client.ts";
import type { TargetClient } from "./target_client.ts";

/** Options of a {@link TargetPerformer}. */
export interface TargetPerformerOptions {
  /** Client for calls to workers; an {@link HttpTargetClient} by default. */
  readonly client?: TargetClient;
}

/**
 * Carries out effects of kind `EffectKind.SyncTarget`.
 *
 * @example
 * ```ts
 * new EventLoop({ kernel, performers: [new TargetPerformer()] });
 * ```
 */
export class TargetPerformer extends Performer {
  override readonly kinds = [EffectKind.SyncTarget];
  readonly #client: TargetClient;
  #closed = false;

  constructor(options: TargetPerformerOptions = {}) {
    super();
    this.#client = options.client ?? new HttpTargetClient();
  }

  override perform(effect: NodeEffect, sink: EventSink): void {
    invariant(
      effect.kind === EffectKind.SyncTarget,
      `effect ${effect.kind} was passed to the wrong performer`,
    );
    void this.#sync(effect, sink);
  }

  override async close(): Promise<void> {
    this.#closed = true;
    await this.#client.close();
  }

  async #sync(effect: SyncTargetEffect, sink: EventSink): Promise<void> {
    const { address, call, timeoutMs, replyTo } = effect;
    const result = await this.#client.sync(address, call, timeoutMs);
    if (!this.#closed) {
      postReply(sink, replyTo, result);
    }
  }
}
