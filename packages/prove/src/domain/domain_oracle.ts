import { jobProgressSchema, StagedJobState } from "@mustardweir/model";
import { AttemptEnd, FrontAnswerKind } from "@mustardweir/protocol";
import type { DomainCluster } from "./domain_cluster.ts";
import type { RunRecord } from "./domain_worker.ts";

/** Bounds of the promise about cancelled work, in milliseconds. */
const CANCEL_MS = 3_000;

/** A refused owner has so long to stop, in milliseconds. */
const REFUSED_MS = 3_000;
const MAX_LATE_ORDERS = 3;

/** Everything that a finished run of the simulation has broken. */
export function findViolations(cluster: DomainCluster): string[] {
  return [
    ...runsTwice(cluster.runs),
    ...overCapacity(cluster),
    ...outOfOrder(cluster),
    ...beyondAttempts(cluster),
    ...untrueAnswers(cluster),
    ...unfinished(cluster),
    ...goesOnRefused(cluster),
    ...partialGangs(cluster),
  ];
}

function runsTwice(runs: readonly RunRecord[]): string[] {
  const byTask = groupBy(runs, ({ task }) => task);
  return [...byTask.values()].flatMap((ofTask) => {
    const sorted = [...ofTask].sort((a, b) => a.startMs - b.startMs);
    return sorted.flatMap((run, index) =>
      sorted.slice(0, index)
        .filter((earlier) =>
          (earlier.endMs ?? Infinity) > run.startMs ||
          (earlier.end === AttemptEnd.Done &&
            earlier.acknowledgedMs !== undefined)
        )
        .map((earlier) =>
          `${run.task} runs twice: ${earlier.attempt} on ${earlier.workerId}` +
          ` and ${run.attempt} on ${run.workerId} at ${run.startMs}`
        )
    );
  });
}

function overCapacity({ runs, workers, clients }: DomainCluster): string[] {
  return runs.flatMap((run) => {
    const beside = runs.filter((other) =>
      other.workerId === run.workerId && other.startMs <= run.startMs &&
      (other.endMs ?? Infinity) > run.startMs
    );
    const cpu = beside.reduce((sum, { task }) => {
      const [jobId, , stage] = task.split(".");
      return sum +
        clients.get(jobId!)!.spec.stages[Number(stage)]!.size.cpuMillis;
    }, 0);
    const { capacity } = workers.get(run.workerId)!.info;
    return cpu > capacity.cpuMillis
      ? [
        `${run.workerId} has ${cpu} of ${capacity.cpuMillis} at ${run.startMs}`,
      ]
      : [];
  });
}

function outOfOrder({ runs, clients }: DomainCluster): string[] {
  return runs.flatMap((run) => {
    const [jobId, occurrence, stage] = run.task.split(".");
    const { stages } = clients.get(jobId!)!.spec;
    return stages[Number(stage)]!.dependsOn.flatMap((earlier) => {
      const name = `${jobId}.${occurrence}.${earlier}.`;
      const done = new Set(
        runs.filter(({ task, end, endMs }) =>
          task.startsWith(name) && end === AttemptEnd.Done &&
          endMs! <= run.startMs
        ).map(({ task }) => task),
      );
      return done.size < stages[earlier]!.tasks
        ? [`${run.task} starts before stage ${earlier} is done`]
        : [];
    });
  });
}

function beyondAttempts({ runs }: DomainCluster): string[] {
  const failed = groupBy(
    runs.filter(({ end, acknowledgedMs }) =>
      end === AttemptEnd.Failed && acknowledgedMs !== undefined
    ),
    ({ task }) => task,
  );
  return runs.flatMap((run) => {
    const earlier = (failed.get(run.task) ?? [])
      .filter(({ endMs }) => endMs! <= run.startMs);
    return earlier.length >= 3 ? [`${run.task} starts after 3 failures`] : [];
  });
}

function untrueAnswers({ runs, clients }: DomainCluster): string[] {
  return [...clients.values()].flatMap(({ jobId, answers, cancelledMs }) => {
    const started = runs.filter(({ task }) => task.startsWith(`${jobId}.`));
    const isRefused = answers.length > 0 &&
      answers.every(({ kind }) =>
        kind === FrontAnswerKind.Unavailable ||
        kind === FrontAnswerKind.Overloaded
      );
    const late = started.filter(({ startMs }) =>
      startMs > (cancelledMs ?? Infinity) + CANCEL_MS
    );
    return [
      ...(isRefused && started.length > 0
        ? [`${jobId} runs, and was refused`]
        : []),
      ...late.map(({ task }) => `${task} starts after its cancellation`),
    ];
  });
}

/** Accepted jobs have ended as the records say, and the records are right. */
function unfinished(cluster: DomainCluster): string[] {
  return [...cluster.clients.values()].flatMap(({ jobId, answers, spec }) => {
    const isAccepted = answers.some(({ kind }) =>
      kind === FrontAnswerKind.Accepted
    );
    const record = cluster.store.records.get(`domain\nprogress/${jobId}`);
    const state = record?.value === undefined
      ? undefined
      : jobProgressSchema.parse(JSON.parse(record.value)).state;
    if (state === StagedJobState.Completed) {
      const done = new Set(
        cluster.runs.filter(({ task, end }) =>
          task.startsWith(`${jobId}.`) && end === AttemptEnd.Done
        ).map(({ task }) => task),
      );
      const tasks = spec.stages.reduce((sum, stage) => sum + stage.tasks, 0);
      const isGang = spec.stages.some(({ gang }) => gang);
      return done.size < tasks && !isGang
        ? [`${jobId} is completed with ${done.size} of ${tasks} tasks done`]
        : [];
    }
    const isOver = state === StagedJobState.Cancelled ||
      state === StagedJobState.Failed;
    return isAccepted && !isOver
      ? [`${jobId} was accepted and is ${state ?? "pending"} at the end`]
      : [];
  });
}

/** A node that was refused for a newer owner soon stops to order. */
function goesOnRefused({ refusals }: DomainCluster): string[] {
  const byNode = groupBy(
    refusals,
    ({ node, token }) => `${node} under epoch ${Math.floor(token / 2 ** 24)}`,
  );
  return [...byNode].flatMap(([name, ofNode]) => {
    const late = ofNode.filter(({ atMs }) =>
      atMs > ofNode[0]!.atMs + REFUSED_MS
    );
    return late.length > MAX_LATE_ORDERS
      ? [`${name} orders ${late.length} times after it was refused`]
      : [];
  });
}

/** All members of a gang are ordered to start together. */
function partialGangs({ runs, clients }: DomainCluster): string[] {
  const byAttempt = groupBy(
    runs,
    ({ task, attempt }) =>
      `${task.split(".").slice(0, 3).join(".")}#${attempt}`,
  );
  return [...byAttempt].flatMap(([name, members]) => {
    const [jobId, , stage] = name.split("#")[0]!.split(".");
    const { gang, tasks } = clients.get(jobId!)!.spec.stages[Number(stage)]!;
    const started = new Set(members.map(({ task }) => task)).size;
    return gang && started < tasks
      ? [`${name} starts ${started} of ${tasks} members`]
      : [];
  });
}

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    groups.set(key, [...groups.get(key) ?? [], item]);
  }
  return groups;
}
