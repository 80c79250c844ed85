import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import { SCHEDULERS } from "./follower_plugin.ts";

/** The replies of the schedulers to this node's vouch requests. */
export interface VouchingState {
  /**
   * By scheduler: when this node sent the newest request to which the scheduler
   * replied that it has nothing newer.
   */
  readonly vouchedAt: Map<string, number>;
  /**
   * By scheduler: when this node sent the newest request that got any reply.
   */
  readonly informedAt: Map<string, number>;
}

/** State key of {@link VouchingState}. */
export const VOUCHING = createStateKey<VouchingState>("vouching");

/**
 * Dispatched to find out whether this node, as a scheduler, vouches for its own
 * configuration; a handler sets `isSure`.
 */
export const COMPOSE_OWN_VOUCH = createCommand<{ isSure: boolean }>(
  "compose-own-vouch",
);

/**
 * Returns the latest time at which more than half of the schedulers had no
 * newer configuration or owner than this node; -Infinity if too few vouched.
 *
 * @example
 * ```ts
 * const isSafe = update.now - majorityVouchedAt(update) <= LIMIT_MS;
 * ```
 */
export function majorityVouchedAt(update: Update): number {
  const { vouchedAt } = update.read(VOUCHING);
  return majorityTime(update, vouchedAt, ownVouchAt(update));
}

/**
 * Returns the latest time at which more than half of the schedulers had been
 * informed of this node's units; -Infinity if too few have replied.
 */
export function majorityInformedAt(update: Update): number {
  return majorityTime(update, update.read(VOUCHING).informedAt, update.now);
}

/** Returns the smallest number that is more than half of `count`. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

function majorityTime(
  update: Update,
  timeOf: ReadonlyMap<string, number>,
  own: number,
): number {
  const { peers, isMember } = update.read(SCHEDULERS);
  const times = peers.map(({ nodeId }) => timeOf.get(nodeId) ?? -Infinity);
  if (isMember) {
    times.push(own);
  }
  times.sort((a, b) => b - a);
  return times[majorityOf(times.length) - 1] ?? -Infinity;
}

function ownVouchAt(update: Update): number {
  const vouch = { isSure: false };
  update.dispatch(COMPOSE_OWN_VOUCH, vouch);
  return vouch.isSure ? update.now : -Infinity;
}
