import {
  ConfigurationSection,
  JobKind,
  JobState,
  type JobStatus,
} from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import {
  type Command,
  editLatest,
  runCommand,
  sendSubmission,
  STRANGER,
} from "./commands.ts";
import { FINAL_CONFIGURATION, OPERATOR_KEY, TEAMS } from "./fleet.ts";
import type { Call, History, Submission } from "./history.ts";
import { Cluster } from "./simulation/cluster.ts";
import type { Tampering } from "./simulation/tampering.ts";

/** A run of the simulation: its seed and its commands. */
export interface Scenario {
  /** Seed of the simulation's chance. */
  readonly chance: number;
  readonly schedulers: number;
  /** Time before the first command, in milliseconds; 3500 by default. */
  readonly warmUpMs?: number;
  readonly commands: readonly Command[];
}

/** Time for the first owners to be found. */
const START_MS = 3_500;

/** Faults go on for this long after the last command. */
const TAIL_MS = 3_000;

/** Everything accepted must have ended this long after the faults. */
const SETTLE_LIMIT_MS = 90_000;

/** Time between looks at what has ended. */
const ROUND_MS = 2_000;

/**
 * Runs a scenario, lets faults cease and everything end.
 *
 * @example
 * ```ts
 * const history = runScenario({ chance: 1, schedulers: 3, commands: [] });
 * ```
 */
export function runScenario(
  scenario: Scenario,
  tampering?: Tampering,
): History {
  const cluster = new Cluster({
    seed: scenario.chance,
    schedulers: scenario.schedulers,
    ...(tampering === undefined ? {} : { tampering }),
  });
  cluster.run(scenario.warmUpMs ?? START_MS);
  for (const command of scenario.commands) {
    runCommand(cluster, command);
  }
  cluster.run(TAIL_MS);
  cluster.heal();
  new Settlement(cluster).run();
  cluster.history.endedAt = cluster.now;
  return cluster.history;
}

/** The end of a run: callers repeat, cancel and ask until all has ended. */
class Settlement {
  readonly #cluster: Cluster;
  readonly #history: History;
  #lists: Call[] = [];
  #round = 0;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
    this.#history = cluster.history;
  }

  run(): void {
    const end = this.#cluster.now + SETTLE_LIMIT_MS;
    while (this.#cluster.now < end) {
      this.#cluster.run(ROUND_MS);
      this.#readLists();
      const isRestored = this.#restoreConfiguration();
      if (isRestored && this.#endAll()) {
        this.#cluster.run(ROUND_MS);
        return;
      }
      this.#askLists();
      this.#round += 1;
    }
  }

  /** Operators put things back as they were, one section at a time. */
  #restoreConfiguration(): boolean {
    const { configuration } = this.#history.versions.at(-1)!;
    const section = Object.values(ConfigurationSection).find((name) =>
      JSON.stringify(configuration[name]) !==
        JSON.stringify(FINAL_CONFIGURATION[name])
    );
    if (section === undefined) {
      return true;
    }
    editLatest(this.#cluster, {
      section,
      change: () => FINAL_CONFIGURATION[section],
      entryIndex: this.#round,
    });
    return false;
  }

  /** True when each submission is known to have ended. */
  #endAll(): boolean {
    const open = [...this.#history.submissions.values()].filter((submission) =>
      !this.#hasEnded(submission)
    );
    open.forEach((submission) => this.#push(submission));
    return open.length === 0;
  }

  #hasEnded({ name }: Submission): boolean {
    if (name.startsWith(STRANGER)) {
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

  /** True when the last word on a submission is that it can't be taken. */
  #isRefused(name: string): boolean {
    const last = callsOf(this.#history, name).at(-1)?.answers.at(-1)?.answer;
    return last?.kind === CallerAnswerKind.Refused &&
      !last.refusal.retryable && last.refusal.outcome === "not-run";
  }

  /** Cancels a service; repeats what no answer came to. */
  #push(submission: Submission): void {
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

  #askLists(): void {
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
 * Calls that handed a submission in, in order.
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
 * What was last told of a submission's job.
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
