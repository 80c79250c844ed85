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
import { createInstanceTable } from "./workload/fleet.ts";
import { drawTask, type WorkloadTask } from "./workload/tasks.ts";

/** The queue order to measure, the fleet and its teams. */
export interface SharesTrialOptions {
  readonly order: QueueOrder;
  readonly instances: number;
  readonly teams: number;
  readonly seed: number;
  /** Ends of tasks per instance during the warm-up, and while measuring. */
  readonly warmUpPerInstance?: number;
  readonly measuredPerInstance?: number;
}

/** Deviation of the teams from their shares. */
export interface SharesTrialResult {
  /** Largest deviation of a team from its share, relative to the share. */
  readonly worstError: number;
  /** Largest deviation as a fraction of the fleet. */
  readonly worstFleetError: number;
  /** Mean fraction of processor capacity in use. */
  readonly cpuUse: number;
}

interface RunningTask {
  readonly team: number;
  readonly index: number;
  readonly size: Resources;
}

/** A team that always has waiting tasks. */
interface BackloggedTeam {
  readonly name: string;
  readonly weight: number;
  used: Resources;
  /** Waiting tasks, the oldest first. */
  readonly asks: WorkloadTask[];
  grantedAt: number;
  /** Integral of the dominant share over time. */
  shareTime: number;
}

const DEFAULT_WARM_UP = 40;
const DEFAULT_MEASURED = 60;
/** Number of waiting tasks per team. */
const ASKS_PER_TEAM = 4;
/** A few large teams and many small ones. */
const WEIGHTS = [8, 4, 2, 1, 1, 1];

/**
 * Keeps a fleet full with work of teams that all demand more than their share,
 * and measures the deviation of each from its share.
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
  readonly #teams: BackloggedTeam[];
  readonly #workloadRandom: Random;
  readonly #policyRandom: Random;
  readonly #policy = new IndexedFitPolicy();
  readonly #ends = new EventQueue<RunningTask>();
  #now = 0;
  #measuredFrom = 0;
  #cpuTime = 0;

  constructor(options: SharesTrialOptions) {
    this.#order = options.order;
    this.#table = createInstanceTable(options.instances);
    this.#total = this.#table.totalCapacity();
    this.#workloadRandom = new Random(options.seed);
    this.#policyRandom = new Random(options.seed + 1);
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
    const entitled = this.#entitledShares();
    const errors = shares.map((share, i) =>
      Math.abs(share / sumOfShares / entitled[i]! - 1)
    );
    return {
      worstError: Math.max(...errors),
      worstFleetError: Math.max(
        ...errors.map((error, i) => error * entitled[i]!),
      ),
      cpuUse: this.#cpuTime / time / this.#total.cpuMillis,
    };
  }

  /** Returns each team's entitled share of the fleet, by water filling. */
  #entitledShares(): number[] {
    const inputs = this.#teams.map(({ name, weight }) => ({
      team: name,
      weight,
      wanted: this.#total,
    }));
    return entitlements(inputs, this.#total).map(({ share }) => share);
  }

  #createTeam(i: number): BackloggedTeam {
    return {
      name: `team-${i}`,
      weight: WEIGHTS[i % WEIGHTS.length]!,
      used: NO_RESOURCES,
      asks: Array.from(
        { length: ASKS_PER_TEAM },
        () => drawTask(this.#workloadRandom),
      ),
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

  /** Starts tasks of teams in order until no team's tasks fit. */
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

  #demandOf(team: BackloggedTeam): TeamDemand {
    return {
      team: team.name,
      weight: team.weight,
      used: team.used,
      urgent: false,
      oldestWaitMs: this.#now - team.grantedAt,
      size: team.asks[0]!.size,
    };
  }

  /** Starts the first waiting task that fits; returns whether there is one. */
  #start(i: number): boolean {
    const team = this.#teams[i]!;
    for (const [at, task] of team.asks.entries()) {
      const { size } = task;
      const index = this.#policy.choose(
        this.#table,
        { size },
        this.#policyRandom,
      );
      if (index >= 0) {
        this.#place(task, { team: i, index, size });
        team.asks.splice(at, 1);
        team.asks.push(drawTask(this.#workloadRandom));
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
