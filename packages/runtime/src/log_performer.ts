import { EffectKind, type NodeEffect } from "@mustardweir/protocol";
import type { Logger } from "./logger.ts";
import { Performer } from "./performer.ts";

/** Writes a log line for each `LogChange` effect. */
export class LogPerformer extends Performer {
  override readonly kinds = [EffectKind.LogChange];
  readonly #logger: Logger;

  constructor(logger: Logger) {
    super();
    this.#logger = logger;
  }

  override perform(effect: NodeEffect): void {
    if (effect.kind === EffectKind.LogChange) {
      this.#logger.info(effect.message, effect.fields);
    }
  }
}
