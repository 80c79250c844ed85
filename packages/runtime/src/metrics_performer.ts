import { EffectKind, type NodeEffect } from "@mustardweir/protocol";
import { Metrics } from "./metrics.ts";
import { Performer } from "./performer.ts";

/** Performs effects that count, observe values and set gauges. */
export class MetricsPerformer extends Performer {
  override readonly kinds = [
    EffectKind.Count,
    EffectKind.Observe,
    EffectKind.Gauge,
  ];
  readonly metrics: Metrics;

  constructor(metrics: Metrics = new Metrics()) {
    super();
    this.metrics = metrics;
  }

  override perform(effect: NodeEffect): void {
    if (effect.kind === EffectKind.Count) {
      this.metrics.count(effect.counter, effect.by);
    } else if (effect.kind === EffectKind.Observe) {
      this.metrics.observe(effect.histogram, effect.value);
    } else if (effect.kind === EffectKind.Gauge) {
      this.metrics.set(effect.gauge, effect.value);
    }
  }
}
