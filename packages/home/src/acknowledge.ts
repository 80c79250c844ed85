import type { Update } from "@mustardweir/kernel";
import { resolveOwner, sliceUnit } from "@mustardweir/membership";
import { PeerMessageKind, sendPeer } from "@mustardweir/protocol";
import type { Home } from "./home_state.ts";

export interface AcknowledgeOptions {
  readonly sliceId: string;
  readonly taskIds: readonly string[];
}

/**
 * Acknowledges ended tasks, so that the slice and its workers may drop their
 * records.
 */
export function acknowledge(
  update: Update,
  home: Home,
  { sliceId, taskIds }: AcknowledgeOptions,
): void {
  const owner = resolveOwner(update, sliceUnit(sliceId));
  if (owner === undefined) {
    return; // The slice repeats the report until it is acknowledged.
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
