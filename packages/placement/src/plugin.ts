import {
  type Kernel,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import { IndexedFitPolicy } from "./indexed_fit.ts";
import { PLACEMENT_POLICY } from "./policy.ts";

/** Registers the placement policy as a service. */
export class PlacementPlugin extends Plugin {
  override readonly name = "placement";

  override register(kernel: Kernel): Undo {
    return kernel.registerService(PLACEMENT_POLICY, new IndexedFitPolicy());
  }
}

registerPlugin({
  name: "placement",
  roles: [Role.Scheduler],
  create: () => new PlacementPlugin(),
});
