/** Chooses among what there is by a command's numbers. */
import type { Cluster } from "../simulation/cluster.ts";

/** A scheduler or an entry. */
export function pickNode(cluster: Cluster, pick: number): string {
  return pickFrom([...cluster.schedulerIds, ...cluster.entryIds], pick)!;
}

/** An entry. */
export function pickEntry(cluster: Cluster, pick: number): string {
  return pickFrom(cluster.entryIds, Math.floor(pick))!;
}

/** A worker. */
export function pickWorker(cluster: Cluster, pick: number) {
  return pickFrom([...cluster.workers.values()], pick)!;
}

/** One of `items`; undefined when there is none. */
export function pickFrom<Item>(
  items: readonly Item[],
  pick: number,
): Item | undefined {
  return items[pick % Math.max(items.length, 1)];
}
