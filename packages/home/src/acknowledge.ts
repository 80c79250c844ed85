import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import { PeerMessageKind, sendPeer } from "@mustardweir/protocol";
import type { Home } from "./home_state.ts";

export interface AcknowledgeOptions {
  readonly sliceId: string;
  readonly taskIds: readonly string[];
}

/** Lets a slice and its workers forget tasks that have ended. */
export function acknowledge(
  update: Update,
  home: Home,
  { sliceId, taskIds }: AcknowledgeOptions,
): void {
  const owner = resolveOwner(update, sliceUnit(sliceId));
  if (owner === undefined) {
    return; // The slice tells of the end again to be acknowledged.
  }
  update.emit(sendPeer(owner.nodeId, {
    kind: PeerMessageKind.TaskEventsAck,
    team: home.team,
    homeEpoch: home.epoch,
    sliceId,
    sliceEpoch: owner.epoch,
    taskIds,
  }));
}
