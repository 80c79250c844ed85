import type { Update } from "@mustardweir/kernel";
import { OWNERSHIP, resolveOwner, sliceUnit } from "@mustardweir/membership";
import { NO_RESOURCES } from "@mustardweir/model";
import { PeerMessageKind, sendPeer } from "@mustardweir/protocol";
import { outlineSlices } from "./fleet_view.ts";
import type { Home, SliceView } from "./home_state.ts";
import { PlaceabilityCache } from "./placeability_cache.ts";

/**
 * Interval between fences sent to a slice that has not answered, in
 * milliseconds.
 */
const FENCE_RETRY_MS = 400;

/** Sends the home's epoch to every slice that has not acknowledged it yet. */
export function fenceSlices(update: Update, home: Home): void {
  syncViews(update, home);
  if (!hasScannedOwners(update, home)) {
    return;
  }
  for (const view of home.slices.values()) {
    fenceSlice(update, home, view);
  }
}

/**
 * True if the table was scanned since this home was taken over, so that the
 * owners that the slices had then are known. Later owners find this home in the
 * table.
 */
export function hasScannedOwners(update: Update, home: Home): boolean {
  return update.read(OWNERSHIP).scannedAt >= home.acquiredAt;
}

/** Keeps one view for each slice of the inventory. */
function syncViews(update: Update, home: Home): void {
  const outlines = outlineSlices(update);
  for (const { spec } of outlines) {
    if (!home.slices.has(spec.sliceId)) {
      home.slices.set(spec.sliceId, createView(spec.sliceId));
    }
  }
  if (home.slices.size > outlines.length) {
    dropViews(home, new Set(outlines.map(({ spec }) => spec.sliceId)));
  }
}

function dropViews(home: Home, present: ReadonlySet<string>): void {
  for (const [sliceId, view] of home.slices) {
    if (!present.has(sliceId) && view.outstanding === 0) {
      home.slices.delete(sliceId);
    }
  }
}

function createView(sliceId: string): SliceView {
  return {
    sliceId,
    fencedEpoch: 0,
    complete: false,
    fenceSentAt: -Infinity,
    outstanding: 0,
    askedSince: NO_RESOURCES,
    summaryReceivedAt: -Infinity,
    pausedUntil: 0,
    placeability: new PlaceabilityCache(),
  };
}

function fenceSlice(update: Update, home: Home, view: SliceView): void {
  const owner = resolveOwner(update, sliceUnit(view.sliceId));
  if (owner === undefined) {
    return;
  }
  const isFenced = view.fencedEpoch === owner.epoch && view.complete;
  const sentRecently = update.now - view.fenceSentAt < FENCE_RETRY_MS;
  if (isFenced || sentRecently) {
    return;
  }
  view.fenceSentAt = update.now;
  update.emit(sendPeer(owner.nodeId, {
    kind: PeerMessageKind.FenceHome,
    team: home.team,
    homeEpoch: home.epoch,
    sliceId: view.sliceId,
    sliceEpoch: owner.epoch,
  }));
}
