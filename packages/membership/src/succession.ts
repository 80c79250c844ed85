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
import { acquireUnit } from "./owned_units.ts";
import {
  OWNERSHIP,
  type OwnershipRow,
  SLICE_UNIT_PREFIX,
  type Successor,
} from "./ownership.ts";
import { writeRow } from "./ownership_write.ts";
import { PEERS } from "./peers.ts";
import { rankCandidates } from "./rendezvous.ts";

/**
 * An owner without a heartbeat for this long is succeeded while the table is
 * down, in milliseconds.
 */
const OWNER_TIMEOUT_MS = 3_000;

/** Additional delay of each successor after the one before it, in ms. */
const RANK_DELAY_MS = 1_000;

/**
 * Returns the successors for a new ownership row. Only slices have them: the
 * home of a team can't be taken over while its journal can't be read.
 */
export function chooseSuccessors(
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
 * Takes over slices of owners that failed while the table can't be written, so
 * that the leases of their workers are renewed. Requires that this node's
 * ownership was confirmed recently: by a majority of the schedulers, unless the
 * table could still be read then.
 */
export function succeedFailedOwners(update: Update): void {
  if (!isOwnershipConfirmed(update)) {
    return;
  }
  for (const [unit, { row, version }] of update.read(OWNERSHIP).rows) {
    const epoch = findSuccessionEpoch(update, row);
    const isNewest = epoch !== undefined && epoch > newestEpoch(update, unit);
    if (isNewest && !update.read(OWNED).units.has(unit)) {
      update.emit(count("slices_succeeded"));
      update.emit(logChange("Slice taken over in an outage", { unit, epoch }));
      acquireUnit(update, unit, {
        epoch,
        version,
        acquiredAt: update.now,
        isFirstOwner: false,
        isReserved: true,
      });
    }
  }
}

/**
 * Returns this node's reserved epoch if the owner and all successors before
 * this node have timed out.
 */
function findSuccessionEpoch(
  update: Update,
  row: OwnershipRow,
): number | undefined {
  const { nodeId } = update.service(NODE_IDENTITY);
  const rank = row.successors.findIndex((s) => s.nodeId === nodeId);
  if (rank < 0 || row.owner === "" || row.owner === nodeId) {
    return undefined;
  }
  const before = row.successors.slice(0, rank).map((s) => s.nodeId);
  const waitMs = OWNER_TIMEOUT_MS + rank * RANK_DELAY_MS;
  const isDue = [row.owner, ...before].every((id) =>
    timeSinceHeartbeatMs(update, id) > waitMs
  );
  return isDue ? row.successors[rank]?.epoch : undefined;
}

function timeSinceHeartbeatMs(update: Update, nodeId: string): number {
  const receivedAt = update.read(PEERS).views.get(nodeId)?.receivedAt;
  const { startedAt = update.now } = update.read(CLAIMS);
  return update.now - Math.max(receivedAt ?? startedAt, startedAt);
}

/** Records in the table the slices that were taken over while it was down. */
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
        : chooseSuccessors(update, needed, owned.epoch),
    };
    claims.inFlight.add(unit);
    writeRow(update, unit, {
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
