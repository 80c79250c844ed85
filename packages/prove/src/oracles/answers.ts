/** Oracles of what callers are told. */
import {
  EndReason,
  JobKind,
  JobState,
  type JobStatus,
  Outcome,
} from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import { STRANGER } from "../commands.ts";
import type { Call, History, Submission } from "../history.ts";
import { Oracle } from "../oracle.ts";
import { Point, SECONDS_MS } from "../point.ts";
import { callsOf, latestStatus } from "../scenario.ts";
import { describeRun } from "./runs.ts";

/** An answer may come this long after the caller's patience, in ms. */
const ANSWER_SLACK_MS = 500;

/** Each call gets one answer, its own; what was accepted ends. */
export class OwnAnswerOracle extends Oracle {
  override readonly point = Point.OwnAnswer;

  override countRelevant({ calls }: History): number {
    return calls.size;
  }

  override findViolations(history: History): string[] {
    return [
      ...[...history.calls.values()].flatMap((call) =>
        judgeCall(history, call)
      ),
      ...[...history.submissions.values()].flatMap((submission) =>
        judgeEnd(history, submission)
      ),
      ...findSharedJobs(history),
    ];
  }
}

function judgeCall({ endedAt }: History, call: Call): string[] {
  const { requestId, answers } = call;
  const isTimeOver = endedAt >= call.sentAt + patienceMs(call);
  const name = `call ${requestId} (${call.call.kind} at ${call.sentAt})`;
  if (answers.length > 1) {
    return [`${name} was answered ${answers.length} times`];
  }
  const [first] = answers;
  if (first === undefined) {
    return call.isCut || !isTimeOver ? [] : [`${name} was not answered`];
  }
  const waitedMs = first.at - call.sentAt;
  if (!call.isCut && waitedMs > patienceMs(call)) {
    return [`${name} was answered after ${waitedMs} ms`];
  }
  return isOwn(call) ? [] : [`${name} got ${JSON.stringify(first.answer)}`];
}

function patienceMs({ ttlMs }: Call): number {
  return ttlMs * 1.01 + ANSWER_SLACK_MS;
}

const EXPECTED_KINDS: Readonly<Record<CallerCallKind, CallerAnswerKind>> = {
  [CallerCallKind.Submit]: CallerAnswerKind.Job,
  [CallerCallKind.Status]: CallerAnswerKind.Job,
  [CallerCallKind.Cancel]: CallerAnswerKind.Job,
  [CallerCallKind.List]: CallerAnswerKind.Jobs,
  [CallerCallKind.ReadConfiguration]: CallerAnswerKind.Configuration,
  [CallerCallKind.EditConfiguration]: CallerAnswerKind.Edited,
  [CallerCallKind.Teams]: CallerAnswerKind.Teams,
  [CallerCallKind.Fleet]: CallerAnswerKind.Fleet,
  [CallerCallKind.Burn]: CallerAnswerKind.Burn,
};

function isOwn({ call, submission, answers }: Call): boolean {
  const answer = answers[0]!.answer;
  if (answer.kind === CallerAnswerKind.Refused) {
    return true;
  }
  if (answer.kind !== EXPECTED_KINDS[call.kind]) {
    return false;
  }
  if (answer.kind === CallerAnswerKind.Edited) {
    return call.kind === CallerCallKind.EditConfiguration &&
      answer.version === call.ifMatch + 1;
  }
  if (answer.kind !== CallerAnswerKind.Job) {
    return true;
  }
  return submission === undefined
    ? "jobId" in call && answer.status.jobId === call.jobId
    : isWholeAnswer(submission, answer.status);
}

/** A request that completed brings the answer that its task gave. */
function isWholeAnswer({ name, spec }: Submission, status: JobStatus): boolean {
  const isComplete = spec.kind === JobKind.Request &&
    status.outcome === Outcome.Done && status.reason === EndReason.Completed;
  return !isComplete || status.answer === name;
}

/** Two submissions are never told of the same job, nor one of two. */
function findSharedJobs(history: History): string[] {
  const owners = new Map<string, string>();
  const violations: string[] = [];
  for (const { submission, answers } of history.calls.values()) {
    const answer = answers[0]?.answer;
    if (submission === undefined || answer?.kind !== CallerAnswerKind.Job) {
      continue;
    }
    const { jobId } = answer.status;
    const owner = owners.get(jobId) ?? submission.name;
    owners.set(jobId, owner);
    if (owner !== submission.name) {
      violations.push(`${submission.name} was told of ${owner}'s job ${jobId}`);
    }
  }
  return violations;
}

/** Accepted work has ended, with an outcome that its runs bear out. */
function judgeEnd(history: History, submission: Submission): string[] {
  const { name, spec } = submission;
  const told = latestStatus(history, name);
  const isAccepted = told !== undefined &&
    !(spec.kind === JobKind.Request && spec.idempotent);
  const status = history.finalJobs.get(told?.jobId ?? "") ?? told;
  if (!isAccepted || status === undefined) {
    return [];
  }
  if (status.state !== JobState.Ended) {
    const { explanation = "" } = status;
    return [`${name} has not ended: ${status.state} ${explanation}`];
  }
  return isBorneOut(history, submission, status)
    ? []
    : [`${name} did not complete as told: ${JSON.stringify(status)}`];
}

function isBorneOut(
  { runs }: History,
  { name, spec }: Submission,
  status: JobStatus,
): boolean {
  if (status.outcome !== Outcome.Done || status.reason !== "completed") {
    return true;
  }
  const completed = runs.filter(({ submission, reason }) =>
    submission === name && reason === EndReason.Completed
  );
  return new Set(completed.map(({ taskIndex }) => taskIndex)).size ===
    spec.tasks;
}

/** "Not run" is said only of what never runs. */
export class TrueRefusalOracle extends Oracle {
  override readonly point = Point.TrueRefusal;

  override countRelevant({ calls }: History): number {
    return [...calls.values()].filter(saysNotRun).length;
  }

  override findViolations(history: History): string[] {
    return [
      ...this.#findRefusedRuns(history),
      ...this.#findDeniedRuns(history),
    ];
  }

  /** Submissions that were refused each time and ran all the same. */
  #findRefusedRuns(history: History): string[] {
    return [...history.submissions.keys()].flatMap((name) => {
      const calls = callsOf(history, name);
      const isRefused = calls.every((call) => call.answers.length > 0) &&
        calls.every(saysNotRun);
      const run = history.runs.find(({ submission }) => submission === name);
      return isRefused && run !== undefined
        ? [`refused as not run, yet ran: ${describeRun(run)}`]
        : [];
    });
  }

  /** Jobs that were said to have ended without a run. */
  #findDeniedRuns(history: History): string[] {
    const statuses = [
      ...[...history.calls.values()].flatMap(({ answers }) =>
        answers.flatMap(({ answer }) =>
          answer.kind === CallerAnswerKind.Job ? [answer.status] : []
        )
      ),
      ...history.finalJobs.values(),
    ];
    const denied = new Set(
      statuses.filter(({ outcome }) => outcome === Outcome.NotRun)
        .map(({ jobId }) => jobId),
    );
    return history.runs
      .filter(({ jobId }) => denied.has(jobId))
      .map((run) => `said to be not run, yet ran: ${describeRun(run)}`);
  }
}

function saysNotRun({ answers, call }: Call): boolean {
  const answer = answers[0]?.answer;
  return answer?.kind === CallerAnswerKind.Refused
    ? answer.refusal.outcome === Outcome.NotRun &&
      call.kind === CallerCallKind.Submit
    : answer?.kind === CallerAnswerKind.Job &&
      answer.status.outcome === Outcome.NotRun;
}

/** Work is taken for the team of its key, and calls serve that team only. */
export class TeamKeyOracle extends Oracle {
  override readonly point = Point.TeamKey;

  override countRelevant({ calls }: History): number {
    return [...calls.values()].filter(isOutOfBounds).length;
  }

  override findViolations(history: History): string[] {
    const strayRuns = history.runs.filter(({ submission, team }) =>
      history.submissions.get(submission)?.team !== team ||
      submission.startsWith(STRANGER)
    );
    const strayCalls = [...history.calls.values()].filter((call) =>
      isOutOfBounds(call) && isServed(call)
    );
    return [
      ...strayRuns.map((run) => `ran for another team: ${describeRun(run)}`),
      ...strayCalls.map(({ requestId, keyId, call }) =>
        `${requestId}: ${call.kind} was served for the key ${keyId}`
      ),
    ];
  }
}

/** A call with a key of nobody, or on a job of another team. */
function isOutOfBounds({ keyId, team, call }: Call): boolean {
  const isForeign = team !== undefined && "jobId" in call &&
    !call.jobId.startsWith(`${team}.`);
  return keyId === STRANGER || isForeign;
}

function isServed({ answers }: Call): boolean {
  return answers.some(({ answer }) => answer.kind !== CallerAnswerKind.Refused);
}

/** A key that has been withdrawn for seconds is refused. */
export class KeyWithdrawalOracle extends Oracle {
  override readonly point = Point.KeyWithdrawal;

  override countRelevant(history: History): number {
    return [...history.calls.values()].filter((call) =>
      isWithdrawn(history, call)
    ).length;
  }

  override findViolations(history: History): string[] {
    return [...history.calls.values()]
      .filter((call) => isWithdrawn(history, call) && isServed(call))
      .map(({ requestId, keyId, sentAt }) =>
        `${requestId} at ${sentAt} was served for the withdrawn key ${keyId}`
      );
  }
}

function isWithdrawn(history: History, { keyId, team, sentAt }: Call): boolean {
  return team !== undefined &&
    history.versionsBetween(sentAt - SECONDS_MS, sentAt)
      .every(({ configuration }) =>
        configuration.keys.every(({ id }) => id !== keyId)
      );
}
