/** Oracles of planned stops and of configuration edits. */
import { Role } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import type { Call, History, Probe, Run, Stop } from "../history.ts";
import { Oracle } from "../oracle.ts";
import { EFFECT_LIMIT_MS, Point } from "../point.ts";
import { describeRun } from "./runs.ts";

/** Time in which a planned stop can affect tasks, in milliseconds. */
const STOP_EFFECT_MS = 12_000;

/** Time in which a fault before a stop can affect tasks, in milliseconds. */
const FAULT_EFFECT_MS = 20_000;

/** During a planned stop all calls are answered and no task is lost. */
export class GracefulStopOracle extends Oracle {
  override readonly point = Point.GracefulStop;

  override countRelevant({ stops }: History): number {
    return stops.length;
  }

  override findViolations(history: History): string[] {
    return history.stops.filter(({ isInterrupted }) => !isInterrupted).flatMap((
      stop,
    ) => [
      ...findUnfinishedStops(stop),
      ...findUnansweredCalls(history, stop),
      ...findLostRuns(history, stop),
    ]);
  }
}

function findUnfinishedStops({ nodeId, at, stoppedAt }: Stop): string[] {
  return stoppedAt === undefined
    ? [`the stop of ${nodeId} at ${at} did not finish`]
    : [];
}

function findUnansweredCalls(history: History, stop: Stop): string[] {
  return [...history.calls.values()]
    .filter(({ incarnation, sentAt, answers, isInterrupted }) =>
      incarnation === stop.incarnation && sentAt <= stop.at && !isInterrupted &&
      answers.length === 0
    )
    .map(({ requestId }) =>
      `${requestId} was not answered before its entry stopped`
    );
}

/**
 * Finds runs that were lost or stopped by the stop: no fault was injected
 * around it, another scheduler remained, and no caller cancelled the job.
 */
function findLostRuns(history: History, stop: Stop): string[] {
  const isWithoutFaults = !history.faults.some((at) =>
    at > stop.at - FAULT_EFFECT_MS && at < stop.at + STOP_EFFECT_MS
  );
  const hasSuccessor =
    countStoppingSchedulers(history, stop) < history.schedulers;
  if (stop.role !== Role.Scheduler || !isWithoutFaults || !hasSuccessor) {
    return [];
  }
  return history.runs
    .filter((run) =>
      isLostOrStopped(history, run) && run.endedAt > stop.at &&
      run.endedAt < stop.at + STOP_EFFECT_MS
    )
    .map((run) => `lost by the stop of ${stop.nodeId}: ${describeRun(run)}`);
}

/** Returns the number of schedulers that stop at about the same time. */
function countStoppingSchedulers({ stops }: History, stop: Stop): number {
  const near = stops.filter(({ role, at }) =>
    role === Role.Scheduler && Math.abs(at - stop.at) < FAULT_EFFECT_MS
  );
  return new Set(near.map(({ nodeId }) => nodeId)).size;
}

function isLostOrStopped({ calls }: History, run: Run): boolean {
  const isCancelled = [...calls.values()].some(({ call, sentAt }) =>
    call.kind === CallerCallKind.Cancel && call.jobId === run.jobId &&
    sentAt <= run.endedAt
  );
  return run.reason === EndReason.Lost ||
    (run.reason === EndReason.Cancelled && !isCancelled);
}

/** Accepted edits take effect everywhere in time and are never lost. */
export class ConfigurationInForceOracle extends Oracle {
  override readonly point = Point.ConfigurationInForce;

  override countRelevant({ versions }: History): number {
    return versions.length - 1;
  }

  override findViolations(history: History): string[] {
    return [
      ...findOutOfOrderVersions(history),
      ...findStaleVersions(history),
      ...findOverwrittenEdits(history),
      ...findStaleReads(history),
    ];
  }
}

/**
 * Finds versions in the table that don't follow the previous one, and
 * processes whose version decreases.
 */
function findOutOfOrderVersions({ versions, probes }: History): string[] {
  const inTable = versions.filter(({ configuration }, index) =>
    index > 0 &&
    configuration.version !== versions[index - 1]!.configuration.version + 1
  ).map(({ configuration }) =>
    `version ${configuration.version} does not follow the previous one`
  );
  const newest = new Map<string, number>();
  const inProcesses = probes.filter(({ incarnation, version }) => {
    const previous = newest.get(incarnation) ?? 0;
    newest.set(incarnation, Math.max(previous, version));
    return version < previous;
  }).map((probe) => `version decreased: ${describeProbe(probe)}`);
  return [...inTable, ...inProcesses];
}

/** Finds processes that act on a version that is too old. */
function findStaleVersions(history: History): string[] {
  return history.probes.filter((probe) =>
    probe.isConfirmed && probe.version < requiredVersion(history, probe.at)
  ).map((probe) => `acts on an old version: ${describeProbe(probe)}`);
}

/** Returns the oldest version that a process may still use at `at`. */
function requiredVersion({ versions }: History, at: number): number {
  const due = versions.filter(({ committedAt }) =>
    committedAt <= at - EFFECT_LIMIT_MS
  );
  return due.at(-1)?.configuration.version ?? 0;
}

/** Finds accepted edits that share a version or whose body was not kept. */
function findOverwrittenEdits(history: History): string[] {
  const accepted = new Map<number, string>();
  return [...history.calls.values()].flatMap((made) => {
    const { call, requestId, answers } = made;
    const answer = answers[0]?.answer;
    if (
      call.kind !== CallerCallKind.EditConfiguration ||
      answer?.kind !== CallerAnswerKind.Edited
    ) {
      return [];
    }
    const other = accepted.get(answer.version);
    accepted.set(answer.version, requestId);
    const isKept = hasBody(history, made, answer.version);
    return other === undefined && isKept
      ? []
      : [`the edit ${requestId} to version ${answer.version} was overwritten`];
  });
}

function hasBody({ versions }: History, { call }: Call, version: number) {
  const found = versions.find(({ configuration }) =>
    configuration.version === version
  );
  return call.kind === CallerCallKind.EditConfiguration &&
    found !== undefined &&
    JSON.stringify(found.configuration[call.section]) ===
      JSON.stringify(call.body);
}

function findStaleReads(history: History): string[] {
  return [...history.calls.values()].flatMap(
    ({ requestId, sentAt, answers }) => {
      const answer = answers[0]?.answer;
      return answer?.kind === CallerAnswerKind.Configuration &&
          answer.configuration.version < requiredVersion(history, sentAt)
        ? [`${requestId} read version ${answer.configuration.version}`]
        : [];
    },
  );
}

function describeProbe({ nodeId, at, version }: Probe): string {
  return `${nodeId} has version ${version} at ${at}`;
}
