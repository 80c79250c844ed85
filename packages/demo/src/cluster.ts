import { createHash } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { AvailabilityZone } from "@mustardweir/model";
import { request } from "undici";
import { Child } from "./child.ts";
import { type Fleet, readdress } from "./fleet_file.ts";
import { freePorts } from "./ports.ts";

/** Entry and scheduler processes of one user. */
const NODES = 6;

/** The operators' first key; the entries know its hash. */
export const OPERATOR_KEY = "demo-operator-key";

export interface ClusterOptions {
  readonly fleet: Fleet;
  /** Number of entries and of schedulers; 6 by default. */
  readonly nodes?: number;
  /** Called with each log line of a process. */
  readonly onLog?: (name: string, line: string) => void;
}

interface SchedulerAddress {
  readonly nodeId: string;
  readonly address: string;
  readonly availabilityZone: string;
}

/** The stand-ins and all processes of the system on this machine. */
export class Cluster {
  readonly #options: ClusterOptions;
  readonly #children = new Map<string, Child>();
  readonly #workerOrigins = new Map<string, string>();
  #platform = "";
  #schedulers: SchedulerAddress[] = [];
  #entries: string[] = [];

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** Base URLs of the entries. */
  get entries(): readonly string[] {
    return this.#entries;
  }

  get platform(): string {
    return this.#platform;
  }

  /** Base URL of the worker process of each availability zone. */
  get workerOrigins(): ReadonlyMap<string, string> {
    return this.#workerOrigins;
  }

  get schedulers(): readonly SchedulerAddress[] {
    return this.#schedulers;
  }

  /** The inventory with the addresses of the worker processes. */
  get inventory() {
    return readdress(this.#options.fleet.inventory, this.#workerOrigins);
  }

  async start(): Promise<void> {
    const { nodes = NODES, fleet } = this.#options;
    const zones = fleet.inventory.availabilityZones;
    const ports = await freePorts(2 * nodes);
    await Promise.all([
      this.#startPlatform(),
      ...zones.map((zone) => this.#startWorkers(zone)),
    ]);
    const zoneOf = (index: number) => zones[index % zones.length]?.name ?? "";
    this.#schedulers = Array.from({ length: nodes }, (_, index) => ({
      nodeId: `scheduler-${index + 1}`,
      address: `127.0.0.1:${ports[index]}`,
      availabilityZone: zoneOf(index),
    }));
    this.#entries = Array.from(
      { length: nodes },
      (_, index) => `http://127.0.0.1:${ports[nodes + index]}`,
    );
    await Promise.all([
      ...this.#schedulers.map(({ nodeId }) => this.startScheduler(nodeId)),
      ...this.#entries.map((_, index) => this.startEntry(index)),
    ]);
  }

  /** Starts a scheduler, for the first time or again. */
  async startScheduler(nodeId: string): Promise<void> {
    const own = this.#schedulers.find((s) => s.nodeId === nodeId);
    if (own === undefined) {
      throw new Error(`No scheduler is named ${nodeId}`);
    }
    await this.#list(nodeId, {
      role: "scheduler",
      address: own.address,
      availabilityZone: own.availabilityZone,
      leaving: false,
    });
    await this.#start(nodeId, "scheduler", [
      ["--listen", own.address],
      ["--availability-zone", own.availabilityZone],
    ]);
  }

  /** Starts an entry, for the first time or again. */
  async startEntry(index: number): Promise<void> {
    const nodeId = `entry-${index + 1}`;
    const url = new URL(this.#entries[index] ?? "");
    const hash = createHash("sha256").update(OPERATOR_KEY).digest("hex");
    const zones = this.#options.fleet.inventory.availabilityZones;
    await this.#start(nodeId, "entry", [
      ["--listen", url.host],
      ["--availability-zone", zones[index % zones.length]?.name ?? ""],
      ["--operator-key-hash", hash],
    ]);
  }

  child(name: string): Child {
    const child = this.#children.get(name);
    if (child === undefined) {
      throw new Error(`No process is named ${name}`);
    }
    return child;
  }

  /** Ends every process; none is left behind. */
  async stop(): Promise<void> {
    const names = [...this.#children.keys()];
    const isStandIn = (name: string) => !/^(entry|scheduler)-/.test(name);
    const stopAll = (some: string[]) =>
      Promise.all(some.map((name) => this.child(name).stop()));
    await stopAll(names.filter((name) => !isStandIn(name)));
    await stopAll(names.filter(isStandIn));
  }

  async #startPlatform(): Promise<void> {
    this.#platform = await this.#startStandIn("platform", "platform", []);
  }

  async #startWorkers(zone: AvailabilityZone): Promise<void> {
    const workers = zone.racks.flatMap((rack) => rack.instances).map((i) =>
      [i.id, i.cpu, i.memoryMb, i.accelerators, i.slots].join(",")
    );
    const origin = await this.#startStandIn(
      `workers-${zone.name}`,
      "worker",
      workers.flatMap((worker) => ["--worker", worker]),
    );
    this.#workerOrigins.set(zone.name, origin);
  }

  async #startStandIn(
    name: string,
    binary: string,
    args: readonly string[],
  ): Promise<string> {
    const child = this.#spawn(name, binary, [
      "--listen",
      "127.0.0.1:0",
      ...args,
    ]);
    const line = await child.ready();
    return line.replace("listening on ", "").trim();
  }

  async #start(
    nodeId: string,
    binary: string,
    flags: readonly (readonly [string, string])[],
  ): Promise<void> {
    const peers = this.#schedulers
      .filter((scheduler) => scheduler.nodeId !== nodeId)
      .map((scheduler) => `${scheduler.nodeId}=${scheduler.address}`);
    const child = this.#spawn(nodeId, binary, [
      "--node-id",
      nodeId,
      "--platform",
      this.#platform,
      "--peers",
      peers.join(","),
      ...flags.flat(),
    ]);
    await child.ready();
  }

  #spawn(name: string, binary: string, args: readonly string[]): Child {
    const script = new URL(
      `../../${binary}/bin/mustardweir-${binary}.js`,
      import.meta.url,
    );
    const child = new Child({
      name,
      script: fileURLToPath(script),
      args,
      onLine: (line) => this.#options.onLog?.(name, line),
    });
    this.#children.set(name, child);
    return child;
  }

  async #list(nodeId: string, entry: object): Promise<void> {
    const url = `${this.#platform}/v1/instances/${nodeId}`;
    const res = await request(url, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(entry),
    });
    await res.body.dump();
  }
}
