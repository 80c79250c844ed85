import { createHash } from "node:crypto";
import type { AvailabilityZone } from "@mustardweir/model";
import type { Child } from "./child.ts";
import { type Fleet, withWorkerAddresses } from "./fleet_file.ts";
import { Binary, Launcher } from "./launcher.ts";
import { PlatformControl } from "./platform_control.ts";
import { findFreePort } from "./ports.ts";
import { Relay } from "./relay.ts";

/** Default number of entries and of schedulers. */
const DEFAULT_NODE_COUNT = 6;

/** The operators' first key; entries are started with its hash. */
export const OPERATOR_KEY = "demo-operator-key";

const NODE_NAME = /^(entry|scheduler)-/;

/** The fleet to run and the number of nodes. */
export interface ClusterOptions {
  readonly fleet: Fleet;
  /** Number of entries and of schedulers; 6 by default. */
  readonly nodes?: number;
  /** Whether schedulers and workers are reached through relays. */
  readonly relayed?: boolean;
  /** Called with each line that a process prints. */
  readonly onLog?: (name: string, line: string) => void;
}

/** The addresses of a scheduler. */
export interface SchedulerAddress {
  readonly nodeId: string;
  /** Address that the process listens on. */
  readonly listen: string;
  /** Address that other nodes connect to: the relay, if there is one. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** The address of an entry. */
export interface EntryAddress {
  readonly nodeId: string;
  readonly url: string;
  readonly availabilityZone: string;
}

/** Runs the stand-ins and all processes of the system on this machine. */
export class Cluster {
  readonly #options: ClusterOptions;
  readonly #launcher: Launcher;
  readonly #relays = new Map<string, Relay>();
  /** The listen address and the reachable origin of each zone's workers. */
  readonly #workerListens = new Map<string, string>();
  readonly #workerOrigins = new Map<string, string>();
  #platform = "";
  #schedulers: readonly SchedulerAddress[] = [];
  #entries: readonly EntryAddress[] = [];
  #lastSchedulerIndex = 0;
  #lastEntryIndex = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
    this.#launcher = new Launcher(options.onLog);
  }

  /** Base URLs of the entries. */
  get entries(): readonly string[] {
    return this.#entries.map(({ url }) => url);
  }

  get entryAddresses(): readonly EntryAddress[] {
    return this.#entries;
  }

  get platform(): PlatformControl {
    return new PlatformControl(this.#platform);
  }

  /** Base URL of the worker process of each zone, bypassing any relay. */
  get workerOrigins(): ReadonlyMap<string, string> {
    return new Map(
      [...this.#workerListens].map(([zone, at]) => [zone, `http://${at}`]),
    );
  }

  get schedulers(): readonly SchedulerAddress[] {
    return this.#schedulers;
  }

  /** The inventory with the addresses of the worker processes. */
  get inventory() {
    return withWorkerAddresses(
      this.#options.fleet.inventory,
      this.#workerOrigins,
    );
  }

  async start(): Promise<void> {
    const { nodes = DEFAULT_NODE_COUNT } = this.#options;
    const indexes = Array.from({ length: nodes }, (_, index) => index);
    await Promise.all([
      this.#startPlatform(),
      ...this.#zones.map((zone) => this.#startZone(zone)),
    ]);
    this.#schedulers = await Promise.all(
      indexes.map(() => this.#assignSchedulerAddress()),
    );
    this.#entries = await Promise.all(
      indexes.map(() => this.#assignEntryAddress()),
    );
    await Promise.all([
      ...this.#schedulers.map((scheduler) => this.#startScheduler(scheduler)),
      ...this.#entries.map((entry) => this.#startEntry(entry)),
    ]);
  }

  /** Starts another scheduler. */
  async addScheduler(): Promise<SchedulerAddress> {
    const scheduler = await this.#assignSchedulerAddress();
    this.#schedulers = [...this.#schedulers, scheduler];
    await this.#startScheduler(scheduler);
    return scheduler;
  }

  /** Stops a scheduler gracefully and removes it from the instance list. */
  async retireScheduler(nodeId: string): Promise<void> {
    const leaving = this.#schedulers.find((own) => own.nodeId === nodeId);
    this.#schedulers = this.#schedulers.filter((own) => own !== leaving);
    if (leaving !== undefined) {
      await this.#listScheduler(leaving, { isLeaving: true });
    }
    const child = this.child(nodeId);
    child.signal("SIGTERM");
    await child.exited();
    await this.platform.unlist(nodeId);
  }

  /** Starts another entry. */
  async addEntry(): Promise<EntryAddress> {
    const entry = await this.#assignEntryAddress();
    await this.#startEntry(entry);
    this.#entries = [...this.#entries, entry];
    return entry;
  }

  /** Stops an entry gracefully. Callers must use other entries by then. */
  async retireEntry(nodeId: string): Promise<void> {
    this.#entries = this.#entries.filter((entry) => entry.nodeId !== nodeId);
    const child = this.child(nodeId);
    child.signal("SIGTERM");
    await child.exited();
  }

  /** Starts the worker process of a zone again at its previous address. */
  async restartWorkers(zoneName: string): Promise<void> {
    const zone = this.#zones.find(({ name }) => name === zoneName);
    if (zone !== undefined) {
      const listen = this.#workerListens.get(zoneName) ?? "";
      await this.#startWorkers(zone, listen);
    }
  }

  child(name: string): Child {
    return this.#launcher.child(name);
  }

  /** Returns the relay in front of a scheduler or worker process, by name. */
  relay(name: string): Relay {
    const relay = this.#relays.get(name);
    if (relay === undefined) {
      throw new Error(`There is no relay in front of ${name}`);
    }
    return relay;
  }

  /** Stops all processes gracefully, and all relays. */
  async stop(): Promise<void> {
    await this.#launcher.stop(NODE_NAME);
    await this.#stopRelays();
  }

  /** Kills all processes, and stops all relays. */
  async kill(): Promise<void> {
    await this.#launcher.kill();
    await this.#stopRelays();
  }

  get #zones(): readonly AvailabilityZone[] {
    return this.#options.fleet.inventory.availabilityZones;
  }

  async #startPlatform(): Promise<void> {
    const line = await this.#launcher.launch({
      name: "platform",
      binary: Binary.Platform,
      args: ["--listen", "127.0.0.1:0"],
    });
    this.#platform = line.replace("listening on ", "").trim();
  }

  async #startZone(zone: AvailabilityZone): Promise<void> {
    const port = await findFreePort();
    const listen = `127.0.0.1:${port}`;
    this.#workerListens.set(zone.name, listen);
    await this.#startWorkers(zone, listen);
    const address = await this.#relayIfEnabled(`workers-${zone.name}`, listen);
    this.#workerOrigins.set(zone.name, `http://${address}`);
  }

  async #startWorkers(zone: AvailabilityZone, listen: string): Promise<void> {
    const workers = zone.racks.flatMap((rack) => rack.instances).map((i) =>
      [i.id, i.cpu, i.memoryMb, i.accelerators, i.slots].join(",")
    );
    await this.#launcher.launch({
      name: `workers-${zone.name}`,
      binary: Binary.Worker,
      args: [
        ...["--listen", listen],
        ...workers.flatMap((worker) => ["--worker", worker]),
      ],
    });
  }

  async #assignSchedulerAddress(): Promise<SchedulerAddress> {
    this.#lastSchedulerIndex += 1;
    const index = this.#lastSchedulerIndex;
    const port = await findFreePort();
    const nodeId = `scheduler-${index}`;
    const listen = `127.0.0.1:${port}`;
    const address = await this.#relayIfEnabled(nodeId, listen);
    return { nodeId, listen, address, availabilityZone: this.#zoneOf(index) };
  }

  async #assignEntryAddress(): Promise<EntryAddress> {
    this.#lastEntryIndex += 1;
    const index = this.#lastEntryIndex;
    const port = await findFreePort();
    return {
      nodeId: `entry-${index}`,
      url: `http://127.0.0.1:${port}`,
      availabilityZone: this.#zoneOf(index),
    };
  }

  #zoneOf(index: number): string {
    return this.#zones[(index - 1) % this.#zones.length]?.name ?? "";
  }

  async #startScheduler(scheduler: SchedulerAddress): Promise<void> {
    await this.#listScheduler(scheduler, { isLeaving: false });
    await this.#startNode(scheduler, Binary.Scheduler, [
      "--listen",
      scheduler.listen,
    ]);
  }

  async #startEntry(entry: EntryAddress): Promise<void> {
    const hash = createHash("sha256").update(OPERATOR_KEY).digest("hex");
    await this.#startNode(entry, Binary.Entry, [
      ...["--listen", new URL(entry.url).host],
      ...["--operator-key-hash", hash],
    ]);
  }

  async #startNode(
    node: { readonly nodeId: string; readonly availabilityZone: string },
    binary: Binary,
    flags: readonly string[],
  ): Promise<void> {
    const peers = this.#schedulers
      .filter(({ nodeId }) => nodeId !== node.nodeId)
      .map(({ nodeId, address }) => `${nodeId}=${address}`);
    await this.#launcher.launch({
      name: node.nodeId,
      binary,
      args: [
        ...["--node-id", node.nodeId],
        ...["--availability-zone", node.availabilityZone],
        ...["--platform", this.#platform],
        ...["--peers", peers.join(",")],
        ...flags,
      ],
    });
  }

  async #listScheduler(
    { nodeId, address, availabilityZone }: SchedulerAddress,
    { isLeaving }: { readonly isLeaving: boolean },
  ): Promise<void> {
    const leaving = isLeaving;
    await this.platform.list({ nodeId, address, availabilityZone, leaving });
  }

  /**
   * Starts a relay in front of a listener if the cluster uses relays. Returns
   * the address to connect to.
   */
  async #relayIfEnabled(name: string, listen: string): Promise<string> {
    if (this.#options.relayed !== true) {
      return listen;
    }
    const relay = new Relay({ target: listen });
    this.#relays.set(name, relay);
    return await relay.start();
  }

  async #stopRelays(): Promise<void> {
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
  }
}
