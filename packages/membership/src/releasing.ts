import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type CommitResult,
  count,
  EffectKind,
  type EffectReply,
  NODE_IDENTITY,
  nodeEffect,
  replyTo,
} from "@mustardweir/protocol";
import { CLAIMS, type ClaimState, listCandidates } from "./claim_state.ts";
import { isStopping, markStopping } from "./heartbeat_plugin.ts";
import { OWNED } from "./owned.ts";
import { loseUnit } from "./owned_units.ts";
import { OWNERSHIP } from "./ownership.ts";
import { writeRow } from "./ownership_write.ts";
import { PEER_TIMEOUT_MS } from "./peers.ts";
import { rankCandidates } from "./rendezvous.ts";

/**
 * A peer must have been alive for this long before a unit is handed to it, in
 * milliseconds.
 */
const REBALANCE_AFTER_MS = 10_000;

/**
 * A stopping node waits this long for its releases, in milliseconds; later ones
 * are left to the next owners.
 */
const RELEASE_TIMEOUT_MS = 3_000;

/** Dispatched with the result of a release. */
export const RELEASE_ANSWERED = createCommand<
  EffectReply<string, CommitResult>
>(
  "release-answered",
);

/**
 * Releases one unit for which another live scheduler ranks first. A release that
 * can't be written would leave the unit without an owner.
 */
export function rebalance(update: Update): void {
  const claims = update.read(CLAIMS);
  const { scannedAt } = update.read(OWNERSHIP);
  if (isStopping(update) || update.now - scannedAt > PEER_TIMEOUT_MS) {
    return;
  }
  const candidates = listCandidates(update).filter(({ nodeId }) =>
    isAliveLongEnough(update, nodeId)
  );
  const { nodeId } = update.service(NODE_IDENTITY);
  const units = update.read(OWNED).units;
  const misplaced = claims.needed.find((needed) =>
    units.has(needed.unit) &&
    rankCandidates(candidates, needed)[0]?.nodeId !== nodeId
  );
  if (misplaced !== undefined) {
    release(update, misplaced.unit);
  }
}

function isAliveLongEnough(update: Update, nodeId: string): boolean {
  if (nodeId === update.service(NODE_IDENTITY).nodeId) {
    return true;
  }
  const since = update.read(CLAIMS).aliveSince.get(nodeId) ?? Infinity;
  return update.now - since >= REBALANCE_AFTER_MS;
}

/** Gives a unit up, then clears the owner in its row. */
function release(update: Update, unit: string): void {
  const owned = update.read(OWNED).units.get(unit);
  if (owned === undefined) {
    return;
  }
  loseUnit(update, unit);
  update.write(CLAIMS).inFlight.add(unit);
  writeRow(update, unit, {
    row: { owner: "", epoch: owned.epoch, successors: [] },
    version: owned.version,
    replyTo: replyTo(RELEASE_ANSWERED, unit),
  });
}

/** Handles the result of a release; on failure the unit is claimed again. */
export function handleReleaseResult(
  update: Update,
  unit: string,
  result: CommitResult,
): void {
  update.write(CLAIMS).inFlight.delete(unit);
  update.emit(count(`releases_${result.status.replaceAll("-", "_")}`));
}

/** Starts a planned stop: marks this node as stopping, releases all units. */
export function startStop(update: Update): void {
  const claims = update.write(CLAIMS);
  claims.stopRequestedAt ??= update.now;
  markStopping(update);
  for (const unit of [...update.read(OWNED).units.keys()]) {
    release(update, unit);
  }
}

/** Finishes the planned stop once no release is in flight, or on timeout. */
export function finishStop(update: Update, claims: ClaimState): void {
  const waited = update.now - (claims.stopRequestedAt ?? update.now);
  if (claims.inFlight.size === 0 || waited > RELEASE_TIMEOUT_MS) {
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}
