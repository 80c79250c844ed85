import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  type CommitResult,
  count,
  EffectKind,
  NODE_IDENTITY,
  nodeEffect,
  replyTo,
} from "@mustardweir/protocol";
import { CLAIMS, type ClaimState, listCandidates } from "./claim_state.ts";
import { isStopping, markStopping } from "./heartbeat_plugin.ts";
import { OWNED } from "./owned.ts";
import { lose } from "./owned_units.ts";
import { emitRow } from "./ownership_write.ts";
import { rankCandidates } from "./rendezvous.ts";

/** A preferred owner must have been alive for this long to be given a unit. */
const REBALANCE_AFTER_MS = 10_000;

/** Releases that take longer than this are left to the successors. */
const RELEASE_TIMEOUT_MS = 3_000;

export const RELEASE_ANSWERED = createCommand<Answered<string, CommitResult>>(
  "release-answered",
);

/** Hands one unit at a time to a preferred owner that has come up. */
export function rebalance(update: Update): void {
  const claims = update.read(CLAIMS);
  if (isStopping(update)) {
    return;
  }
  const candidates = listCandidates(update).filter(({ nodeId }) =>
    isSettled(update, nodeId)
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

function isSettled(update: Update, nodeId: string): boolean {
  if (nodeId === update.service(NODE_IDENTITY).nodeId) {
    return true;
  }
  const since = update.read(CLAIMS).aliveSince.get(nodeId) ?? Infinity;
  return update.now - since >= REBALANCE_AFTER_MS;
}

/** Stops acting on a unit, then leaves its row without an owner. */
function release(update: Update, unit: string): void {
  const owned = update.read(OWNED).units.get(unit);
  if (owned === undefined) {
    return;
  }
  lose(update, unit);
  update.write(CLAIMS).inFlight.add(unit);
  emitRow(update, unit, {
    row: { owner: "", epoch: owned.epoch, successors: [] },
    version: owned.version,
    replyTo: replyTo(RELEASE_ANSWERED, unit),
  });
}

/** Takes in what became of a release; a lost one is claimed again. */
export function settleRelease(
  update: Update,
  unit: string,
  result: CommitResult,
): void {
  update.write(CLAIMS).inFlight.delete(unit);
  update.emit(count(`releases_${result.status.replaceAll("-", "_")}`));
}

/** Gives all units up, for a planned stop. */
export function startStop(update: Update): void {
  const claims = update.write(CLAIMS);
  claims.stopRequestedAt ??= update.now;
  markStopping(update);
  for (const unit of [...update.read(OWNED).units.keys()]) {
    release(update, unit);
  }
}

/** Ends the planned stop when every release is answered or late. */
export function finishStop(update: Update, claims: ClaimState): void {
  const waited = update.now - (claims.stopRequestedAt ?? update.now);
  if (claims.inFlight.size === 0 || waited > RELEASE_TIMEOUT_MS) {
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}
