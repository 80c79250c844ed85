import { ElsewhereCause, WaitCause } from "./placement_decision.ts";

/** The kinds of policy for waiting for a rack. */
export enum WaitPolicyKind {
  /** Runs away from the rack at once. */
  NeverWait = "never-wait",
  /** Waits for a fixed time. */
  FixedWait = "fixed-wait",
  /** Declines room elsewhere a fixed number of times (delay scheduling). */
  SkippedChances = "skipped-chances",
  /** Waits while the expected wait is short against the loss elsewhere. */
  ExpectedTime = "expected-time",
}

/** The kind of new states; the others are baselines that tests choose. */
export const DEFAULT_POLICY_KIND = WaitPolicyKind.ExpectedTime;

/** Longest wait of a stage for a rack, in milliseconds. */
export const MAX_WAIT_MS = 5_000;
/**
 * Added to the time at which a wait is given up, in milliseconds: the end of a
 * task is known only after its report.
 */
const REPORT_MARGIN_MS = 100;
/**
 * Largest share of the loss elsewhere that a wait may take. A task that waits
 * takes room of the rack from later ones: in trials with a factor of 1.5, a
 * share of 1 cost more than not waiting (see docs/design/locality.md).
 */
const WAIT_SHARE = 0.5;
const FIXED_WAIT_MS = 500;
const MAX_SKIPPED_CHANCES = 8;

/** What a task would gain and lose by waiting; all times in milliseconds. */
export interface WaitOption {
  /** Time until the rack has room for the task by the mean run times. */
  readonly meanMs: number;
  /** The same by the upper quantile of the run times. */
  readonly upperMs: number;
  /**
   * Time until the rack has had room, by the mean run times, for the task and
   * for all the work that prefers the rack and doesn't rank after it; Infinity
   * if it is more than the rack holds.
   */
  readonly demandMs: number;
  /** Share of the latest waits that were fulfilled, above 0 and at most 1. */
  readonly trust: number;
  /**
   * Time that others lose by room that is held for the wait; 0 if none is held
   * or nobody wants it.
   */
  readonly othersLossMs: number;
  /** How much longer the task would run elsewhere. */
  readonly remoteLossMs: number;
  /** Time left for the job's objective if the task ran in the rack now. */
  readonly slackMs: number;
  readonly isUrgent: boolean;
  /** Time for which the stage has waited already. */
  readonly waitedMs: number;
  /** Number of times that the stage has declined room elsewhere. */
  readonly skipped: number;
}

/** Whether a task waits, and why. */
export type WaitVerdict =
  | {
    readonly waits: true;
    readonly cause: WaitCause;
    /** Time after which the wait is given up, in milliseconds from now. */
    readonly atMostMs: number;
  }
  | { readonly waits: false; readonly cause: ElsewhereCause };

/** Decides whether a task waits for its rack. */
export abstract class WaitPolicy {
  /** Returns the verdict for one task. Has no side effects. */
  abstract judge(option: WaitOption): WaitVerdict;
}

/** Never waits; the behaviour before this package, and the first baseline. */
export class NeverWait extends WaitPolicy {
  override judge(): WaitVerdict {
    return { waits: false, cause: ElsewhereCause.PolicyNeverWaits };
  }
}

/** Waits for the same time whatever is expected. */
export class FixedWait extends WaitPolicy {
  override judge({ waitedMs }: WaitOption): WaitVerdict {
    return waitedMs < FIXED_WAIT_MS
      ? {
        waits: true,
        cause: WaitCause.FixedTime,
        atMostMs: FIXED_WAIT_MS - waitedMs,
      }
      : { waits: false, cause: ElsewhereCause.WaitTooLong };
  }
}

/** Declines a number of opportunities elsewhere. */
export class SkippedChances extends WaitPolicy {
  override judge({ skipped }: WaitOption): WaitVerdict {
    return skipped < MAX_SKIPPED_CHANCES
      ? { waits: true, cause: WaitCause.ChancesLeft, atMostMs: MAX_WAIT_MS }
      : { waits: false, cause: ElsewhereCause.WaitTooLong };
  }
}

/**
 * Waits if the expected wait, with what it costs others, is shorter than half of
 * the loss elsewhere, the rack can start in this time all the work that prefers
 * it, and the objective is not put at risk: a wait that takes until
 * the upper time must not miss an objective that a run elsewhere would meet.
 * Urgent tasks wait only within their slack.
 */
export class ExpectedTime extends WaitPolicy {
  override judge(option: WaitOption): WaitVerdict {
    const { othersLossMs, remoteLossMs, slackMs, isUrgent, trust } = option;
    const expectedMs = option.meanMs / trust;
    const mostMs = Math.min(WAIT_SHARE * remoteLossMs, MAX_WAIT_MS);
    if (!(expectedMs + othersLossMs < mostMs)) {
      return { waits: false, cause: ElsewhereCause.WaitTooLong };
    }
    // With more work than room, a wait only changes which task runs elsewhere.
    if (!(option.demandMs < mostMs)) {
      return { waits: false, cause: ElsewhereCause.RackOversubscribed };
    }
    const upperMs = Math.max(option.upperMs, option.meanMs);
    const meetsElsewhere = remoteLossMs <= slackMs;
    // Beyond its slack, work of a later rank is overtaken by new work.
    if (
      expectedMs > slackMs ||
      (upperMs > slackMs && (isUrgent || meetsElsewhere))
    ) {
      return { waits: false, cause: ElsewhereCause.RisksObjective };
    }
    // From the loss elsewhere on, a wait has cost more than it can gain.
    const atMostMs = Math.min(
      upperMs + REPORT_MARGIN_MS,
      remoteLossMs,
      MAX_WAIT_MS,
      slackMs,
    );
    return { waits: true, cause: WaitCause.RoomExpected, atMostMs };
  }
}

/** Creates the policy of a kind. */
export function createWaitPolicy(kind: WaitPolicyKind): WaitPolicy {
  const create: Readonly<Record<WaitPolicyKind, () => WaitPolicy>> = {
    [WaitPolicyKind.NeverWait]: () => new NeverWait(),
    [WaitPolicyKind.FixedWait]: () => new FixedWait(),
    [WaitPolicyKind.SkippedChances]: () => new SkippedChances(),
    [WaitPolicyKind.ExpectedTime]: () => new ExpectedTime(),
  };
  return create[kind]();
}
