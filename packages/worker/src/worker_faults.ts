/** Faults that tests can inject into a worker. */
export interface WorkerFaults {
  /** Whether newly started tasks fail after a few milliseconds. */
  readonly failEverything: boolean;
  /** Whether calls take effect but get no reply; applied by the server. */
  readonly silent: boolean;
  /** Ratio of reported to actual usage. */
  readonly lieFactor: number;
}

/** The settings with no fault injected. */
export const NO_FAULTS: WorkerFaults = {
  failEverything: false,
  silent: false,
  lieFactor: 1,
};
