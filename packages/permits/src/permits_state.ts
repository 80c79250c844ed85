import { createCommand, createStateKey } from "@mustardweir/kernel";
import type { PermitPolicy } from "@mustardweir/model";

/** A permit for a stage on one worker, valid until the given time. */
export interface GrantedPermit {
  readonly permit: string;
  readonly validUntilMs: number;
}

/** Permits and verdicts of a stage. */
export interface StagePermits {
  /**
   * Workers for which the policy has given a verdict; a verdict never changes.
   */
  readonly judged: Set<string>;
  readonly good: Map<string, GrantedPermit>;
  /** Whether a query for the stage is queued or in flight. */
  isQueryPending: boolean;
}

/** A permit query that waits for a node to send it. */
export interface PermitQuery {
  readonly stage: string;
  readonly workers: readonly string[];
  readonly policy: PermitPolicy;
  /** Queries of a lower rank are sent first. */
  readonly rank: number;
  readonly queuedMs: number;
}

/** A permit query that was given to a node. */
export interface PermitCall extends PermitQuery {
  readonly requestId: number;
  readonly nodeId: string;
  /**
   * Incarnation of the node that was given the query; the query is lost when
   * the node restarts.
   */
  readonly incarnation: string;
  readonly expiresMs: number;
  readonly isLong: boolean;
  readonly sentMs: number;
  /** This node's total stall time when the query was sent, in milliseconds. */
  readonly stalledMs: number;
}

/** State of the permits plug-in; empty on nodes that don't own the domain. */
export interface Permits {
  readonly stages: Map<string, StagePermits>;
  readonly waiting: PermitQuery[];
  readonly calls: Map<number, PermitCall>;
  /**
   * Nodes whose last query failed, with the time until which they get no
   * queries, in milliseconds.
   */
  readonly backoffUntilMs: Map<string, number>;
  /** Number of back-offs in a row by node. */
  readonly failures: Map<string, number>;
  lastRequestId: number;
  /**
   * Exponentially decaying sum of the expected durations of short queries, in
   * milliseconds.
   */
  shortQueryMs: number;
  shortQueryUpdatedMs: number;
}

/** State of the permits plug-in. */
export const PERMITS = createStateKey<Permits>("permits");

/** Dispatched when a query for the stage has been answered. */
export const PERMITS_CHANGED = createCommand<{ readonly stage: string }>(
  "permits-changed",
);
