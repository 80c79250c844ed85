import type { NodeIdentity } from "@mustardweir/protocol";
import type { KnownNode } from "@mustardweir/replica";

/** Strength of a node whose limits aren't known, in processor cores. */
const DEFAULT_STRENGTH = 1;
/**
 * Bandwidth that an owner's link needs for each core's worth of decisions, in
 * Mbit/s: starts carry their payload, and ends and checkpoints come back.
 */
const LINK_MBPS_PER_CORE = 40;

/** Returns what the node can carry as the owner, in processor cores. */
export function strengthOf(
  { cores, linkMbps }: Pick<NodeIdentity, "cores" | "linkMbps">,
): number {
  return Math.min(
    cores ?? DEFAULT_STRENGTH,
    (linkMbps ?? Infinity) / LINK_MBPS_PER_CORE,
  );
}

/**
 * Returns the nodes in the order in which they are to own the domain: the
 * strongest first, and of equal ones those that are first in their zones, so
 * that the loss of a zone leaves others.
 */
export function orderCandidates(nodes: readonly KnownNode[]): KnownNode[] {
  const byName = [...nodes].sort((a, b) => a.nodeId < b.nodeId ? -1 : 1);
  const inZone = new Map<string, number>();
  const placed = byName
    .sort((a, b) => strength(b) - strength(a))
    .map((node) => {
      const key = `${node.zone} ${strength(node)}`;
      const place = inZone.get(key) ?? 0;
      inZone.set(key, place + 1);
      return { node, place };
    });
  return placed
    .sort((a, b) => strength(b.node) - strength(a.node) || a.place - b.place)
    .map(({ node }) => node);
}

/** Returns those of the nodes that are as strong as the strongest of them. */
export function selectStrongest(nodes: readonly KnownNode[]): KnownNode[] {
  const most = Math.max(...nodes.map(strength));
  return nodes.filter((node) => strength(node) === most);
}

/** Returns how many of the nodes are at least as strong as the given one. */
export function countAsStrong(
  nodes: readonly KnownNode[],
  than: KnownNode,
): number {
  return nodes.filter((node) => strength(node) >= strength(than)).length;
}

function strength(node: KnownNode): number {
  return node.strength ?? DEFAULT_STRENGTH;
}
