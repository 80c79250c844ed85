import { createCommand, createStateKey } from "@mustardweir/kernel";
import type { PermitPolicy } from "@mustardweir/model";

/** A worker that may run a stage, and for how long that is certified. */
export interface HeldPermit {
  readonly permit: string;
  readonly validUntilMs: number;
}

/** What is known of who may run a stage. */
export interface StagePermits {
  /** Workers judged so far; the verdict never changes. */
  readonly judged: Set<string>;
  readonly good: Map<string, HeldPermit>;
  /** A question waits or is on its way. */
  isAsked: boolean;
}

/** A question that waits for a node to ask it. */
export interface PermitQuestion {
  readonly stage: string;
  readonly workers: readonly string[];
  readonly policy: PermitPolicy;
  /** Questions of a lower rank are asked first. */
  readonly rank: number;
  readonly queuedMs: number;
}

/** A question that a node is asking. */
export interface PermitCall extends PermitQuestion {
  readonly requestId: number;
  readonly nodeId: string;
  /** Life of the node that was asked; another one knows nothing of it. */
  readonly incarnation: string;
  readonly expiresMs: number;
  readonly isLong: boolean;
  readonly sentMs: number;
}

/** State of the permits plug-in; empty on nodes that don't own the domain. */
export interface Permits {
  readonly stages: Map<string, StagePermits>;
  readonly waiting: PermitQuestion[];
  readonly calls: Map<number, PermitCall>;
  /** Nodes that failed to ask, with the time until which they are spared. */
  readonly sparedUntilMs: Map<string, number>;
  lastRequest: number;
  /** Decaying sum of the time of short calls, in milliseconds. */
  shortMs: number;
  shortAtMs: number;
}

/** State of the permits plug-in. */
export const PERMITS = createStateKey<Permits>("permits");

/** More is known of who may run the stage. */
export const PERMITS_CHANGED = createCommand<{ readonly stage: string }>(
  "permits-changed",
);
