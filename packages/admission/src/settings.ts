import { createServiceKey } from "@mustardweir/kernel";

/** Calls that may wait for their homes at one entry. */
export const MAX_PENDING_CALLS = 10_000;

export interface AdmissionSettings {
  /**
   * SHA-256 of a key, in hexadecimal, that has the operator's role whatever
   * the configuration says. Needed to grant the first key.
   */
  readonly operatorKeyHash?: string;
  /** {@link MAX_PENDING_CALLS} by default. */
  readonly pendingLimit?: number;
}

/** Given to the kernel by the process before its plug-ins are used. */
export const ADMISSION_SETTINGS = createServiceKey<AdmissionSettings>(
  "admission-settings",
);
