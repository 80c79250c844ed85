import type { Undo } from "@mustardweir/kernel";

/** What the life cycle needs of the operating system's process. */
export abstract class ProcessHost {
  /** Calls `listener` when the process is told to stop. */
  abstract onStopSignal(listener: () => void): Undo;

  /** Calls `listener` with what nobody has caught. */
  abstract onUncaught(listener: (error: unknown) => void): Undo;

  /** Ends the process with an exit code. */
  abstract exit(code: number): void;
}

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const UNCAUGHT_EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** The process that this code runs in. */
export class SystemProcessHost extends ProcessHost {
  override onStopSignal(listener: () => void): Undo {
    return listen(STOP_SIGNALS, listener);
  }

  override onUncaught(listener: (error: unknown) => void): Undo {
    return listen(UNCAUGHT_EVENTS, listener);
  }

  override exit(code: number): void {
    process.exit(code);
  }
}

function listen(
  events: readonly string[],
  listener: (argument: unknown) => void,
): Undo {
  for (const event of events) {
    process.on(event, listener);
  }
  return () => {
    for (const event of events) {
      process.off(event, listener);
    }
  };
}
