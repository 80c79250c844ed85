/** Commands of submitters. */
import {
  JobKind,
  type JobSpec,
  jobSpecSchema,
  Priority,
} from "@mustardweir/model";
import { CallerCallKind } from "@mustardweir/protocol";
import { OPERATOR_KEY, teamKeyId, TEAMS } from "../fleet.ts";
import {
  type Call,
  createSubmissionPayload,
  type Submission,
} from "../history.ts";
import type { Cluster } from "../simulation/cluster.ts";
import type { Command } from "./command.ts";
import { pickEntry, pickFrom } from "./picks.ts";

/** Maximum number of calls in one wave. */
const MAX_WAVE_CALLS = 8;

/** Maximum run time of a request, in milliseconds. */
const MAX_REQUEST_MS = 2_500;

/** Factor on `forMs` for the run time of jobs other than requests. */
const LONG_FACTOR = 3;

/** CPU cores of a task; memory follows at 1024 MB for each. */
const SIZES = [1, 1, 2, 4];

/**
 * Id of a key that is never granted; the names of submissions under it begin
 * with this.
 */
export const UNKNOWN_CALLER = "stranger";

/** Submits a job whose kind and size follow from the command. */
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

/** Returns a job whose kind, size and run time follow from the command. */
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
    payload: createSubmissionPayload(options.name, runMs),
  });
}

/** Resubmits a job under its idempotency key. */
export function resubmit(
  cluster: Cluster,
  { pick, other, forMs }: Command,
): void {
  const submissions = [...cluster.history.submissions.values()]
    .filter(({ name }) => !name.startsWith(UNKNOWN_CALLER));
  const submission = pickFrom(submissions, pick);
  if (submission !== undefined) {
    sendSubmission(cluster, submission, { entryIndex: other, keyIndex: forMs });
  }
}

/** Returns the ids of jobs in answers to callers, with their teams. */
export function listAnsweredJobs(cluster: Cluster): [string, string][] {
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
  const jobs = listAnsweredJobs(cluster);
  const first = command.pick % Math.max(jobs.length, 1);
  for (const [jobId, team] of jobs.slice(first, first + MAX_WAVE_CALLS)) {
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
}

/** Requests the status of several jobs, lists and the configuration. */
export function statusWave(cluster: Cluster, command: Command): void {
  for (
    const [jobId, team] of listAnsweredJobs(cluster).slice(-MAX_WAVE_CALLS)
  ) {
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

/** Makes a call under a key of the team. */
export function callTeam(
  cluster: Cluster,
  { other, forMs }: Command,
  { team, call }: TeamCall,
): void {
  const keyId = teamKeyId(team, forMs);
  cluster.call(call, { entryId: pickEntry(cluster, other), keyId, team });
}

/** Cancels jobs of other teams and submits under a key never granted. */
export function foreignCalls(cluster: Cluster, command: Command): void {
  for (
    const [jobId, owner] of listAnsweredJobs(cluster).slice(-MAX_WAVE_CALLS)
  ) {
    const team = TEAMS.find((name) => name !== owner)!;
    callTeam(cluster, command, {
      team,
      call: { kind: CallerCallKind.Cancel, jobId },
    });
  }
  const { submissions } = cluster.history;
  const team = TEAMS[command.pick % TEAMS.length]!;
  const name = `${UNKNOWN_CALLER}-job-${submissions.size}`;
  const spec = composeSpec(command, { name, idempotent: true });
  const submission = { name, team, spec };
  submissions.set(name, submission);
  cluster.call({ kind: CallerCallKind.Submit, idempotencyKey: name, spec }, {
    entryId: pickEntry(cluster, command.other),
    keyId: UNKNOWN_CALLER,
    submission,
  });
}

/** Sends or resends a submission under a key of its team. */
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
