import {
  type Kernel,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import { DominantShareOrder, QUEUE_ORDER } from "./queue_order.ts";

/** Offers the order of teams to the kernel. */
export class FairnessPlugin extends Plugin {
  override readonly name = "fairness";

  override register(kernel: Kernel): Undo {
    return kernel.registerService(QUEUE_ORDER, new DominantShareOrder());
  }
}

registerPlugin({
  name: "fairness",
  roles: [Role.Scheduler],
  create: () => new FairnessPlugin(),
});
