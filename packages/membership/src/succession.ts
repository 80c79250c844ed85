import type { Update } from "@mustardweir/kernel";
import {
  count,
  logChange,
  NODE_IDENTITY,
  replyTo,
} from "@mustardweir/protocol";
import {
  CLAIMS,
  type ClaimState,
  listCandidates,
  type NeededUnit,
} from "./claim_state.ts";
import { newestEpoch } from "./claims.ts";
import { CLAIM_ANSWERED } from "./claim_answered.ts";
import { MAX_SUCCESSORS, reservedEpoch } from "./epochs.ts";
import { isOwnershipConfirmed, OWNED } from "./owned.ts";
import { acquire } from "./owned_units.ts";
import {
  OWNERSHIP,
  type OwnershipRow,
  SLICE_UNIT_PREFIX,
  type Successor,
} from "./ownership.ts";
import { emitRow } from "./ownership_write.ts";
import { PEERS } from "./peers.ts";
import { rankCandidates } from "./rendezvous.ts";

/** An owner is succeeded in an outage when it was silent for this long. */
const SUCCEED_AFTER_MS = 3_000;

/** Additional wait of each successor for the one before it. */
const RANK_WAIT_MS = 1_000;

/**
 * The successors of an owner. Slices only: the home of a team can't be taken
 * over while its journal can't be read.
 */
export function nameSuccessors(
  update: Update,
  { unit, availabilityZone }: NeededUnit,
  epoch: number,
): Successor[] {
  if (!unit.startsWith(SLICE_UNIT_PREFIX)) {
    return [];
  }
  const { nodeId } = update.service(NODE_IDENTITY);
  return rankCandidates(listCandidates(update), { unit, availabilityZone })
    .filter((candidate) => candidate.nodeId !== nodeId)
    .slice(0, MAX_SUCCESSORS)
    .map((candidate, index) => ({
      nodeId: candidate.nodeId,
      epoch: reservedEpoch(epoch, index + 1),
    }));
}

/**
 * Takes over slices of owners that died while the table can't be written, so
 * that the leases of their workers are renewed. A majority must be in reach
 * and know of nothing newer.
 */
export function succeedSilentOwners(update: Update): void {
  if (!isOwnershipConfirmed(update)) {
    return;
  }
  for (const [unit, { row, version }] of update.read(OWNERSHIP).rows) {
    const epoch = epochToSucceedWith(update, row);
    const isNewest = epoch !== undefined && epoch > newestEpoch(update, unit);
    if (isNewest && !update.read(OWNED).units.has(unit)) {
      update.emit(count("slices_succeeded"));
      update.emit(logChange("Slice taken over in an outage", { unit, epoch }));
      acquire(update, unit, {
        epoch,
        version,
        acquiredAt: update.now,
        isFirstOwner: false,
        isReserved: true,
      });
    }
  }
}

/** This node's reserved epoch, when the owner and all before it are silent. */
function epochToSucceedWith(
  update: Update,
  row: OwnershipRow,
): number | undefined {
  const { nodeId } = update.service(NODE_IDENTITY);
  const rank = row.successors.findIndex((s) => s.nodeId === nodeId);
  if (rank < 0 || row.owner === "" || row.owner === nodeId) {
    return undefined;
  }
  const before = row.successors.slice(0, rank).map((s) => s.nodeId);
  const waitMs = SUCCEED_AFTER_MS + rank * RANK_WAIT_MS;
  const isDue = [row.owner, ...before].every((id) =>
    silentFor(update, id) > waitMs
  );
  return isDue ? row.successors[rank]?.epoch : undefined;
}

function silentFor(update: Update, nodeId: string): number {
  const heardAt = update.read(PEERS).views.get(nodeId)?.heardAt;
  const { startedAt = update.now } = update.read(CLAIMS);
  return update.now - Math.max(heardAt ?? startedAt, startedAt);
}

/** Writes the rows of slices that were taken over without a write. */
export function recordSuccessions(update: Update, claims: ClaimState): void {
  for (const [unit, owned] of update.read(OWNED).units) {
    const known = update.read(OWNERSHIP).rows.get(unit);
    const isDue = owned.isReserved === true && !claims.inFlight.has(unit);
    if (!isDue || known === undefined || known.row.epoch >= owned.epoch) {
      continue;
    }
    const { nodeId } = update.service(NODE_IDENTITY);
    const needed = claims.needed.find((other) => other.unit === unit);
    const row: OwnershipRow = {
      owner: nodeId,
      epoch: owned.epoch,
      successors: needed === undefined
        ? []
        : nameSuccessors(update, needed, owned.epoch),
    };
    claims.inFlight.add(unit);
    emitRow(update, unit, {
      row,
      version: known.version,
      replyTo: replyTo(CLAIM_ANSWERED, {
        unit,
        row,
        version: known.version + 1,
        isFirstOwner: false,
      }),
    });
  }
}
