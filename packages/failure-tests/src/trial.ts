import { setTimeout as delay } from "node:timers/promises";
import {
  Cluster,
  collectRuns,
  type EntryAddress,
  matchRuns,
  Operator,
  type OwnershipView,
  type Run,
  type SubmittedJob,
  Submitter,
} from "@mustardweir/demo";
import { JobState } from "@mustardweir/model";
import { Caller } from "./caller.ts";
import { fetchStatusWithKey } from "./entry_probe.ts";
import { FLEET } from "./fleet.ts";
import { Load } from "./load.ts";
import { computeVerdict, type Verdict } from "./verdict.ts";

/** Number of entries, and of schedulers, of a trial. */
const NODES = 3;

/** Timeout of {@link Trial.waitFor}, in milliseconds. */
const WAIT_LIMIT_MS = 60_000;

const POLL_MS = 50;

/** Duration of the load before the first failure, in milliseconds. */
const WARM_UP_MS = 1_000;

/** Maximum number of unfinished jobs printed after a failure. */
const MAX_UNFINISHED_SHOWN = 12;

/** Target for what has to happen within seconds, in milliseconds. */
export const SECONDS_BOUND_MS = 4_000;

/** Options of a trial's load and cluster. */
export interface TrialOptions {
  /** Seed of the load; 1 by default. */
  readonly seed?: number;
  /** Whether schedulers and workers are reached through relays. */
  readonly relayed?: boolean;
  /** Time that the case may take beyond the usual limit, in milliseconds. */
  readonly extraMs?: number;
}

/** A log line of a process. */
export interface LogLine {
  readonly node: string;
  readonly text: string;
}

/** A cluster under load, with its logs and the results of its jobs. */
export class Trial {
  readonly cluster: Cluster;
  /** Clients of the entries that take calls. */
  readonly callers: Caller[] = [];
  readonly logs: LogLine[] = [];
  /** Teams whose submissions may end in a refusal. */
  readonly mayRefuse = new Set<string>();
  readonly keys: Map<string, string> = new Map();
  readonly #seed: number;
  readonly #allCallers: Caller[] = [];
  readonly #savedRuns: Run[] = [];
  readonly #submitters: Submitter[] = [];
  #load: Load | undefined;
  #isClosed = false;

  constructor({ seed = 1, relayed = false }: TrialOptions) {
    this.#seed = seed;
    this.cluster = new Cluster({
      fleet: FLEET,
      nodes: NODES,
      relayed,
      onLog: (node, text) => this.#log({ node, text }),
    });
  }

  get load(): Load {
    if (this.#load === undefined) {
      throw new Error("The load has not started");
    }
    return this.#load;
  }

  /** Starts the cluster, configures it and starts the load. */
  async start(): Promise<void> {
    await this.cluster.start();
    this.cluster.entryAddresses.forEach((entry) => this.addCaller(entry));
    await this.#configure();
    this.#load = new Load({
      apis: this.callers,
      keyOfTeam: this.keys,
      seed: this.#seed,
    });
    await this.waitFor(
      "an owner of every home and slice",
      () => this.#hasAllOwners(),
    );
    this.#submitters.push(this.#load.submitter);
    this.#load.start();
    await delay(WARM_UP_MS);
  }

  /** Starts sending calls to an entry. */
  addCaller({ nodeId, url }: EntryAddress): Caller {
    const caller = new Caller(nodeId, url);
    this.callers.push(caller);
    this.#allCallers.push(caller);
    return caller;
  }

  /** Stops sending new calls to an entry, as a load balancer does. */
  removeCaller(nodeId: string): Caller {
    const index = this.callers.findIndex((own) => own.nodeId === nodeId);
    const [caller] = this.callers.splice(index, 1);
    if (index < 0 || caller === undefined) {
      throw new Error(`No caller sends calls to ${nodeId}`);
    }
    return caller;
  }

  /** Creates a submitter for one entry, with the teams' keys by default. */
  submitterAt(caller: Caller, keyOfTeam = this.keys): Submitter {
    const submitter = new Submitter({
      apis: [caller],
      keyOfTeam,
      giveUpAt: () => this.#isClosed ? -Infinity : Infinity,
    });
    this.#submitters.push(submitter);
    return submitter;
  }

  /** All jobs submitted so far, with the results that were reported. */
  get stories(): SubmittedJob[] {
    return this.#submitters.flatMap(({ stories }) => stories);
  }

  /** Number of calls that got no answer. */
  get unansweredCalls(): number {
    return this.#allCallers.reduce(
      (sum, { unansweredCalls }) => sum + unansweredCalls,
      0,
    );
  }

  /** Waits for a state; resolves to the time it took, in milliseconds. */
  async waitFor(
    what: string,
    isReached: () => boolean | Promise<boolean>,
  ): Promise<number> {
    const from = performance.now();
    while (!await isReached()) {
      if (performance.now() - from > WAIT_LIMIT_MS) {
        throw new Error(`Timed out waiting for ${what}`);
      }
      await delay(POLL_MS);
    }
    return performance.now() - from;
  }

  /** Prints a measured time next to its target. */
  report(what: string, ms: number, boundMs = SECONDS_BOUND_MS): void {
    this.print(`${what} ${Math.round(ms)} ms (target ${boundMs} ms)`);
  }

  print(line: string): void {
    console.log(`      ${line}`);
  }

  /** Returns the owner of a home or slice according to the table. */
  async findOwner(unit: string): Promise<OwnershipView> {
    const owners = await this.cluster.platform.owners();
    const found = owners.find((row) => row.unit === unit);
    if (found === undefined) {
      throw new Error(`${unit} has no owner`);
    }
    return found;
  }

  /** Waits until every unit has an owner other than `nodeId`. */
  async waitForTakeover(nodeId: string): Promise<number> {
    return await this.waitFor(`a takeover from ${nodeId}`, async () => {
      const owners = await this.cluster.platform.owners();
      return owners.every(({ owner }) => owner !== "" && owner !== nodeId);
    });
  }

  /** Number of jobs that have ended so far. */
  get ended(): number {
    return this.stories
      .filter(({ status }) => status?.state === JobState.Ended).length;
  }

  /** Waits until `count` more jobs have ended. */
  async waitForEndedJobs(count: number): Promise<number> {
    const wanted = this.ended + count;
    return await this.waitFor(
      `the end of ${count} jobs`,
      () => this.ended >= wanted,
    );
  }

  /** Returns the runs of the zone's workers so far. */
  async runsIn(zone: string): Promise<Run[]> {
    return await this.#collect((name) => name === zone);
  }

  /** Saves the runs of a zone's workers, whose log ends with their process. */
  async saveRuns(zone: string): Promise<void> {
    this.#savedRuns.push(...await this.runsIn(zone));
  }

  /** Waits for the end of all work and computes the verdict. */
  async finish(): Promise<Verdict> {
    await this.load.finish();
    const { stories } = this;
    const runs = [...this.#savedRuns, ...await this.#collect()];
    const verdict = computeVerdict({
      fleet: FLEET,
      stories,
      runs: matchRuns(runs, stories),
      mayRefuse: this.mayRefuse,
    });
    this.print(`${stories.length} jobs, ${runs.length} starts`);
    return verdict;
  }

  /** Prints some of the unfinished jobs with their last status or refusal. */
  printUnfinishedJobs(): void {
    this.stories
      .filter(({ status }) => status?.state !== JobState.Ended)
      .slice(0, MAX_UNFINISHED_SHOWN)
      .forEach(({ job, status, refusal }) =>
        this.print(
          `${job.team} ${job.idempotencyKey}: ${
            JSON.stringify(status ?? refusal)
          }`,
        )
      );
  }

  async close(): Promise<void> {
    this.#load?.abandon();
    this.#isClosed = true;
    await this.cluster.kill();
    await Promise.all(this.#allCallers.map((caller) => caller.close()));
  }

  async #configure(): Promise<void> {
    const operator = new Operator(this.callers[0]!);
    await operator.put("rules", FLEET.rules);
    await operator.put("inventory", this.cluster.inventory);
    for (const { name } of FLEET.rules.teams) {
      this.keys.set(name, await operator.grantKey(name));
    }
    await this.waitFor("the last key in effect", async () => {
      const key = [...this.keys.values()].at(-1) ?? "";
      const statuses = await Promise.all(
        this.callers.map((caller) => fetchStatusWithKey(caller, key)),
      );
      return statuses.every((status) => status === 200);
    });
  }

  async #hasAllOwners(): Promise<boolean> {
    const { availabilityZones } = FLEET.inventory;
    const units = FLEET.rules.teams.length + availabilityZones.length;
    const owners = await this.cluster.platform.owners();
    return owners.filter(({ owner }) => owner !== "").length === units;
  }

  #collect(isSelected = (_zone: string) => true): Promise<Run[]> {
    const { inventory } = FLEET;
    const availabilityZones = inventory.availabilityZones
      .filter(({ name }) => isSelected(name));
    return collectRuns({
      fleet: { ...FLEET, inventory: { ...inventory, availabilityZones } },
      originOfZone: this.cluster.workerOrigins,
      now: Date.now(),
    });
  }

  #log(line: LogLine): void {
    this.logs.push(line);
    if (process.env["MUSTARDWEIR_TEST_LOGS"] !== undefined) {
      console.error(`${line.node}: ${line.text}`);
    }
  }
}
