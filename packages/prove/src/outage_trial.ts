import type { Command } from "@mustardweir/kernel";
import { JobKind, jobSpecSchema, Outcome } from "@mustardweir/model";
import {
  CallerAnswerKind,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import { sendSubmission } from "./commands.ts";
import { TEAMS } from "./fleet.ts";
import { type Call, createSubmissionPayload, type Run } from "./history.ts";
import { Cluster } from "./simulation/cluster.ts";
import type { SimulatedNode } from "./simulation/node.ts";
import { NO_STORE_FAULTS } from "./simulation/store.ts";
import { Tampering } from "./simulation/tampering.ts";

/** What a scheduler does while it can't read the table. */
export enum TableOutageRule {
  /** Starts nothing that depends on the configuration. */
  FailClosed = "fail-closed",
  /** Continues while a majority of schedulers vouches for its state. */
  Majority = "majority",
}

/** The rule to measure and further faults during the outage. */
export interface OutageTrialOptions {
  readonly seed: number;
  readonly rule: TableOutageRule;
  /** Whether an owner of slices is killed one minute into the outage. */
  readonly killsOwner?: boolean;
}

/** Work done during an outage. */
export interface OutageResult {
  /** Number of requests submitted during the outage, and completed ones. */
  readonly requests: number;
  readonly done: number;
  /** Total run time of batch tasks during the outage, in milliseconds. */
  readonly batchMs: number;
  /** Number of runs that overlap another run of their task; must be 0. */
  readonly overlappingRuns: number;
}

/** Number of schedulers. */
const SCHEDULERS = 6;

/** Time after which schedulers can vouch, in milliseconds. */
const WARM_UP_MS = 16_000;

/** Duration of the outage of the table, in milliseconds. */
export const OUTAGE_MS = 300_000;

/** Interval between requests and run time of each, in milliseconds. */
const REQUEST_INTERVAL_MS = 1_000;
const REQUEST_RUN_MS = 100;

/** Time from the start of the outage to the kill, in milliseconds. */
const KILL_AFTER_MS = 60_000;

/** Number of batch tasks that run throughout the outage. */
const BATCH_TASKS = 4;

/**
 * Drops vouches, so that schedulers that can't read the table start nothing.
 */
class FailClosed extends Tampering {
  override transformPayload<Payload>(
    _node: SimulatedNode,
    command: Command<Payload>,
    payload: Payload,
  ): Payload | undefined {
    const isPeerMessage = (command as Command<unknown>) ===
      PEER_MESSAGE_RECEIVED;
    const { message } = payload as { message?: { kind: PeerMessageKind } };
    const isVouch = isPeerMessage && message?.kind === PeerMessageKind.Vouch;
    return isVouch ? undefined : payload;
  }
}

/**
 * Makes the table unavailable for five minutes and measures the work done.
 *
 * @example
 * ```ts
 * const { done, requests } = runOutageTrial({ seed: 1, rule });
 * ```
 */
export function runOutageTrial(options: OutageTrialOptions): OutageResult {
  const cluster = new Cluster({
    seed: options.seed,
    schedulers: SCHEDULERS,
    ...(options.rule === TableOutageRule.FailClosed
      ? { tampering: new FailClosed() }
      : {}),
  });
  cluster.run(WARM_UP_MS);
  startBatch(cluster);
  const startedAt = cluster.now;
  cluster.setStoreFaults({ ...NO_STORE_FAULTS, down: true });
  const calls = sendRequests(cluster, options.killsOwner ?? false);
  const endedAt = cluster.now;
  const runs = [...cluster.history.runs.values()];
  return {
    requests: calls.length,
    done: calls.filter(isDone).length,
    batchMs: batchTime(runs, startedAt, endedAt),
    overlappingRuns: countOverlappingRuns(runs),
  };
}

function startBatch(cluster: Cluster): void {
  const [team] = TEAMS;
  const name = "long-batch";
  const spec = jobSpecSchema.parse({
    kind: JobKind.Batch,
    cpu: 1,
    memoryMb: 64,
    tasks: BATCH_TASKS,
    payload: createSubmissionPayload(name, 2 * OUTAGE_MS),
  });
  const submission = { name, team, spec };
  cluster.history.submissions.set(name, submission);
  sendSubmission(cluster, submission, { entryIndex: 0, keyIndex: 0 });
  cluster.run(REQUEST_INTERVAL_MS);
}

function sendRequests(cluster: Cluster, killsOwner: boolean): Call[] {
  const names = new Set<string>();
  const startedAt = cluster.now;
  let isKilled = !killsOwner;
  while (cluster.now - startedAt < OUTAGE_MS) {
    if (!isKilled && cluster.now - startedAt >= KILL_AFTER_MS) {
      isKilled = true;
      cluster.kill(ownerOfFirstSlice(cluster));
    }
    names.add(sendRequest(cluster, names.size));
    cluster.run(REQUEST_INTERVAL_MS);
  }
  return [...cluster.history.calls.values()].filter(({ submission }) =>
    submission !== undefined && names.has(submission.name)
  );
}

function sendRequest(cluster: Cluster, index: number): string {
  const name = `request-${index}`;
  const team = TEAMS[index % TEAMS.length]!;
  const spec = jobSpecSchema.parse({
    kind: JobKind.Request,
    cpu: 0.5,
    memoryMb: 64,
    payload: createSubmissionPayload(name, REQUEST_RUN_MS),
  });
  const submission = { name, team, spec };
  cluster.history.submissions.set(name, submission);
  sendSubmission(cluster, submission, { entryIndex: index, keyIndex: index });
  return name;
}

/** Returns a scheduler that owns a slice and, if possible, no home. */
function ownerOfFirstSlice(cluster: Cluster): string {
  const owned = cluster.store.table.scan({
    prefix: "owner/",
    afterRevision: 0,
  });
  const owners = (part: string) =>
    owned.rows.filter(({ key }) => key.startsWith(`owner/${part}/`))
      .map(({ value }) => (JSON.parse(value) as { owner: string }).owner);
  const homes = new Set(owners("home"));
  const slices = owners("slice");
  return slices.find((owner) => !homes.has(owner)) ?? slices[0] ?? "";
}

function isDone({ answers }: Call): boolean {
  return answers.some(({ answer }) =>
    answer.kind === CallerAnswerKind.Job &&
    answer.status.outcome === Outcome.Done
  );
}

function batchTime(
  runs: readonly Run[],
  fromMs: number,
  toMs: number,
): number {
  return runs.filter(({ kind }) => kind === JobKind.Batch)
    .reduce((sum, run) => {
      const from = Math.max(run.startedAt, fromMs);
      const to = Math.min(run.endedAt, toMs);
      return sum + Math.max(to - from, 0);
    }, 0);
}

function countOverlappingRuns(runs: readonly Run[]): number {
  return runs.filter((run) =>
    runs.some((other) =>
      other !== run && other.jobId === run.jobId &&
      other.taskIndex === run.taskIndex &&
      other.startedAt <= run.startedAt && run.startedAt < other.endedAt
    )
  ).length;
}
