/** Commands that bring faults and stops. */
import { FLEET } from "../fleet.ts";
import type { Cluster } from "../simulation/cluster.ts";
import type { Command } from "./command.ts";
import { pickFrom, pickNode } from "./picks.ts";

/** Ways of a link to go silent: one, or both. */
const SILENT_WAYS = 3;

/** A fresh connection takes the place of a silent one within this time. */
export const RECONNECT_MS = 3_000;

/** Shortest pause of a node, in milliseconds. */
const MIN_PAUSE_MS = 1_000;

/** From a planned stop to the next start, at least, in milliseconds. */
const MIN_STOP_MS = 10_500;

/** The platform's list shows the instance as leaving. */
export function leaveTarget(cluster: Cluster, { pick }: Command): void {
  const { instanceId } = pickFrom(FLEET, pick)!;
  cluster.leaveTarget(instanceId);
}

/** Pauses a node, as a signal does, and resumes it. */
export function pause(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  const node = cluster.nodes.get(nodeId)!;
  cluster.pause(nodeId);
  cluster.clock.after(MIN_PAUSE_MS + forMs * 2, () => node.resume());
}

/** Kills a node and starts another in its place. */
export function replace(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.kill(nodeId);
  cluster.clock.after(forMs, () => cluster.start(nodeId));
}

/** Stops a node as planned and starts it again. */
export function plannedStop(cluster: Cluster, { pick, forMs }: Command): void {
  const nodeId = pickNode(cluster, pick);
  cluster.stop(nodeId);
  cluster.clock.after(MIN_STOP_MS + forMs, () => cluster.start(nodeId));
}

/** Switches on faults of the table and the object store. */
export function spoilStore(
  cluster: Cluster,
  faults: Partial<Cluster["store"]["faults"]>,
): void {
  cluster.noteFault();
  cluster.spoilStore({ ...cluster.store.faults, ...faults });
}

/** Switches on faults of the network. */
export function spoilNetwork(
  cluster: Cluster,
  faults: Partial<Cluster["network"]["faults"]>,
): void {
  cluster.noteFault();
  cluster.network.faults = { ...cluster.network.faults, ...faults };
}

/** A connection loses one direction for good; a fresh one comes later. */
export function silence(
  cluster: Cluster,
  { pick, other, forMs }: Command,
): void {
  cluster.noteFault();
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
