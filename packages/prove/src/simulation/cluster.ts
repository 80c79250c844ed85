import "../plugins.ts";
import { CONFIGURATION_ROW } from "@mustardweir/configuration";
import { Random, Role } from "@mustardweir/kernel";
import { scaleResources } from "@mustardweir/model";
import {
  ALL_PEERS,
  CALLER_REQUESTED,
  type CallerCall,
  type NodeEffect,
  PEER_MESSAGE_RECEIVED,
  type PeerMessage,
  STOP_REQUESTED,
  type SyncResult,
  SyncResultKind,
  type SyncTargetEffect,
  type Transaction,
} from "@mustardweir/protocol";
import {
  FLEET,
  initialObjects,
  initialRow,
  keyHash,
  OPERATOR_KEY,
  ZONES,
} from "../fleet.ts";
import { type Call, History, type Submission } from "../history.ts";
import { probeNode, readConfiguration } from "./configuration_probe.ts";
import { Network } from "./network.ts";
import { ProcessState, SimulatedNode } from "./node.ts";
import { type Perform, PERFORMERS, reply } from "./performers.ts";
import { NO_STORE_FAULTS, SimulatedStore, type StoreFaults } from "./store.ts";
import { Tampering } from "./tampering.ts";
import { VirtualClock } from "./virtual_clock.ts";
import { WorkerHost } from "./worker_host.ts";

/** Wall-clock time at virtual time 0, in milliseconds since 1970. */
const WALL_START_MS = 1_800_000_000_000;

/** Interval between probes of the configuration in force, in ms. */
const PROBE_INTERVAL_MS = 500;

/** Time after which a planned stop is ended by a kill, in milliseconds. */
const STOP_TIMEOUT_MS = 10_000;

/** Actual capacity of most workers, relative to the inventory. */
const SUFFICIENT_FACTOR = 4;

/** Actual capacity of a worker that the inventory overstates. */
const OVERSTATED_FACTOR = 0.5;

/** One in this many workers has its capacity overstated. */
const OVERSTATED_ONE_IN = 8;

/** Options of a simulated cluster. */
export interface ClusterOptions {
  /** Seed of all random choices. */
  readonly seed: number;
  /** Number of schedulers; 3 by default. */
  readonly schedulers?: number;
  readonly tampering?: Tampering;
}

/** Entry, key and time to live of a call. */
export interface CallOptions {
  readonly entryId: string;
  readonly keyId: string;
  readonly team?: string;
  readonly ttlMs?: number;
  readonly submission?: Submission;
}

/** Name of the platform as an endpoint of connections. */
export const PLATFORM = "platform";

const ENTRY_IDS = ["e1", "e2"];
const DEFAULT_TTL_MS = 6_000;

/**
 * Schedulers, entries and workers over a simulated network and store, in
 * virtual time.
 */
export class Cluster {
  readonly clock = new VirtualClock();
  readonly history = new History();
  readonly random: Random;
  readonly network: Network;
  readonly store: SimulatedStore;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly workers = new Map<string, WorkerHost>();
  readonly schedulerIds: string[];
  readonly entryIds: readonly string[] = ENTRY_IDS;
  readonly #tampering: Tampering;
  #starts = 0;
  #requests = 0;

  constructor(options: ClusterOptions) {
    const { clock } = this;
    this.random = new Random(options.seed);
    this.#tampering = options.tampering ?? new Tampering();
    this.network = new Network({ clock, random: this.#fork() });
    this.store = new SimulatedStore({
      clock,
      random: this.#fork(),
      isCutOff: (nodeId) => this.network.isSilent(nodeId, PLATFORM),
      onCommit: (transaction) => this.#recordCommit(transaction),
    });
    this.schedulerIds = [...Array(options.schedulers ?? 3).keys()]
      .map((index) => `s${index + 1}`);
    this.history.schedulers = this.schedulerIds.length;
    this.#initialise();
  }

  get now(): number {
    return this.clock.now;
  }

  run(forMs: number): void {
    this.clock.runUntil(this.now + forMs);
  }

  /** Makes a call; the history records it and its answers. */
  call(call: CallerCall, options: CallOptions): Call {
    const node = this.nodes.get(options.entryId)!;
    const ttlMs = options.ttlMs ?? DEFAULT_TTL_MS;
    const made: Call = {
      requestId: `r${++this.#requests}`,
      entryId: node.nodeId,
      incarnation: node.identity.incarnation,
      keyId: options.keyId,
      team: options.team,
      submission: options.submission,
      call,
      sentAt: this.now,
      ttlMs,
      answers: [],
      isInterrupted: node.state !== ProcessState.Running,
    };
    this.history.calls.set(made.requestId, made);
    node.post(CALLER_REQUESTED, {
      requestId: made.requestId,
      keyHash: keyHash(options.keyId),
      wallMs: WALL_START_MS + this.now,
      ttlMs,
      call,
    });
    return made;
  }

  pause(nodeId: string): void {
    this.#recordNodeFault(nodeId);
    this.nodes.get(nodeId)?.pause();
  }

  kill(nodeId: string): void {
    this.#recordNodeFault(nodeId);
    this.#end(nodeId);
  }

  /** Starts a process under this name, unless one is alive. */
  start(nodeId: string): void {
    const old = this.nodes.get(nodeId);
    if (old !== undefined && old.state !== ProcessState.Dead) {
      return;
    }
    const role = ENTRY_IDS.includes(nodeId) ? Role.Entry : Role.Scheduler;
    const availabilityZone = this.#zoneOf(nodeId);
    const node = new SimulatedNode({
      identity: {
        nodeId,
        role,
        incarnation: `${nodeId}-${++this.#starts}`,
        availabilityZone,
        seedPeers: this.schedulerIds.map(addressOf),
      },
      operatorKeyHash: keyHash(OPERATOR_KEY),
      clock: this.clock,
      random: this.#fork(),
      tampering: this.#tampering,
      perform: (from, effect) => this.#perform(from, effect),
    });
    this.nodes.set(nodeId, node);
    if (role === Role.Scheduler) {
      const address = addressOf(nodeId).address;
      const instance = { nodeId, role, address, availabilityZone };
      this.store.putInstance({ ...instance, leaving: false });
    }
  }

  /** Requests a planned stop of a process. */
  stop(nodeId: string): void {
    const node = this.nodes.get(nodeId)!;
    if (node.state !== ProcessState.Running || node.isStopping) {
      return;
    }
    node.markStopping();
    const { role, incarnation } = node.identity;
    const stop = {
      nodeId,
      incarnation,
      role,
      at: this.now,
      isInterrupted: false,
    };
    this.history.stops.push(stop);
    node.post(STOP_REQUESTED, {});
    this.clock.after(STOP_TIMEOUT_MS, () => {
      if (this.nodes.get(nodeId) === node) {
        this.#end(nodeId);
      }
    });
  }

  /** Marks a worker's instance as leaving in the platform's list. */
  markTargetLeaving(instanceId: string): void {
    this.#updateListedTarget(instanceId, true);
    const at = this.now;
    this.history.leaving.push({ instanceId, at, until: Infinity });
  }

  /** Removes all faults and starts processes that are down. */
  heal(): void {
    this.network.heal();
    this.setStoreFaults(NO_STORE_FAULTS);
    for (const worker of this.workers.values()) {
      worker.state.setFaults({ failEverything: false, lieFactor: 1 });
    }
    for (const node of [...this.nodes.values()]) {
      node.resume();
      this.start(node.nodeId);
    }
    for (const leaving of this.history.leaving) {
      this.#updateListedTarget(leaving.instanceId, false);
      leaving.until = this.now;
    }
    this.history.healedAt = this.now;
  }

  setStoreFaults(faults: StoreFaults): void {
    this.store.faults = faults;
    const isFaulty = JSON.stringify(faults) !== JSON.stringify(NO_STORE_FAULTS);
    this.history.platform.push({ at: this.now, isFaulty });
  }

  recordFault(): void {
    this.history.faults.push(this.now);
  }

  #initialise(): void {
    initialObjects().forEach((body, key) => this.store.objects.set(key, body));
    this.store.apply({
      checks: [],
      puts: [{ key: CONFIGURATION_ROW, value: initialRow() }],
      deletes: [],
    });
    FLEET.forEach(({ instanceId, capacity }) => {
      const isOverstated = this.random.below(OVERSTATED_ONE_IN) === 0;
      const factor = isOverstated ? OVERSTATED_FACTOR : SUFFICIENT_FACTOR;
      const state = this.#tampering.createWorker({
        capacity: scaleResources(capacity, factor),
        incarnation: instanceId,
      });
      const worker = new WorkerHost({
        instanceId,
        state,
        clock: this.clock,
        random: this.#fork(),
        listener: this.history,
      });
      this.workers.set(instanceId, worker);
    });
    [...this.schedulerIds, ...ENTRY_IDS].forEach((id) => this.start(id));
    this.clock.after(PROBE_INTERVAL_MS, () => this.#probe());
  }

  #updateListedTarget(instanceId: string, leaving: boolean): void {
    const { availabilityZone } = FLEET.find((instance) =>
      instance.instanceId === instanceId
    )!;
    const instance = { nodeId: instanceId, role: "worker", address: "" };
    this.store.putInstance({ ...instance, availabilityZone, leaving });
  }

  #fork(): Random {
    return new Random(this.random.below(0x4000_0000));
  }

  #zoneOf(nodeId: string): string {
    const index = Number.parseInt(nodeId.slice(1), 10);
    return ZONES[index % ZONES.length]!;
  }

  #end(nodeId: string): void {
    this.nodes.get(nodeId)?.kill();
    this.#markInterrupted(nodeId);
  }

  #recordNodeFault(nodeId: string): void {
    this.recordFault();
    this.#markInterrupted(nodeId);
  }

  /** Marks the open calls and planned stops of a node as interrupted. */
  #markInterrupted(nodeId: string): void {
    for (const call of this.history.calls.values()) {
      if (call.entryId === nodeId && call.answers.length === 0) {
        call.isInterrupted = true;
      }
    }
    for (const stop of this.history.stops) {
      stop.isInterrupted ||= stop.nodeId === nodeId &&
        stop.stoppedAt === undefined;
    }
  }

  #perform(from: SimulatedNode, effect: NodeEffect): void {
    const perform = PERFORMERS[effect.kind] as Perform<NodeEffect>;
    perform(this, from, effect);
  }

  /** @internal */
  sendPeer(from: SimulatedNode, to: string, message: PeerMessage): void {
    const receivers = to === ALL_PEERS
      ? [...this.nodes.values()].filter((node) => node !== from)
      : [this.nodes.get(to)];
    for (const receiver of receivers) {
      const deliver = () =>
        receiver?.post(PEER_MESSAGE_RECEIVED, { from: from.nodeId, message });
      if (receiver === from) {
        this.clock.after(0, deliver);
      } else if (receiver !== undefined) {
        this.network.send(from.nodeId, receiver.nodeId, deliver);
      }
    }
  }

  /** @internal */
  syncTarget(from: SimulatedNode, effect: SyncTargetEffect): void {
    const { instanceId, call, timeoutMs } = effect;
    let isOver = false;
    const finish = (result: SyncResult) => {
      if (!isOver) {
        isOver = true;
        reply(from, effect.replyTo, result);
      }
    };
    this.clock.after(from.localClock.toVirtualDuration(timeoutMs), () => {
      finish({
        kind: SyncResultKind.NoAnswer,
        message: "No reply within the timeout",
      });
    });
    const worker = this.workers.get(instanceId);
    this.network.send(from.nodeId, instanceId, () => {
      worker?.sync(call, (result) => {
        this.network.send(instanceId, from.nodeId, () => finish(result));
      });
    });
  }

  /** @internal */
  recordStopped(node: SimulatedNode): void {
    const stop = this.history.stops.find(({ incarnation }) =>
      incarnation === node.identity.incarnation
    );
    if (stop !== undefined) {
      stop.stoppedAt ??= this.now;
    }
    node.kill();
  }

  #recordCommit({ puts }: Transaction): void {
    const row = puts.find(({ key }) => key === CONFIGURATION_ROW);
    if (row !== undefined) {
      const configuration = readConfiguration(row.value, this.store.objects);
      this.history.versions.push({ configuration, committedAt: this.now });
    }
  }

  #probe(): void {
    for (const node of this.nodes.values()) {
      if (node.state === ProcessState.Running) {
        this.history.probes.push(probeNode(node, this.now));
      }
    }
    this.clock.after(PROBE_INTERVAL_MS, () => this.#probe());
  }
}

function addressOf(nodeId: string) {
  return { nodeId, address: `${nodeId}:1` };
}
