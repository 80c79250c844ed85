import type { Kernel } from "./kernel.ts";

/** Takes back what a register function did. */
export type Undo = () => void;

/**
 * Joins several undo functions; the last registered is undone first.
 *
 * @example
 * ```ts
 * return mergeUndo(
 *   kernel.registerState(QUEUE, createQueue()),
 *   kernel.registerCommand(JOB_SUBMITTED, onSubmitted,
 * CommandPriority.Normal),
 * );
 * ```
 */
export function mergeUndo(...undos: readonly Undo[]): Undo {
  return () => {
    for (const undo of [...undos].reverse()) {
      undo();
    }
  };
}

/** A capability: state, handlers and services added to a kernel. */
export abstract class Plugin {
  abstract readonly name: string;

  /** Adds the capability to `kernel` and returns the function undoing it. */
  abstract register(kernel: Kernel): Undo;
}
