/** Oracles of planned stops and of the configuration. */
import { Role } from "@mustardweir/kernel";
import { EndReason } from "@mustardweir/model";
import { CallerAnswerKind, CallerCallKind } from "@mustardweir/protocol";
import type { Call, History, Probe, Run, Stop } from "../history.ts";
import { Oracle } from "../oracle.ts";
import { Point, SECONDS_MS } from "../point.ts";
import { describeRun } from "./runs.ts";

/** A planned stop shows its effects within this time, in milliseconds. */
const STOP_EFFECT_MS = 12_000;

/** Faults this long before a stop may show their effects during it. */
const FAULT_EFFECT_MS = 20_000;

/** A planned stop answers every call and costs no running task its run. */
export class GracefulStopOracle extends Oracle {
  override readonly point = Point.GracefulStop;

  override countRelevant({ stops }: History): number {
    return stops.length;
  }

  override findViolations(history: History): string[] {
    return history.stops.filter(({ isCut }) => !isCut).flatMap((stop) => [
      ...findEndless(stop),
      ...findCutCalls(history, stop),
      ...findLostRuns(history, stop),
    ]);
  }
}

function findEndless({ nodeId, at, stoppedAt }: Stop): string[] {
  return stoppedAt === undefined
    ? [`the stop of ${nodeId} at ${at} did not end`]
    : [];
}

function findCutCalls(history: History, stop: Stop): string[] {
  return [...history.calls.values()]
    .filter(({ incarnation, sentAt, answers, isCut }) =>
      incarnation === stop.incarnation && sentAt <= stop.at && !isCut &&
      answers.length === 0
    )
    .map(({ requestId }) => `${requestId} was cut by the stop of its entry`);
}

/** Tasks that were lost or stopped though nobody and nothing else did. */
function findLostRuns(history: History, stop: Stop): string[] {
  const isCalm = !history.faults.some((at) =>
    at > stop.at - FAULT_EFFECT_MS && at < stop.at + STOP_EFFECT_MS
  );
  const isFollowed = countStopping(history, stop) < history.schedulers;
  if (stop.role !== Role.Scheduler || !isCalm || !isFollowed) {
    return [];
  }
  return history.runs
    .filter((run) =>
      isLostOrStopped(history, run) && run.endedAt > stop.at &&
      run.endedAt < stop.at + STOP_EFFECT_MS
    )
    .map((run) => `lost by the stop of ${stop.nodeId}: ${describeRun(run)}`);
}

/** Schedulers that stop at about the time of `stop`. */
function countStopping({ stops }: History, stop: Stop): number {
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

/** What was accepted is in force everywhere in seconds, and stays. */
export class ConfigurationInForceOracle extends Oracle {
  override readonly point = Point.ConfigurationInForce;

  override countRelevant({ versions }: History): number {
    return versions.length - 1;
  }

  override findViolations(history: History): string[] {
    return [
      ...findReverts(history),
      ...findStale(history),
      ...findForgotten(history),
      ...findStaleReads(history),
    ];
  }
}

/** Versions in the table, and in each process, only grow. */
function findReverts({ versions, probes }: History): string[] {
  const inTable = versions.filter(({ configuration }, index) =>
    index > 0 &&
    configuration.version !== versions[index - 1]!.configuration.version + 1
  ).map(({ configuration }) =>
    `version ${configuration.version} does not follow the one before`
  );
  const newest = new Map<string, number>();
  const inProcesses = probes.filter(({ incarnation, version }) => {
    const known = newest.get(incarnation) ?? 0;
    newest.set(incarnation, Math.max(known, version));
    return version < known;
  }).map((probe) => `went back: ${describeProbe(probe)}`);
  return [...inTable, ...inProcesses];
}

/** A process that acts does so on a version of the last seconds. */
function findStale(history: History): string[] {
  return history.probes.filter((probe) =>
    probe.isConfirmed && probe.version < versionDue(history, probe.at)
  ).map((probe) => `acts on an old version: ${describeProbe(probe)}`);
}

/** The version that has to be in force everywhere at `at`. */
function versionDue({ versions }: History, at: number): number {
  const due = versions.filter(({ committedAt }) =>
    committedAt <= at - SECONDS_MS
  );
  return due.at(-1)?.configuration.version ?? 0;
}

/** Each accepted edit is the one of its version, and its body is there. */
function findForgotten(history: History): string[] {
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
          answer.configuration.version < versionDue(history, sentAt)
        ? [`${requestId} read version ${answer.configuration.version}`]
        : [];
    },
  );
}

function describeProbe({ nodeId, at, version }: Probe): string {
  return `${nodeId} has version ${version} at ${at}`;
}
