import type { Undo } from "@mustardweir/kernel";

/** Signals that request a planned stop. */
export enum StopSignal {
  Terminate = "SIGTERM",
  Interrupt = "SIGINT",
}

/** Signals, uncaught errors and exit of the operating system's process. */
export abstract class ProcessHost {
  /** Calls `listener` on each stop signal. */
  abstract onStopSignal(listener: (signal: StopSignal) => void): Undo;

  /** Calls `listener` with each uncaught error or unhandled rejection. */
  abstract onUncaught(listener: (error: unknown) => void): Undo;

  /** Ends the process with an exit code. */
  abstract exit(code: number): void;
}

const UNCAUGHT_EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** The current process. */
export class SystemProcessHost extends ProcessHost {
  override onStopSignal(listener: (signal: StopSignal) => void): Undo {
    return listen(
      Object.values(StopSignal),
      (signal) => listener(signal as StopSignal),
    );
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
