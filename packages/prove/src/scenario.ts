import {
  ConfigurationSection,
  JobKind,
  JobState,
  type JobStatus,
} from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import {
  type Command,
  editConfiguration,
  runCommand,
  sendSubmission,
  UNKNOWN_CALLER,
} from "./commands.ts";
import { FINAL_CONFIGURATION, OPERATOR_KEY, TEAMS } from "./fleet.ts";
import type { Call, History, Submission } from "./history.ts";
import { Cluster } from "./simulation/cluster.ts";
import type { Tampering } from "./simulation/tampering.ts";

/** Input of a simulation run: its seed, cluster size and commands. */
export interface Scenario {
  /** Seed of all random choices of the simulation. */
  readonly simulationSeed: number;
  readonly schedulers: number;
  /** Time before the first command, in milliseconds; 3500 by default. */
  readonly warmUpMs?: number;
  readonly commands: readonly Command[];
}

/** Time in which the first owners are elected, in milliseconds. */
const DEFAULT_WARM_UP_MS = 3_500;

/** Time that faults persist after the last command, in milliseconds. */
const TAIL_MS = 3_000;

/** Time after the faults by which all accepted jobs must have ended, in ms. */
const COMPLETION_LIMIT_MS = 90_000;

/** Interval between checks of which jobs have ended, in milliseconds. */
const ROUND_INTERVAL_MS = 2_000;

/**
 * Runs a scenario, removes all faults and waits until all jobs have ended.
 *
 * @example
 * ```ts
 * const history = runScenario({
 *   simulationSeed: 1,
 *   schedulers: 3,
 *   commands: [],
 * });
 * ```
 */
export function runScenario(
  scenario: Scenario,
  tampering?: Tampering,
): History {
  const cluster = new Cluster({
    seed: scenario.simulationSeed,
    schedulers: scenario.schedulers,
    ...(tampering === undefined ? {} : { tampering }),
  });
  cluster.run(scenario.warmUpMs ?? DEFAULT_WARM_UP_MS);
  for (const command of scenario.commands) {
    runCommand(cluster, command);
  }
  cluster.run(TAIL_MS);
  cluster.heal();
  new CompletionPhase(cluster).run();
  cluster.history.endedAt = cluster.now;
  return cluster.history;
}

/**
 * Last phase of a run: resubmits, cancels and lists jobs until all submissions
 * have ended.
 */
class CompletionPhase {
  readonly #cluster: Cluster;
  readonly #history: History;
  #lists: Call[] = [];
  #round = 0;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
    this.#history = cluster.history;
  }

  run(): void {
    const end = this.#cluster.now + COMPLETION_LIMIT_MS;
    while (this.#cluster.now < end) {
      this.#cluster.run(ROUND_INTERVAL_MS);
      this.#readLists();
      const isRestored = this.#restoreConfiguration();
      if (isRestored && this.#advanceOpenSubmissions()) {
        this.#cluster.run(ROUND_INTERVAL_MS);
        return;
      }
      this.#requestLists();
      this.#round += 1;
    }
  }

  /**
   * Edits the first section that differs from the final configuration; returns
   * whether none does.
   */
  #restoreConfiguration(): boolean {
    const { configuration } = this.#history.versions.at(-1)!;
    const section = Object.values(ConfigurationSection).find((name) =>
      JSON.stringify(configuration[name]) !==
        JSON.stringify(FINAL_CONFIGURATION[name])
    );
    if (section === undefined) {
      return true;
    }
    editConfiguration(this.#cluster, {
      section,
      change: () => FINAL_CONFIGURATION[section],
      entryIndex: this.#round,
    });
    return false;
  }

  /** Advances submissions that have not ended; returns whether all have. */
  #advanceOpenSubmissions(): boolean {
    const open = [...this.#history.submissions.values()].filter((submission) =>
      !this.#hasEnded(submission)
    );
    open.forEach((submission) => this.#advance(submission));
    return open.length === 0;
  }

  #hasEnded({ name }: Submission): boolean {
    if (name.startsWith(UNKNOWN_CALLER)) {
      return true;
    }
    const status = this.#statusOf(name);
    return status === undefined
      ? this.#isRefused(name)
      : status.state === JobState.Ended;
  }

  #statusOf(name: string): JobStatus | undefined {
    const status = latestStatus(this.#history, name);
    const final = this.#history.finalJobs.get(status?.jobId ?? "");
    return final ?? status;
  }

  /** Returns whether the last answer refuses the submission for good. */
  #isRefused(name: string): boolean {
    const last = callsOf(this.#history, name).at(-1)?.answers.at(-1)?.answer;
    return last?.kind === CallerAnswerKind.Refused &&
      !last.refusal.retryable && last.refusal.outcome === "not-run";
  }

  /** Cancels a service; resubmits requests and jobs without a known status. */
  #advance(submission: Submission): void {
    const status = this.#statusOf(submission.name);
    const { team, spec } = submission;
    if (status !== undefined && spec.kind === JobKind.Service) {
      const { jobId } = status;
      this.#callOperator({ kind: CallerCallKind.Cancel, jobId });
    } else if (status === undefined || spec.kind === JobKind.Request) {
      const keyIndex = this.#round;
      sendSubmission(this.#cluster, submission, {
        entryIndex: keyIndex,
        keyIndex,
      });
    }
    void team;
  }

  #requestLists(): void {
    this.#lists = TEAMS.map((team) =>
      this.#callOperator({ kind: CallerCallKind.List, team })
    );
  }

  #readLists(): void {
    for (const { answers } of this.#lists) {
      const answer = answers[0]?.answer;
      if (answer?.kind === CallerAnswerKind.Jobs) {
        answer.jobs.forEach((status) =>
          this.#history.finalJobs.set(status.jobId, status)
        );
      }
    }
  }

  #callOperator(call: Call["call"]): Call {
    const { entryIds } = this.#cluster;
    const entryId = entryIds[this.#round % entryIds.length]!;
    return this.#cluster.call(call, { entryId, keyId: OPERATOR_KEY });
  }
}

/**
 * Returns the calls that sent a submission, in order.
 *
 * @example
 * ```ts
 * const calls = callsOf(history, submission.name);
 * ```
 */
export function callsOf(history: History, name: string): Call[] {
  return [...history.calls.values()].filter(({ submission }) =>
    submission?.name === name
  );
}

/**
 * Returns the latest answered status of a submission's job.
 *
 * @example
 * ```ts
 * const state = latestStatus(history, submission.name)?.state;
 * ```
 */
export function latestStatus(
  history: History,
  name: string,
): JobStatus | undefined {
  let latest: JobStatus | undefined;
  for (const { answers } of callsOf(history, name)) {
    for (const { answer } of answers) {
      if (answer.kind === CallerAnswerKind.Job) {
        latest = answer.status;
      }
    }
  }
  return latest;
}
