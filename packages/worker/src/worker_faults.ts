/** Faults that can be switched on for tests. */
export interface WorkerFaults {
  /** Tasks that are started fail after a few milliseconds. */
  readonly failEverything: boolean;
  /** Calls take effect and get no answer; heeded by the server. */
  readonly silent: boolean;
  /** Reported usage over real usage. */
  readonly lieFactor: number;
}

/** No fault is switched on. */
export const NO_FAULTS: WorkerFaults = {
  failEverything: false,
  silent: false,
  lieFactor: 1,
};
