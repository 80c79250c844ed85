/** Chooses among what there is by a command's numbers. */
import type { Cluster } from "../simulation/cluster.ts";

export function pickNode(cluster: Cluster, pick: number): string {
  return pickFrom([...cluster.schedulerIds, ...cluster.entryIds], pick)!;
}

export function pickEntry(cluster: Cluster, pick: number): string {
  return pickFrom(cluster.entryIds, Math.floor(pick))!;
}

export function pickWorker(cluster: Cluster, pick: number) {
  return pickFrom([...cluster.workers.values()], pick)!;
}

export function pickFrom<Item>(
  items: readonly Item[],
  pick: number,
): Item | undefined {
  return items[pick % Math.max(items.length, 1)];
}
