import type { Update } from "@mustardweir/kernel";
import { CONFIGURATION } from "@mustardweir/configuration";
import { type Configuration, sliceFleet } from "@mustardweir/model";
import {
  type CommitResult,
  count,
  NODE_IDENTITY,
  replyTo,
  StoreStatus,
} from "@mustardweir/protocol";
import {
  CLAIMS,
  type ClaimState,
  isAlive,
  listCandidates,
  type NeededUnit,
  trackAlive,
} from "./claim_state.ts";
import { isStopping } from "./heartbeat_plugin.ts";
import { CLAIM_ANSWERED, type ClaimContext } from "./claim_answered.ts";
import { newestEpoch } from "./claims.ts";
import { nextEpoch } from "./epochs.ts";
import { OWNED, resolveOwner } from "./owned.ts";
import { acquireUnit } from "./owned_units.ts";
import {
  homeUnit,
  OWNERSHIP,
  type OwnershipRow,
  sliceUnit,
} from "./ownership.ts";
import { writeRow } from "./ownership_write.ts";
import { PEER_TIMEOUT_MS } from "./peers.ts";
import { type Candidate, rankCandidates } from "./rendezvous.ts";
import { finishStop } from "./releasing.ts";
import {
  chooseSuccessors,
  recordSuccessions,
  succeedFailedOwners,
} from "./succession.ts";

/**
 * If the table was last read longer ago than this, it is considered down and
 * successors take over without a write, in milliseconds.
 */
const TABLE_DOWN_AFTER_MS = 3_000;

/** Most claims in flight at a time. */
const MAX_CLAIMS_IN_FLIGHT = 16;

/** Claims the units without a live owner for which this node ranks first. */
export function claimUnits(update: Update): void {
  const claims = update.write(CLAIMS);
  claims.startedAt ??= update.now;
  trackAlive(update, claims);
  if (isStopping(update)) {
    finishStop(update, claims);
    return;
  }
  const isPastStartup = update.now - claims.startedAt >= PEER_TIMEOUT_MS;
  const { scannedAt } = update.read(OWNERSHIP);
  if (!isPastStartup) {
    return;
  }
  if (update.now - scannedAt > TABLE_DOWN_AFTER_MS) {
    succeedFailedOwners(update);
  }
  if (update.now - scannedAt > PEER_TIMEOUT_MS) {
    return;
  }
  recordSuccessions(update, claims);
  const candidates = listCandidates(update);
  for (const needed of neededUnits(update, claims)) {
    if (claims.inFlight.size >= MAX_CLAIMS_IN_FLIGHT) {
      return;
    }
    if (shouldClaim(update, claims, { needed, candidates })) {
      sendClaim(update, claims, needed);
    }
  }
}

interface ClaimOptions {
  readonly needed: NeededUnit;
  readonly candidates: readonly Candidate[];
}

function shouldClaim(
  update: Update,
  claims: ClaimState,
  { needed, candidates }: ClaimOptions,
): boolean {
  const { unit } = needed;
  if (update.read(OWNED).units.has(unit) || claims.inFlight.has(unit)) {
    return false;
  }
  const { nodeId } = update.service(NODE_IDENTITY);
  const owner = resolveOwner(update, unit)?.nodeId ?? "";
  if (owner === nodeId) {
    return true; // An earlier process of this node owned the unit.
  }
  if (owner !== "" && isAlive(update, owner)) {
    return false;
  }
  return rankCandidates(candidates, needed)[0]?.nodeId === nodeId;
}

function sendClaim(
  update: Update,
  claims: ClaimState,
  needed: NeededUnit,
): void {
  const { unit } = needed;
  const { nodeId } = update.service(NODE_IDENTITY);
  const known = update.read(OWNERSHIP).rows.get(unit);
  const epoch = nextEpoch(newestEpoch(update, unit));
  const row: OwnershipRow = {
    owner: nodeId,
    epoch,
    successors: chooseSuccessors(update, needed, epoch),
  };
  const version = known?.version ?? 0;
  claims.inFlight.add(unit);
  writeRow(update, unit, {
    row,
    version,
    replyTo: replyTo(CLAIM_ANSWERED, {
      unit,
      row,
      version: version + 1,
      isFirstOwner: known === undefined,
    }),
  });
}

/** Handles the result of a claim, or of recording a succession. */
export function handleClaimResult(
  update: Update,
  { unit, row, version, isFirstOwner }: ClaimContext,
  result: CommitResult,
): void {
  update.write(CLAIMS).inFlight.delete(unit);
  update.emit(count(`claims_${result.status.replaceAll("-", "_")}`));
  if (result.status !== StoreStatus.Ok) {
    return; // The next scan reads the current row.
  }
  const rows = update.write(OWNERSHIP).rows;
  const known = rows.get(unit);
  if (known !== undefined && known.version > version) {
    return; // A scan has already read a newer version of the row.
  }
  rows.set(unit, { row, version });
  const owned = update.write(OWNED).units.get(unit);
  if (owned !== undefined && owned.epoch === row.epoch) {
    // The write recorded a succession; this node owns the unit already.
    const { acquiredAt } = owned;
    const epoch = row.epoch;
    update.write(OWNED).units.set(unit, {
      epoch,
      version,
      acquiredAt,
      isFirstOwner,
    });
    return;
  }
  acquireUnit(update, unit, {
    epoch: row.epoch,
    version,
    acquiredAt: update.now,
    isFirstOwner,
  });
}

function neededUnits(
  update: Update,
  claims: ClaimState,
): readonly NeededUnit[] {
  const { current } = update.read(CONFIGURATION);
  if (claims.neededVersion !== current.version) {
    claims.neededVersion = current.version;
    claims.needed = listNeeded(current);
  }
  return claims.needed;
}

function listNeeded(configuration: Configuration): NeededUnit[] {
  const slices = sliceFleet(configuration.inventory).map((slice) => ({
    unit: sliceUnit(slice.sliceId),
    availabilityZone: slice.availabilityZone,
  }));
  const homes = configuration.rules.teams.map((team) => ({
    unit: homeUnit(team.name),
    availabilityZone: "",
  }));
  return [...slices, ...homes];
}
