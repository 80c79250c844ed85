import { jobProgressSchema, StagedJobState } from "@mustardweir/model";
import { AttemptEnd, FrontAnswerKind } from "@mustardweir/protocol";
import type { DomainCluster } from "./domain_cluster.ts";
import type { DomainWorker, RunRecord } from "./domain_worker.ts";

/** Time after a cancellation in which tasks may still start, in ms. */
const CANCEL_MS = 3_000;

/** Time after which a capacity that has shrunk counts, in milliseconds. */
const SHRINK_GRACE_MS = 4_000;

/** Failures after which a job of the simulated queues fails. */
const MAX_FAILURES = 3;

/**
 * After this many workers have crashed under a task it may start
 * {@link MAX_STARTS_AFTER_CRASHES} times more.
 */
const MAX_CRASHES = 3;
const MAX_STARTS_AFTER_CRASHES = 2;

/**
 * A fenced node may send orders for this long, in milliseconds, and
 * {@link MAX_ORDERS_AFTER_FENCING} more after that.
 */
const FENCED_GRACE_MS = 3_000;
const MAX_ORDERS_AFTER_FENCING = 3;

/** Returns one line for each violation in a finished run. */
export function findViolations(cluster: DomainCluster): string[] {
  return [
    ...findDuplicateRuns(cluster.runs),
    ...findOverloads(cluster),
    ...findStageOrderViolations(cluster),
    ...findExcessAttempts(cluster),
    ...findExcessCrashes(cluster),
    ...findUntrueFailures(cluster),
    ...findUntrueAnswers(cluster),
    ...findUnfinishedJobs(cluster),
    ...findOrdersAfterFencing(cluster),
    ...findPartialGangs(cluster),
  ];
}

function findDuplicateRuns(runs: readonly RunRecord[]): string[] {
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

function findOverloads({ runs, workers, clients }: DomainCluster): string[] {
  return runs.flatMap((run) => {
    const beside = runs.filter((other) =>
      other.workerId === run.workerId && other.startMs <= run.startMs &&
      (other.endMs ?? Infinity) > run.startMs
    );
    const cpu = beside.reduce((sum, { task }) => {
      const [jobId, , stage] = task.split(".");
      const { size, bestEffort } = clients.get(jobId!)!.spec
        .stages[Number(stage)]!;
      return sum + (bestEffort ? 0 : size.cpuMillis);
    }, 0);
    const capacity = countedCapacity(
      workers.get(run.workerId)!,
      run.startMs,
    );
    return cpu > capacity
      ? [`${run.workerId} has ${cpu} of ${capacity} at ${run.startMs}`]
      : [];
  });
}

/** Returns the largest capacity in {@link SHRINK_GRACE_MS} before a time. */
function countedCapacity({ capacities }: DomainWorker, atMs: number): number {
  const counted = capacities.filter(({ sinceMs }, index) =>
    sinceMs <= atMs &&
    (capacities[index + 1]?.sinceMs ?? Infinity) > atMs - SHRINK_GRACE_MS
  );
  return Math.max(...counted.map(({ cpuMillis }) => cpuMillis));
}

function findStageOrderViolations({ runs, clients }: DomainCluster): string[] {
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
        ? [`${run.task} starts before stage ${earlier} is complete`]
        : [];
    });
  });
}

function findExcessAttempts({ runs }: DomainCluster): string[] {
  const failed = groupBy(
    runs.filter(({ end, acknowledgedMs }) =>
      end === AttemptEnd.Failed && acknowledgedMs !== undefined
    ),
    ({ task }) => task,
  );
  return runs.flatMap((run) => {
    const earlier = (failed.get(run.task) ?? [])
      .filter(({ endMs }) => endMs! <= run.startMs);
    return earlier.length >= MAX_FAILURES
      ? [`${run.task} starts after ${MAX_FAILURES} failures`]
      : [];
  });
}

/** Finds tasks that start too often after they have crashed workers. */
function findExcessCrashes({ runs }: DomainCluster): string[] {
  const byTask = groupBy(runs, ({ task }) => task);
  return [...byTask].flatMap(([task, ofTask]) => {
    const crashed = ofTask.filter(({ hasCrashedWorker }) => hasCrashedWorker);
    const third = crashed[MAX_CRASHES - 1];
    if (third === undefined) {
      return [];
    }
    const later = ofTask.filter(({ startMs }) => startMs > third.endMs!);
    return later.length > MAX_STARTS_AFTER_CRASHES
      ? [
        `${task} starts ${later.length} times after it crashed ${MAX_CRASHES}` +
        " workers",
      ]
      : [];
  });
}

/** Finds failed jobs of which no task failed too often or crashed workers. */
function findUntrueFailures(cluster: DomainCluster): string[] {
  return [...cluster.clients.values()].flatMap(({ jobId }) => {
    const ofJob = cluster.runs.filter(({ task }) =>
      task.startsWith(`${jobId}.`)
    );
    const isTrue = ofJob.some(({ hasCrashedWorker }) => hasCrashedWorker) ||
      ofJob.filter(({ end }) => end === AttemptEnd.Failed).length >=
        MAX_FAILURES;
    return jobState(cluster, jobId) === StagedJobState.Failed && !isTrue
      ? [`${jobId} is failed though none of its tasks is to blame`]
      : [];
  });
}

function findUntrueAnswers({ runs, clients }: DomainCluster): string[] {
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
        ? [`${jobId} ran although it was refused`]
        : []),
      ...late.map(({ task }) => `${task} starts after its cancellation`),
    ];
  });
}

/**
 * Finds accepted jobs whose record shows no final state, and completed ones
 * with tasks that did not complete.
 */
function findUnfinishedJobs(cluster: DomainCluster): string[] {
  return [...cluster.clients.values()].flatMap(({ jobId, answers, spec }) => {
    const isAccepted = answers.some(({ kind }) =>
      kind === FrontAnswerKind.Accepted
    );
    const state = jobState(cluster, jobId);
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

/** Returns the recorded state of a job; undefined if none is recorded. */
export function jobState(
  { store }: DomainCluster,
  jobId: string,
): StagedJobState | undefined {
  const record = store.records.get(`domain\nprogress/${jobId}`);
  return record?.value === undefined
    ? undefined
    : jobProgressSchema.parse(JSON.parse(record.value)).state;
}

/** Finds nodes that keep sending orders after workers fenced them. */
function findOrdersAfterFencing({ fencedOrders }: DomainCluster): string[] {
  const byNode = groupBy(
    fencedOrders,
    ({ node, token }) => `${node} under epoch ${Math.floor(token / 2 ** 24)}`,
  );
  return [...byNode].flatMap(([name, ofNode]) => {
    const late = ofNode.filter(({ atMs }) =>
      atMs > ofNode[0]!.atMs + FENCED_GRACE_MS
    );
    return late.length > MAX_ORDERS_AFTER_FENCING
      ? [`${name} sent ${late.length} orders long after it was fenced`]
      : [];
  });
}

/** Finds attempts of gangs of which only some members started. */
function findPartialGangs({ runs, clients }: DomainCluster): string[] {
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
