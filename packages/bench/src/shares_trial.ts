import { Random } from "@mustardweir/kernel";
import {
  addResources,
  dominantShare,
  NO_RESOURCES,
  type Resources,
  subtractResources,
} from "@mustardweir/model";
import {
  entitlements,
  NO_TEAM,
  type QueueOrder,
  type TeamDemand,
} from "@mustardweir/fairness";
import { IndexedFitPolicy, type InstanceTable } from "@mustardweir/placement";
import { EventQueue } from "./workload/event_queue.ts";
import { createFleet } from "./workload/fleet.ts";
import { drawTask, type WorkloadTask } from "./workload/tasks.ts";

/** The order to measure, the fleet and its teams. */
export interface SharesTrialOptions {
  readonly order: QueueOrder;
  readonly instances: number;
  readonly teams: number;
  readonly seed: number;
  /** Ends of tasks, for each instance, before and while measuring. */
  readonly warmUpPerInstance?: number;
  readonly measuredPerInstance?: number;
}

/** How near the teams came to their shares. */
export interface SharesTrialResult {
  /** Largest distance of a team from its share, relative to the share. */
  readonly worstError: number;
  /** The same as a fraction of the fleet. */
  readonly worstFleetError: number;
  /** Mean fraction of processors in use. */
  readonly cpuUse: number;
}

interface RunningTask {
  readonly team: number;
  readonly index: number;
  readonly size: Resources;
}

/** A team that always has more work. */
interface BusyTeam {
  readonly name: string;
  readonly weight: number;
  used: Resources;
  /** What it waits for, the oldest first. */
  readonly asks: WorkloadTask[];
  grantedAt: number;
  /** Dominant share times time. */
  shareTime: number;
}

const DEFAULT_WARM_UP = 40;
const DEFAULT_MEASURED = 60;
/** Tasks of a team that look for room at a time. */
const ASKS = 4;
/** A few large teams and many small ones. */
const WEIGHTS = [8, 4, 2, 1, 1, 1];

/**
 * Keeps a fleet full with work of teams that all want more than their share
 * and measures how near each comes to it.
 */
export function runSharesTrial(options: SharesTrialOptions): SharesTrialResult {
  const { instances } = options;
  const trial = new SharesTrial(options);
  trial.run(instances * (options.warmUpPerInstance ?? DEFAULT_WARM_UP));
  trial.startMeasuring();
  trial.run(instances * (options.measuredPerInstance ?? DEFAULT_MEASURED));
  return trial.result();
}

class SharesTrial {
  readonly #order: QueueOrder;
  readonly #table: InstanceTable;
  readonly #total: Resources;
  readonly #teams: BusyTeam[];
  readonly #tasks: Random;
  readonly #choices: Random;
  readonly #policy = new IndexedFitPolicy();
  readonly #ends = new EventQueue<RunningTask>();
  #now = 0;
  #measuredFrom = 0;
  #cpuTime = 0;

  constructor(options: SharesTrialOptions) {
    this.#order = options.order;
    this.#table = createFleet(options.instances);
    this.#total = this.#table.totalCapacity();
    this.#tasks = new Random(options.seed);
    this.#choices = new Random(options.seed + 1);
    this.#teams = Array.from(
      { length: options.teams },
      (_, i) => this.#createTeam(i),
    );
  }

  run(ends: number): void {
    this.#fill();
    for (let i = 0; i < ends; i++) {
      this.#advance();
      this.#fill();
    }
  }

  startMeasuring(): void {
    this.#measuredFrom = this.#now;
    this.#cpuTime = 0;
    for (const team of this.#teams) {
      team.shareTime = 0;
    }
  }

  result(): SharesTrialResult {
    const time = this.#now - this.#measuredFrom;
    const shares = this.#teams.map((team) => team.shareTime / time);
    const sumOfShares = shares.reduce((a, b) => a + b, 0);
    const due = this.#dueShares();
    const errors = shares.map((share, i) =>
      Math.abs(share / sumOfShares / due[i]! - 1)
    );
    return {
      worstError: Math.max(...errors),
      worstFleetError: Math.max(...errors.map((error, i) => error * due[i]!)),
      cpuUse: this.#cpuTime / time / this.#total.cpuMillis,
    };
  }

  /** What each team is due of all that is used, by water filling. */
  #dueShares(): number[] {
    const claims = this.#teams.map(({ name, weight }) => ({
      team: name,
      weight,
      wanted: this.#total,
    }));
    return entitlements(claims, this.#total).map(({ share }) => share);
  }

  #createTeam(i: number): BusyTeam {
    return {
      name: `team-${i}`,
      weight: WEIGHTS[i % WEIGHTS.length]!,
      used: NO_RESOURCES,
      asks: Array.from({ length: ASKS }, () => drawTask(this.#tasks)),
      grantedAt: 0,
      shareTime: 0,
    };
  }

  #advance(): void {
    const until = this.#ends.nextTime;
    const elapsed = until - this.#now;
    const free = this.#table.totalFree().cpuMillis;
    this.#cpuTime += elapsed * (this.#total.cpuMillis - free);
    for (const team of this.#teams) {
      team.shareTime += elapsed * dominantShare(team.used, this.#total);
    }
    this.#now = until;
    const ended = this.#ends.pop()!;
    const team = this.#teams[ended.team]!;
    team.used = subtractResources(team.used, ended.size);
    this.#table.release(ended.index, ended.size);
  }

  /** Serves teams in order until those that are left have no room. */
  #fill(): void {
    const demands = this.#teams.map((team) => this.#demandOf(team));
    for (;;) {
      const picked = this.#order.pick(demands, this.#total);
      if (picked === NO_TEAM) {
        return;
      }
      const team = this.#teams[picked]!;
      demands[picked] = this.#start(picked)
        ? this.#demandOf(team)
        : { ...this.#demandOf(team), blockedMs: this.#now - team.grantedAt };
    }
  }

  #demandOf(team: BusyTeam): TeamDemand {
    return {
      team: team.name,
      weight: team.weight,
      used: team.used,
      urgent: false,
      oldestWaitMs: this.#now - team.grantedAt,
      size: team.asks[0]!.size,
    };
  }

  /** Starts the first of the team's asks that has room. */
  #start(i: number): boolean {
    const team = this.#teams[i]!;
    for (const [at, task] of team.asks.entries()) {
      const { size } = task;
      const index = this.#policy.choose(this.#table, { size }, this.#choices);
      if (index >= 0) {
        this.#place(task, { team: i, index, size });
        team.asks.splice(at, 1);
        team.asks.push(drawTask(this.#tasks));
        return true;
      }
    }
    return false;
  }

  #place(task: WorkloadTask, running: RunningTask): void {
    const team = this.#teams[running.team]!;
    this.#table.allocate(running.index, running.size);
    team.used = addResources(team.used, running.size);
    team.grantedAt = this.#now;
    this.#ends.push(this.#now + task.durationMs, running);
  }
}
