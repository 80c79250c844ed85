import type { Update } from "@mustardweir/kernel";
import { NODE_IDENTITY } from "@mustardweir/protocol";
import { hasOwnerEnded, type TenureRecord } from "@mustardweir/replica";

/** What the owner by a tenure record is to this process. */
export enum OwnerProcess {
  This = "this",
  /** An earlier process of this node, which has ended. */
  EndedHere = "ended-here",
  /** A process of another node, or one of this node that may still run. */
  Other = "other",
}

/**
 * Returns what the owner by a tenure record is to this process.
 *
 * @example
 * ```ts
 * const mayClaimAtOnce =
 *   identifyOwner(update, record) !== OwnerProcess.Other;
 * ```
 */
export function identifyOwner(
  update: Update,
  record: TenureRecord,
): OwnerProcess {
  const own = ownProcess(update);
  if (record.nodeId !== own.nodeId) {
    return OwnerProcess.Other;
  }
  if (record.incarnation === own.incarnation) {
    return OwnerProcess.This;
  }
  return hasOwnerEnded(record, own)
    ? OwnerProcess.EndedHere
    : OwnerProcess.Other;
}

/** Returns the fields of a tenure record that name this process as the owner. */
export function ownProcess(
  update: Update,
): Required<Pick<TenureRecord, "nodeId" | "incarnation" | "address">> {
  const { nodeId, incarnation, peerAddress = "" } = update.service(
    NODE_IDENTITY,
  );
  return { nodeId, incarnation, address: peerAddress };
}
