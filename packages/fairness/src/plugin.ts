import {
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import { EntitledPreemption, PREEMPTION_POLICY } from "./preemption_policy.ts";
import { DominantShareOrder, QUEUE_ORDER } from "./queue_order.ts";

/** Registers the queue order and the preemption policy as services. */
export class FairnessPlugin extends Plugin {
  override readonly name = "fairness";

  override register(kernel: Kernel): Undo {
    return mergeUndo(
      kernel.registerService(QUEUE_ORDER, new DominantShareOrder()),
      kernel.registerService(PREEMPTION_POLICY, new EntitledPreemption()),
    );
  }
}

registerPlugin({
  name: "fairness",
  roles: [Role.Scheduler],
  create: () => new FairnessPlugin(),
});
