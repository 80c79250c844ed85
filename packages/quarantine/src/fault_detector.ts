import { createServiceKey } from "@mustardweir/kernel";

/** The outcome of a task, as evidence about the instance that ran it. */
export enum TaskOutcome {
  Ok = "ok",
  Failed = "failed",
}

/** Whether an instance may receive work. */
export enum InstanceVerdict {
  Healthy = "healthy",
  /** Receives no work. */
  Quarantined = "quarantined",
  /** Receives one task at a time, to test whether it has recovered. */
  Probing = "probing",
}

/** Distinguishes faulty instances from work that fails on any instance. */
export abstract class FaultDetector {
  abstract readonly name: string;

  /** Records the outcome of a task; `now` in milliseconds. */
  abstract observe(
    instanceId: string,
    outcome: TaskOutcome,
    team: string,
    now: number,
  ): void;

  /** From 0, no evidence of a fault, to 1, enough for quarantine. */
  abstract suspicion(instanceId: string): number;

  /** Whether an instance may receive work; `now` in milliseconds. */
  abstract verdict(instanceId: string, now: number): InstanceVerdict;

  /** Records that a task was sent to an instance as a probe. */
  abstract probeStarted(instanceId: string, now: number): void;

  /** Drops all records of an instance, as when it is replaced. */
  abstract removeInstance(instanceId: string): void;
}

/** The detector by which slices avoid faulty instances. */
export const FAULT_DETECTOR = createServiceKey<FaultDetector>("fault-detector");
