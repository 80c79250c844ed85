import { setTimeout as delay } from "node:timers/promises";
import { Api } from "./api.ts";
import { audit, computePacking, computeTeamShares } from "./audit.ts";
import { Cluster } from "./cluster.ts";
import { renderReport } from "./demo_report.ts";
import type { ExampleFleet } from "./fleet_file.ts";
import { Operator } from "./operator.ts";
import { collectRuns, matchRuns } from "./runs.ts";
import { Submitter } from "./submitter.ts";
import { createWorkload } from "./workload.ts";

/** Duration of the load, in milliseconds. */
const LOAD_MS = 16_000;

/** When a scheduler is killed, in milliseconds from the start of the load. */
const KILL_AT_MS = 4_000;

/** When a zone is drained and returned, in ms from the start of the load. */
const DRAIN_AT_MS = 8_000;
const RETURN_AT_MS = 12_500;

/** When submitters stop waiting, in milliseconds from the same start. */
const GIVE_UP_MS = 36_000;

/** The example fleet to run, and the seed of the workload. */
export interface DemoOptions {
  readonly fleet: ExampleFleet;
  /** Seed of the workload; 1 by default. */
  readonly seed?: number;
  readonly onLog?: (name: string, line: string) => void;
}

/**
 * Runs the demo; resolves to true if the audit found no fault.
 *
 * @example
 * ```ts
 * const isClean = await runDemo({ fleet, seed: 7 });
 * ```
 */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const cluster = new Cluster(options);
  const apis: Api[] = [];
  try {
    await cluster.start();
    apis.push(...cluster.entries.map((base) => new Api(base)));
    return await new Demo(options, cluster, apis).run();
  } finally {
    await Promise.all(apis.map((api) => api.close()));
    await cluster.stop();
  }
}

/** One run of the demo on a running cluster. */
class Demo {
  readonly #options: DemoOptions;
  readonly #cluster: Cluster;
  readonly #apis: readonly Api[];
  readonly #lines: string[] = [];
  #startedAt = Infinity;

  constructor(
    options: DemoOptions,
    cluster: Cluster,
    apis: readonly Api[],
  ) {
    this.#options = options;
    this.#cluster = cluster;
    this.#apis = apis;
  }

  async run(): Promise<boolean> {
    const { fleet, seed = 1 } = this.#options;
    const operator = new Operator(this.#apis[0]!);
    const keyOfTeam = await this.#configure(operator);
    const submitter = new Submitter({
      apis: this.#apis,
      keyOfTeam,
      giveUpAt: () => this.#startedAt + GIVE_UP_MS,
    });
    const jobs = createWorkload({ fleet: fleet.name, spanMs: LOAD_MS, seed });
    this.#startedAt = Date.now();
    const work = Promise.all(jobs.map((job) => submitter.run(job)));
    const failures = this.#injectFailures(operator);
    await failures;
    await work;
    await submitter.cancelServices();
    return await this.#report(submitter);
  }

  async #configure(operator: Operator): Promise<Map<string, string>> {
    const { rules } = this.#options.fleet;
    await operator.put("rules", rules);
    await operator.put("inventory", this.#cluster.inventory);
    const keys = new Map<string, string>();
    for (const { name } of rules.teams) {
      keys.set(name, await operator.grantKey(name));
    }
    await Promise.all(
      [...keys.values()].map((key) => this.#waitUntilKeyWorks(key)),
    );
    return keys;
  }

  /** Waits until every entry accepts the key. */
  async #waitUntilKeyWorks(key: string): Promise<void> {
    const path = "/v1/teams";
    await Promise.all(this.#apis.map(async (api) => {
      while ((await api.call({ method: "GET", path, key })).status !== 200) {
        await delay(100);
      }
    }));
  }

  /** Kills a scheduler, then drains a zone and returns it. */
  async #injectFailures(operator: Operator): Promise<void> {
    const zones = this.#options.fleet.inventory.availabilityZones;
    const zone = zones[1]?.name ?? "";
    await this.#waitUntil(KILL_AT_MS);
    this.#cluster.child("scheduler-3").signal("SIGKILL");
    this.#addLine(`killed scheduler-3 at ${KILL_AT_MS / 1000} s`);
    await this.#waitUntil(DRAIN_AT_MS);
    await operator.drain(zone);
    this.#addLine(`drained ${zone} at ${DRAIN_AT_MS / 1000} s`);
    await this.#waitUntil(RETURN_AT_MS);
    await operator.return(zone);
    this.#addLine(`returned ${zone} at ${RETURN_AT_MS / 1000} s`);
  }

  #addLine(line: string): void {
    this.#lines.push(`  ${line}`);
  }

  async #waitUntil(ms: number): Promise<void> {
    await delay(Math.max(this.#startedAt + ms - Date.now(), 0));
  }

  async #report(submitter: Submitter): Promise<boolean> {
    const { fleet } = this.#options;
    const runs = await collectRuns({
      fleet,
      originOfZone: this.#cluster.workerOrigins,
      now: Date.now(),
    });
    const { stories } = submitter;
    const matched = matchRuns(runs, stories);
    const span = {
      fromMs: this.#startedAt,
      toMs: this.#startedAt + LOAD_MS,
    };
    const result = audit(fleet, stories, matched);
    console.log(renderReport({
      fleet: fleet.name,
      stories,
      starts: runs.length,
      packing: computePacking(fleet, matched, span),
      parts: computeTeamShares(fleet, matched, span),
      audit: result,
      lines: this.#lines,
    }));
    return result.lost.length === 0 && result.duplicateRuns.length === 0 &&
      result.overLimit.length === 0;
  }
}
