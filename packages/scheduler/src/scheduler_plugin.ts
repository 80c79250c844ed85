import { CONFIGURATION, isConfirmed } from "@mustardweir/configuration";
import {
  type Kernel,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
} from "@mustardweir/kernel";

/** Reports to the process whether its scheduler is ready to receive work. */
export class SchedulerPlugin extends Plugin {
  override readonly name = "scheduler";
  #kernel: Kernel | undefined;

  override register(kernel: Kernel): Undo {
    this.#kernel = kernel;
    return () => {
      this.#kernel = undefined;
    };
  }

  /** True while the configuration is confirmed at `now`, the loop's time. */
  isReady(now: number): boolean {
    return this.#kernel !== undefined &&
      isConfirmed(this.#kernel.read(CONFIGURATION), now);
  }
}

/**
 * Registers the plug-in whose readiness this process reports.
 *
 * @example
 * ```ts
 * registerSchedulerPlugin(new SchedulerPlugin());
 * ```
 */
export function registerSchedulerPlugin(plugin: SchedulerPlugin): Undo {
  return registerPlugin({
    name: "scheduler",
    roles: [Role.Scheduler],
    create: () => plugin,
  });
}
