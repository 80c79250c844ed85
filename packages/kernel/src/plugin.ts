import type { Kernel } from "./kernel.ts";

/** Removes what a register function added. */
export type Undo = () => void;

/**
 * Combines several undo functions into one that runs them in reverse order.
 *
 * @example
 * ```ts
 * return mergeUndo(
 *   kernel.registerState(QUEUE, createQueue()),
 *   kernel.registerCommand(JOB_SUBMITTED, onSubmitted, CommandPriority.Normal),
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

/** A set of state, handlers and services that is added to a kernel. */
export abstract class Plugin {
  abstract readonly name: string;

  /** Adds the plug-in to `kernel`; returns a function that removes it. */
  abstract register(kernel: Kernel): Undo;
}
