/** Selects objects of the cluster by a command's numbers. */
import type { Cluster } from "../simulation/cluster.ts";

/** Returns the id of a scheduler or an entry. */
export function pickNode(cluster: Cluster, pick: number): string {
  return pickFrom([...cluster.schedulerIds, ...cluster.entryIds], pick)!;
}

/** Returns the id of an entry. */
export function pickEntry(cluster: Cluster, pick: number): string {
  return pickFrom(cluster.entryIds, Math.floor(pick))!;
}

/** Returns a worker. */
export function pickWorker(cluster: Cluster, pick: number) {
  return pickFrom([...cluster.workers.values()], pick)!;
}

/** Returns one of `items`; undefined when it is empty. */
export function pickFrom<Item>(
  items: readonly Item[],
  pick: number,
): Item | undefined {
  return items[pick % Math.max(items.length, 1)];
}
