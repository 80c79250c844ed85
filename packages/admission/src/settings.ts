import { createServiceKey } from "@mustardweir/kernel";

/** Maximum number of calls pending at one entry node. */
export const MAX_PENDING_CALLS = 10_000;

/** Settings of the process for the admission plug-in. */
export interface AdmissionSettings {
  /**
   * SHA-256 in hexadecimal of a key that has the operator role regardless of
   * the configuration. Needed to grant the first key.
   */
  readonly operatorKeyHash?: string;
  /** Limit of pending calls; {@link MAX_PENDING_CALLS} by default. */
  readonly pendingLimit?: number;
}

/** Registered by the process before the plug-ins are used. */
export const ADMISSION_SETTINGS = createServiceKey<AdmissionSettings>(
  "admission-settings",
);
