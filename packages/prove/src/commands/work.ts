/** Commands of submitters. */
import {
  JobKind,
  type JobSpec,
  jobSpecSchema,
  Priority,
} from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";
import { OPERATOR_KEY, teamKeyId, TEAMS } from "../fleet.ts";
import { type Call, payloadOf, type Submission } from "../history.ts";
import type { Cluster } from "../simulation/cluster.ts";
import type { Command } from "./command.ts";
import { pickEntry, pickFrom } from "./picks.ts";

/** Most calls of one wave. */
const WAVE = 8;

/** Requests may run this long, other work this many times longer. */
const MAX_REQUEST_MS = 2_500;

const LONG_FACTOR = 3;

const SIZES = [1, 1, 2, 4];

/** Names of submissions that come with a key of nobody begin with this. */
export const STRANGER = "stranger";

/** Submits a job of a random kind and size. */
export function submit(
  cluster: Cluster,
  command: Command,
  idempotent: boolean,
): void {
  const { submissions } = cluster.history;
  const { pick, other, forMs } = command;
  const team = TEAMS[pick % TEAMS.length]!;
  const name = `${team}-job-${submissions.size}`;
  const spec = composeSpec(command, { name, idempotent });
  const submission = { name, team, spec };
  submissions.set(name, submission);
  sendSubmission(cluster, submission, { entryIndex: other, keyIndex: forMs });
}

/** A job whose kind, size and run time follow from the command. */
export function composeSpec(
  { pick, other, forMs }: Command,
  options: { readonly name: string; readonly idempotent: boolean },
): JobSpec {
  const kinds = Object.values(JobKind);
  const kind = kinds[Math.floor(pick / 2) % kinds.length]!;
  const isRequest = kind === JobKind.Request;
  const runMs = isRequest ? forMs % MAX_REQUEST_MS : forMs * LONG_FACTOR;
  const cpu = SIZES[other % SIZES.length]!;
  return jobSpecSchema.parse({
    kind,
    name: options.name,
    cpu,
    memoryMb: cpu * 1024,
    tasks: isRequest ? 1 : 1 + other % 4,
    priority: pick % 5 === 0 ? Priority.Urgent : Priority.Normal,
    idempotent: options.idempotent,
    ...(other % 7 === 0 ? { startWithinMs: 500 + forMs } : {}),
    payload: payloadOf(options.name, runMs),
  });
}

/** Submits a job again under its idempotency key. */
export function repeat(
  cluster: Cluster,
  { pick, other, forMs }: Command,
): void {
  const submissions = [...cluster.history.submissions.values()]
    .filter(({ name }) => !name.startsWith(STRANGER));
  const submission = pickFrom(submissions, pick);
  if (submission !== undefined) {
    sendSubmission(cluster, submission, { entryIndex: other, keyIndex: forMs });
  }
}

/** Jobs that callers were told of, with their teams. */
export function knownJobs(cluster: Cluster): [string, string][] {
  const jobs = new Map<string, string>();
  for (const { answers, team } of cluster.history.calls.values()) {
    for (const { answer } of answers) {
      if (answer.kind === "job" && team !== undefined) {
        jobs.set(answer.status.jobId, team);
      }
    }
  }
  return [...jobs];
}

/** Cancels several jobs at once. */
export function cancelWave(cluster: Cluster, command: Command): void {
  const jobs = knownJobs(cluster);
  const first = command.pick % Math.max(jobs.length, 1);
  for (const [jobId, team] of jobs.slice(first, first + WAVE)) {
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
}

/** Asks for the status of several jobs, for lists and for the configuration. */
export function statusWave(cluster: Cluster, command: Command): void {
  for (const [jobId, team] of knownJobs(cluster).slice(-WAVE)) {
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Status, jobId },
    });
  }
  TEAMS.forEach((team) =>
    callTeam(cluster, command, { team, call: { kind: CallerCallKind.List } })
  );
  cluster.call({ kind: CallerCallKind.ReadConfiguration }, {
    entryId: pickEntry(cluster, command.other),
    keyId: OPERATOR_KEY,
  });
}

interface TeamCall {
  readonly team: string;
  readonly call: Call["call"];
}

/** Makes a call with a key of the team. */
export function callTeam(
  cluster: Cluster,
  { other, forMs }: Command,
  { team, call }: TeamCall,
): void {
  const keyId = teamKeyId(team, forMs);
  cluster.call(call, { entryId: pickEntry(cluster, other), keyId, team });
}

/** Calls on another team's jobs, and with a key that never was granted. */
export function foreignCalls(cluster: Cluster, command: Command): void {
  for (const [jobId, owner] of knownJobs(cluster).slice(-WAVE)) {
    const team = TEAMS.find((name) => name !== owner)!;
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
  const { submissions } = cluster.history;
  const team = TEAMS[command.pick % TEAMS.length]!;
  const name = `${STRANGER}-job-${submissions.size}`;
  const spec = composeSpec(command, { name, idempotent: true });
  const submission = { name, team, spec };
  submissions.set(name, submission);
  cluster.call({ kind: CallerCallKind.Submit, idempotencyKey: name, spec }, {
    entryId: pickEntry(cluster, command.other),
    keyId: STRANGER,
    submission,
  });
}

/** Sends a submission with a key of its team; also to send it again. */
export function sendSubmission(
  cluster: Cluster,
  submission: Submission,
  options: { readonly entryIndex: number; readonly keyIndex: number },
): void {
  const { name, team, spec } = submission;
  cluster.call({ kind: CallerCallKind.Submit, idempotencyKey: name, spec }, {
    entryId: pickEntry(cluster, options.entryIndex),
    keyId: teamKeyId(team, options.keyIndex),
    team,
    submission,
  });
}
