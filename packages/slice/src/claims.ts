import { fitsWithin } from "@mustardweir/model";
import type { QueuedAsk } from "./ask_queue.ts";
import type { RoomClaim, Slice, TeamView } from "./slice_state.ts";

/** Longest time that an instance is kept for an ask, in milliseconds. */
const CLAIM_MS = 3_000;

export interface ClaimOptions {
  readonly instanceId: string;
  readonly view: TeamView;
  readonly queued: QueuedAsk;
  readonly victims: RoomClaim["victims"];
  readonly now: number;
  /** How long the instance is kept at most; 3 s by default. */
  readonly forMs?: number;
}

/** Keeps an instance for an ask until what is stopped there has ended. */
export function claimRoom(slice: Slice, options: ClaimOptions): void {
  const { instanceId, view, queued, victims, now } = options;
  const { forMs = CLAIM_MS } = options;
  slice.claims.set(instanceId, {
    view,
    seq: queued.ask.seq,
    victims,
    expiresAt: now + forMs,
  });
  const worker = slice.workers.get(instanceId);
  if (worker !== undefined) {
    slice.touched.add(worker);
    slice.table.setEligible(worker.index, false);
  }
}

/** A claim whose room has come free. */
export interface ReadyClaim {
  readonly instanceId: string;
  readonly view: TeamView;
  readonly queued: QueuedAsk;
}

/** Ends claims that are served or of no use; returns those to be served. */
export function takeReadyClaims(slice: Slice, now: number): ReadyClaim[] {
  const ready: ReadyClaim[] = [];
  for (const [instanceId, claim] of slice.claims) {
    const { view, seq, expiresAt } = claim;
    const queued = view.queue.get(seq);
    const worker = slice.workers.get(instanceId);
    if (queued === undefined || worker === undefined || now >= expiresAt) {
      endClaim(slice, instanceId);
    } else if (
      fitsWithin(queued.ask.task.size, slice.table.freeAt(worker.index))
    ) {
      endClaim(slice, instanceId);
      ready.push({ instanceId, view, queued });
    }
  }
  return ready;
}

function endClaim(slice: Slice, instanceId: string): void {
  slice.claims.delete(instanceId);
  const worker = slice.workers.get(instanceId);
  if (worker !== undefined) {
    slice.touched.add(worker);
  }
}

/** True when some instance is kept for the ask. */
export function hasClaim(slice: Slice, view: TeamView, seq: number): boolean {
  for (const claim of slice.claims.values()) {
    if (claim.view === view && claim.seq === seq) {
      return true;
    }
  }
  return false;
}
