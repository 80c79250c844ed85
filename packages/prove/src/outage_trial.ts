import type { Command } from "@mustardweir/kernel";
import { JobKind, jobSpecSchema, Outcome } from "@mustardweir/model";
import {
  CallerAnswerKind,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
} from "@mustardweir/protocol";
import { sendSubmission } from "./commands.ts";
import { TEAMS } from "./fleet.ts";
import { type Call, payloadOf, type Run } from "./history.ts";
import { Cluster } from "./simulation/cluster.ts";
import type { SimulatedNode } from "./simulation/node.ts";
import { NO_STORE_FAULTS } from "./simulation/store.ts";
import { Tampering } from "./simulation/tampering.ts";

/** What a node does that can't read the table. */
export enum BlindRule {
  /** It starts nothing that depends on the configuration. */
  FailClosed = "fail-closed",
  /** It goes on while a majority vouches. */
  Majority = "majority",
}

/** The rule of blind nodes to measure, and what fails besides. */
export interface OutageTrialOptions {
  readonly seed: number;
  readonly rule: BlindRule;
  /** True: a scheduler is killed a minute into the outage. */
  readonly killsOwner?: boolean;
}

/** What went on during an outage. */
export interface OutageResult {
  /** Requests submitted during the outage, and those that were done. */
  readonly requests: number;
  readonly done: number;
  /** Of batch tasks, time run in the outage against that without one. */
  readonly batchMs: number;
  /** Runs of one task that overlapped; must be 0. */
  readonly doubled: number;
}

/** Schedulers of one user. */
const SCHEDULERS = 6;

/** Time until schedulers vouch, in milliseconds. */
const WARM_UP_MS = 16_000;

/** The outage of the table, in milliseconds. */
export const OUTAGE_MS = 300_000;

/** Time between requests, and what one runs, in milliseconds. */
const REQUEST_EVERY_MS = 1_000;
const REQUEST_RUN_MS = 100;

const KILL_AFTER_MS = 60_000;

/** Batch tasks that run through the outage. */
const BATCH_TASKS = 4;

/** Drops the words of other schedulers, so that a blind node stays blind. */
class FailClosed extends Tampering {
  override event<Payload>(
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
 * Takes the table away for five minutes and counts the work done.
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
    ...(options.rule === BlindRule.FailClosed
      ? { tampering: new FailClosed() }
      : {}),
  });
  cluster.run(WARM_UP_MS);
  startBatch(cluster);
  const startedAt = cluster.now;
  cluster.spoilStore({ ...NO_STORE_FAULTS, down: true });
  const calls = sendRequests(cluster, options.killsOwner ?? false);
  const endedAt = cluster.now;
  const runs = [...cluster.history.runs.values()];
  return {
    requests: calls.length,
    done: calls.filter(isDone).length,
    batchMs: batchTime(runs, startedAt, endedAt),
    doubled: countDoubled(runs),
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
    payload: payloadOf(name, 2 * OUTAGE_MS),
  });
  const submission = { name, team, spec };
  cluster.history.submissions.set(name, submission);
  sendSubmission(cluster, submission, { entryIndex: 0, keyIndex: 0 });
  cluster.run(REQUEST_EVERY_MS);
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
    cluster.run(REQUEST_EVERY_MS);
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
    payload: payloadOf(name, REQUEST_RUN_MS),
  });
  const submission = { name, team, spec };
  cluster.history.submissions.set(name, submission);
  sendSubmission(cluster, submission, { entryIndex: index, keyIndex: index });
  return name;
}

/** A scheduler that owns slices but, if possible, no home. */
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

function countDoubled(runs: readonly Run[]): number {
  return runs.filter((run) =>
    runs.some((other) =>
      other !== run && other.jobId === run.jobId &&
      other.taskIndex === run.taskIndex &&
      other.startedAt <= run.startedAt && run.startedAt < other.endedAt
    )
  ).length;
}
