import { createStateKey } from "@mustardweir/kernel";
import type { JobQueue, JobRecord, Resources } from "@mustardweir/model";

/** What a call waits for. */
export enum CallStep {
  /** The record of the job, or of its cancellation, is being written. */
  Writing = "writing",
  /** A write had no answer; whether it took effect is being read. */
  Checking = "checking",
  /** The place of the job is being taken, so that no late write takes it. */
  Refusing = "refusing",
  /** It is being read whether the job exists. */
  Looking = "looking",
  /** The store refused; it is tried again shortly. */
  Pausing = "pausing",
}

/** What a call does with a job. */
export enum CallPurpose {
  Submit = "submit",
  Status = "status",
  Cancel = "cancel",
}

/** A call that has not been answered. */
export interface PendingCall {
  readonly callId: string;
  readonly purpose: CallPurpose;
  readonly jobId: string;
  readonly queue: JobQueue;
  /** With a submission. */
  readonly record: JobRecord | undefined;
  /** When the call was received, in milliseconds. */
  readonly receivedMs: number;
  step: CallStep;
  /** Version of a refused place that the job may take; 0 for none. */
  placeVersion: number;
  /** A write may still take effect. */
  isUncertain: boolean;
  resumeMs: number;
}

/** State of the intake plug-in. */
export interface Intake {
  readonly calls: Map<string, PendingCall>;
  /** Largest worker seen of each pool, by dimension. */
  readonly largest: Map<string, Resources>;
  /** When the planned stop was asked for; infinite before, in milliseconds. */
  stopAskedMs: number;
}

/** State of the intake plug-in. */
export const INTAKE = createStateKey<Intake>("intake");
