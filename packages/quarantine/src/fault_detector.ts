import { createServiceKey } from "@mustardweir/kernel";

/** How a task that an instance ran ended, as evidence on the instance. */
export enum TaskOutcome {
  Ok = "ok",
  Failed = "failed",
}

/** Whether an instance may get work. */
export enum InstanceVerdict {
  Healthy = "healthy",
  /** Gets no work. */
  Quarantined = "quarantined",
  /** Gets one task at a time, to see whether it has recovered. */
  Probing = "probing",
}

/** Tells instances that fail what they start from work that fails anywhere. */
export abstract class FaultDetector {
  abstract readonly name: string;

  /** Takes in the end of a task; `now` in milliseconds. */
  abstract observe(
    instanceId: string,
    outcome: TaskOutcome,
    team: string,
    now: number,
  ): void;

  /** From 0, no sign of a fault, to 1, enough to quarantine. */
  abstract suspicion(instanceId: string): number;

  /** Whether work may be sent to an instance; `now` in milliseconds. */
  abstract verdict(instanceId: string, now: number): InstanceVerdict;

  /** Says that a task was sent to an instance that is being probed. */
  abstract probeStarted(instanceId: string, now: number): void;

  /** Drops what is known, as when an instance is replaced. */
  abstract forget(instanceId: string): void;
}

/** The detector that slices keep bad instances out by. */
export const FAULT_DETECTOR = createServiceKey<FaultDetector>("fault-detector");
