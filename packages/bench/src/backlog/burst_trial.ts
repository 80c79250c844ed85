import { createHash } from "node:crypto";
import type { NodeEffect } from "@mustardweir/protocol";
import { DomainCluster, type KernelEvent } from "@mustardweir/prove/domain";
import {
  type Burst,
  deploymentWorkers,
  desiredOf,
  keyOf,
  listJobs,
  QUEUES,
} from "./load.ts";

const NODES = 45;
/** Time for the sessions of all workers to be recorded, in milliseconds. */
const WARM_UP_MS = 8_000;
const LOAD_MS = 14_000;
const MS_PER_SECOND = 1_000;
/** Number of rounds of which the shortest times count. */
const ROUNDS = 4;
const BURST: Burst = { fromMs: 4_000, untilMs: 8_000, factor: 2.2 };

/** Time of the owner's kernel for one kind of event. */
export interface EventCost {
  events: number;
  totalMs: number;
  longestMs: number;
}

/** What the owner's kernel did in one second of load. */
export interface SecondCost {
  totalMs: number;
  /** Longest single event, in milliseconds. */
  longestMs: number;
}

/** Result of a trial. */
export interface BurstResult {
  readonly byKind: ReadonlyMap<string, EventCost>;
  readonly bySecond: readonly SecondCost[];
  /** Number of effects that the owner requested, by kind. */
  readonly effects: ReadonlyMap<string, number>;
  /** Number of started attempts and of accepted jobs. */
  readonly starts: number;
  readonly accepted: number;
  /**
   * First 32 bits of a hash of all starts, ends and answers with their times:
   * the same for two versions that decide the same.
   */
  readonly history: number;
}

/** An event of the owner and the real time that its kernel took for it. */
interface OwnerEvent {
  readonly kind: string;
  /** Second of the load in which it was handled. */
  readonly second: number;
  readonly tookMs: number;
}

interface Round extends Omit<BurstResult, "byKind" | "bySecond"> {
  readonly events: readonly OwnerEvent[];
}

/**
 * Runs deployment A with a burst of its quick queue, in virtual time. All rounds
 * have the same events; of each the shortest time counts, which leaves out the
 * load of other processes, collections of garbage and compilation.
 */
export function runBurstTrial(seed: number, rounds = ROUNDS): BurstResult {
  const [first, ...others] = Array.from(
    { length: rounds },
    () => runRound(seed),
  );
  const byKind = new Map<string, EventCost>();
  const bySecond: SecondCost[] = [];
  first!.events.forEach(({ kind, second, tookMs }, at) => {
    const shortestMs = Math.min(
      tookMs,
      ...others.map(({ events }) => events[at]?.tookMs ?? tookMs),
    );
    const cost = byKind.get(kind) ?? { events: 0, totalMs: 0, longestMs: 0 };
    byKind.set(kind, cost);
    cost.events++;
    addCost(cost, shortestMs);
    addCost(bySecond[second] ??= { totalMs: 0, longestMs: 0 }, shortestMs);
  });
  return { ...first!, byKind, bySecond };
}

function runRound(seed: number): Round {
  const events: OwnerEvent[] = [];
  const effects = new Map<string, number>();
  const measured: { owner?: string | undefined; beginMs: number } = {
    beginMs: Infinity,
  };
  const measureOwner = ({ kind, run }: KernelEvent) => {
    const startMs = performance.now();
    const requested = run();
    const tookMs = performance.now() - startMs;
    const second = Math.floor(
      (cluster.clock.now - measured.beginMs) / MS_PER_SECOND,
    );
    events.push({ kind, second, tookMs });
    return requested;
  };
  const cluster = new DomainCluster({
    seed,
    nodes: NODES,
    workerInfos: deploymentWorkers(),
    desired: desiredOf(QUEUES.map((load) => load.queue)),
    judge: ({ stage, workers }) => judge(cluster, stage, workers),
    measure: (event, nodeId) =>
      nodeId === measured.owner ? measureOwner(event) : event.run(),
    onEffect: ({ kind }: NodeEffect, nodeId) => {
      if (nodeId === measured.owner) {
        effects.set(kind, (effects.get(kind) ?? 0) + 1);
      }
    },
  });
  const { clock } = cluster;
  clock.runUntil(WARM_UP_MS);
  const beginMs = clock.now;
  Object.assign(measured, { owner: cluster.owner, beginMs });
  const others = cluster.nodeIds.filter((id) => id !== measured.owner);
  listJobs(seed, LOAD_MS, BURST).forEach(({ atMs, load, index, spec }, at) =>
    clock.after(atMs, () =>
      cluster.submit(
        jobIdOf(load.queue.name, index),
        spec,
        others[at % others.length]!,
        load.queue.pathPrefix,
        keyOf(at),
      ))
  );
  clock.runUntil(beginMs + LOAD_MS);
  const answers = [...cluster.clients.values()].map((client) =>
    client.answers.map(({ kind }) => kind).join()
  );
  const runs = cluster.runs.map(
    ({ task, attempt, workerId, startMs, endMs, end }) =>
      [task, attempt, workerId, startMs, endMs, end].join(),
  );
  return {
    events,
    effects,
    starts: cluster.runs.length,
    accepted: answers.filter((kinds) => kinds.includes("accepted")).length,
    history: createHash("sha256").update([...runs, ...answers].join("\n"))
      .digest().readUInt32BE(),
  };
}

function addCost(cost: SecondCost, tookMs: number): void {
  cost.totalMs += tookMs;
  cost.longestMs = Math.max(cost.longestMs, tookMs);
}

/** Returns an id whose first letters name the queue. */
function jobIdOf(queue: string, index: number): string {
  return `${Buffer.from(queue.slice(0, 2)).toString("hex")}${
    index.toString(16).padStart(12, "0")
  }`;
}

/** Allows a fixed share of the workers, by a hash of stage and worker. */
function judge(
  { clients }: DomainCluster,
  stage: string,
  workers: readonly string[],
) {
  const prefix = clients.get(stage.split(".")[0]!)?.prefix;
  const load = QUEUES.find(({ queue }) => queue.pathPrefix === prefix)!;
  const { decideMs = 0, perWorkerMs = 0 } = load.queue.permits ?? {};
  return {
    decideMs: decideMs + perWorkerMs * workers.length,
    allowed: workers.filter((worker) =>
      fractionOf(`${stage} ${worker}`) < load.allowedShare
    ),
  };
}

function fractionOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32;
}
