/** Oracles of the answers to callers. */
import {
  EndReason,
  JobKind,
  JobState,
  type JobStatus,
  Outcome,
} from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import { UNKNOWN_CALLER } from "../commands.ts";
import type { Call, History, Submission } from "../history.ts";
import { Oracle } from "../oracle.ts";
import { EFFECT_LIMIT_MS, Point } from "../point.ts";
import { callsOf, latestStatus } from "../scenario.ts";
import { describeRun } from "./runs.ts";

/** Allowed delay of an answer beyond the call's time to live, in ms. */
const ANSWER_SLACK_MS = 500;

/** Each call gets one matching answer; accepted jobs end. */
export class OwnAnswerOracle extends Oracle {
  override readonly point = Point.OwnAnswer;

  override countRelevant({ calls }: History): number {
    return calls.size;
  }

  override findViolations(history: History): string[] {
    return [
      ...[...history.calls.values()].flatMap((call) =>
        checkCall(history, call)
      ),
      ...[...history.submissions.values()].flatMap((submission) =>
        checkEnd(history, submission)
      ),
      ...findSharedJobs(history),
    ];
  }
}

function checkCall({ endedAt }: History, call: Call): string[] {
  const { requestId, answers } = call;
  const isTimeOver = endedAt >= call.sentAt + answerLimitMs(call);
  const name = `call ${requestId} (${call.call.kind} at ${call.sentAt})`;
  if (answers.length > 1) {
    return [`${name} was answered ${answers.length} times`];
  }
  const [first] = answers;
  if (first === undefined) {
    return call.isInterrupted || !isTimeOver
      ? []
      : [`${name} was not answered`];
  }
  const waitedMs = first.at - call.sentAt;
  if (!call.isInterrupted && waitedMs > answerLimitMs(call)) {
    return [`${name} was answered after ${waitedMs} ms`];
  }
  return matchesCall(call)
    ? []
    : [`${name} got ${JSON.stringify(first.answer)}`];
}

function answerLimitMs({ ttlMs }: Call): number {
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

function matchesCall({ call, submission, answers }: Call): boolean {
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
    : hasTaskAnswer(submission, answer.status);
}

/** Returns whether a completed request carries the answer of its task. */
function hasTaskAnswer({ name, spec }: Submission, status: JobStatus): boolean {
  const isComplete = spec.kind === JobKind.Request &&
    status.outcome === Outcome.Done && status.reason === EndReason.Completed;
  return !isComplete || status.answer === name;
}

/** Finds jobs that were reported to more than one submission. */
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
      violations.push(
        `${submission.name} was answered with ${owner}'s job ${jobId}`,
      );
    }
  }
  return violations;
}

/**
 * Checks that an accepted submission has ended with an outcome that its runs
 * confirm.
 */
function checkEnd(history: History, submission: Submission): string[] {
  const { name, spec } = submission;
  const latest = latestStatus(history, name);
  const isAccepted = latest !== undefined &&
    !(spec.kind === JobKind.Request && spec.idempotent);
  const status = history.finalJobs.get(latest?.jobId ?? "") ?? latest;
  if (!isAccepted || status === undefined) {
    return [];
  }
  if (status.state !== JobState.Ended) {
    const { explanation = "" } = status;
    return [`${name} has not ended: ${status.state} ${explanation}`];
  }
  return isConfirmedByRuns(history, submission, status)
    ? []
    : [`${name} did not complete as reported: ${JSON.stringify(status)}`];
}

function isConfirmedByRuns(
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

/** Only jobs that never run are reported as not run. */
export class TrueRefusalOracle extends Oracle {
  override readonly point = Point.TrueRefusal;

  override countRelevant({ calls }: History): number {
    return [...calls.values()].filter(reportsNotRun).length;
  }

  override findViolations(history: History): string[] {
    return [
      ...this.#findRunsOfRefused(history),
      ...this.#findRunsReportedNotRun(history),
    ];
  }

  /** Finds runs of submissions that every call refused as not run. */
  #findRunsOfRefused(history: History): string[] {
    return [...history.submissions.keys()].flatMap((name) => {
      const calls = callsOf(history, name);
      const isRefused = calls.every((call) => call.answers.length > 0) &&
        calls.every(reportsNotRun);
      const run = history.runs.find(({ submission }) => submission === name);
      return isRefused && run !== undefined
        ? [`refused as not run, yet ran: ${describeRun(run)}`]
        : [];
    });
  }

  /** Finds runs of jobs that some status reported as not run. */
  #findRunsReportedNotRun(history: History): string[] {
    const statuses = [
      ...[...history.calls.values()].flatMap(({ answers }) =>
        answers.flatMap(({ answer }) =>
          answer.kind === CallerAnswerKind.Job ? [answer.status] : []
        )
      ),
      ...history.finalJobs.values(),
    ];
    const notRunIds = new Set(
      statuses.filter(({ outcome }) => outcome === Outcome.NotRun)
        .map(({ jobId }) => jobId),
    );
    return history.runs
      .filter(({ jobId }) => notRunIds.has(jobId))
      .map((run) => `reported as not run, yet ran: ${describeRun(run)}`);
  }
}

function reportsNotRun({ answers, call }: Call): boolean {
  const answer = answers[0]?.answer;
  return answer?.kind === CallerAnswerKind.Refused
    ? answer.refusal.outcome === Outcome.NotRun &&
      call.kind === CallerCallKind.Submit
    : answer?.kind === CallerAnswerKind.Job &&
      answer.status.outcome === Outcome.NotRun;
}

/** Jobs run for the team of their key, and calls serve only that team. */
export class TeamKeyOracle extends Oracle {
  override readonly point = Point.TeamKey;

  override countRelevant({ calls }: History): number {
    return [...calls.values()].filter(isUnauthorized).length;
  }

  override findViolations(history: History): string[] {
    const foreignRuns = history.runs.filter(({ submission, team }) =>
      history.submissions.get(submission)?.team !== team ||
      submission.startsWith(UNKNOWN_CALLER)
    );
    const servedCalls = [...history.calls.values()].filter((call) =>
      isUnauthorized(call) && isServed(call)
    );
    return [
      ...foreignRuns.map((run) => `ran for another team: ${describeRun(run)}`),
      ...servedCalls.map(({ requestId, keyId, call }) =>
        `${requestId}: ${call.kind} was served for the key ${keyId}`
      ),
    ];
  }
}

/** Returns whether a call has an unknown key or names another team's job. */
function isUnauthorized({ keyId, team, call }: Call): boolean {
  const isForeign = team !== undefined && "jobId" in call &&
    !call.jobId.startsWith(`${team}.`);
  return keyId === UNKNOWN_CALLER || isForeign;
}

function isServed({ answers }: Call): boolean {
  return answers.some(({ answer }) => answer.kind !== CallerAnswerKind.Refused);
}

/** Keys are refused from {@link EFFECT_LIMIT_MS} after their withdrawal. */
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
    history.versionsBetween(sentAt - EFFECT_LIMIT_MS, sentAt)
      .every(({ configuration }) =>
        configuration.keys.every(({ id }) => id !== keyId)
      );
}
