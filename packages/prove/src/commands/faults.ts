/** Commands that inject faults and planned stops. */
import { FLEET } from "../fleet.ts";
import type { Cluster } from "../simulation/cluster.ts";
import type { Command } from "./command.ts";
import { pickFrom, pickNode } from "./picks.ts";

/** Number of ways in which a link goes silent: one direction, or both. */
const SILENT_WAYS = 3;

/** Time after which a silent connection is replaced, in milliseconds. */
export const RECONNECT_MS = 3_000;

/** Minimum pause of a node, in milliseconds. */
const MIN_PAUSE_MS = 1_000;

/** Minimum time from a planned stop to the next start, in milliseconds. */
const MIN_STOP_MS = 10_500;

/** Marks an instance as leaving in the platform's list. */
export function markTargetLeaving(cluster: Cluster, { pick }: Command): void {
  const { instanceId } = pickFrom(FLEET, pick)!;
  cluster.markTargetLeaving(instanceId);
}

/** Pauses a node, as SIGSTOP does, and resumes it later. */
export function pause(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  const node = cluster.nodes.get(nodeId)!;
  cluster.pause(nodeId);
  cluster.clock.after(MIN_PAUSE_MS + forMs * 2, () => node.resume());
}

/** Kills a node and starts a new process under its name. */
export function replace(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.kill(nodeId);
  cluster.clock.after(forMs, () => cluster.start(nodeId));
}

/** Requests a planned stop of a node and starts it again later. */
export function plannedStop(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.stop(nodeId);
  cluster.clock.after(MIN_STOP_MS + forMs, () => cluster.start(nodeId));
}

/** Changes some faults of the table and the object store. */
export function addStoreFaults(
  cluster: Cluster,
  faults: Partial<Cluster["store"]["faults"]>,
): void {
  cluster.recordFault();
  cluster.setStoreFaults({ ...cluster.store.faults, ...faults });
}

/** Changes some faults of the network. */
export function addNetworkFaults(
  cluster: Cluster,
  faults: Partial<Cluster["network"]["faults"]>,
): void {
  cluster.recordFault();
  cluster.network.faults = { ...cluster.network.faults, ...faults };
}

/**
 * Silences one or both directions of a connection until a new connection
 * replaces it.
 */
export function silence(
  cluster: Cluster,
  { pick, other, forMs }: Command,
): void {
  cluster.recordFault();
  const ends = [
    ...cluster.schedulerIds,
    ...cluster.entryIds,
    ...cluster.workers.keys(),
  ];
  const from = cluster.schedulerIds[pick % cluster.schedulerIds.length]!;
  const to = ends[other % ends.length]!;
  const silentMs = RECONNECT_MS + forMs;
  const way = pick % SILENT_WAYS;
  if (way !== 0) {
    cluster.network.silence(from, to, silentMs);
  }
  if (way !== 1) {
    cluster.network.silence(to, from, silentMs);
  }
}
