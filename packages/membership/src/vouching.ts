import {
  createCommand,
  createStateKey,
  type Update,
} from "@mustardweir/kernel";
import { SCHEDULERS } from "./follower_plugin.ts";

export interface VouchingState {
  /**
   * By scheduler: when this node sent the newest request that was answered
   * without naming anything newer.
   */
  readonly vouchedAt: Map<string, number>;
  /** By scheduler: when this node sent the newest request that was answered. */
  readonly toldAt: Map<string, number>;
}

export const VOUCHING = createStateKey<VouchingState>("vouching");

/** Says whether this node, as a scheduler, vouches for what it goes by. */
export const COMPOSE_OWN_VOUCH = createCommand<{ isSure: boolean }>(
  "compose-own-vouch",
);

/**
 * The latest time at which more than half of the schedulers knew of nothing
 * newer than what this node goes by; -Infinity when too few have said so.
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
 * The latest time at which more than half of the schedulers knew what this
 * node owns; -Infinity when too few have been told.
 */
export function majorityToldAt(update: Update): number {
  return majorityTime(update, update.read(VOUCHING).toldAt, update.now);
}

/** The smallest number that is more than half of `count`. */
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
