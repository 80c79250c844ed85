import type { Command } from "@mustardweir/kernel";
import type { NodeEffect } from "@mustardweir/protocol";
import { WorkerState, type WorkerStateOptions } from "@mustardweir/worker";
import type { SimulatedNode } from "./node.ts";

/** Hooks by which mutants break a mechanism; the base changes nothing. */
export class Tampering {
  /** Called with each node before its first event. */
  install(_node: SimulatedNode): void {}

  /** Returns the effects that are performed instead of `effect`. */
  transformEffect(
    _node: SimulatedNode,
    effect: NodeEffect,
  ): readonly NodeEffect[] {
    return [effect];
  }

  /** Returns the payload to handle instead; undefined drops the event. */
  transformPayload<Payload>(
    _node: SimulatedNode,
    _command: Command<Payload>,
    payload: Payload,
  ): Payload | undefined {
    return payload;
  }

  createWorker(options: WorkerStateOptions): WorkerState {
    return new WorkerState(options);
  }
}
