import {
  type Kernel,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";
import { LikelihoodDetector } from "./detectors.ts";
import { FAULT_DETECTOR } from "./fault_detector.ts";

/** Registers the fault detector as a service. */
export class QuarantinePlugin extends Plugin {
  override readonly name = "quarantine";

  override register(kernel: Kernel): Undo {
    return kernel.registerService(FAULT_DETECTOR, new LikelihoodDetector());
  }
}

registerPlugin({
  name: "quarantine",
  roles: [Role.Scheduler],
  create: () => new QuarantinePlugin(),
});
