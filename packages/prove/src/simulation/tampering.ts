import type { Command } from "@mustardweir/kernel";
import type { NodeEffect } from "@mustardweir/protocol";
import { WorkerState, type WorkerStateOptions } from "@mustardweir/worker";
import type { SimulatedNode } from "./node.ts";

/** Lets mutants spoil a mechanism; changes nothing by itself. */
export class Tampering {
  /** Called for each node before its first event. */
  install(_node: SimulatedNode): void {}

  /** What is performed in the place of `effect`. */
  effect(_node: SimulatedNode, effect: NodeEffect): readonly NodeEffect[] {
    return [effect];
  }

  /** The payload in the place of `payload`; undefined drops the event. */
  event<Payload>(
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
