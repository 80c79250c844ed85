import type { Update } from "@mustardweir/kernel";
import type { JobRecord, WorkerInfo } from "@mustardweir/model";
import {
  ChangeKind,
  count,
  type DurableProgress,
  logChange,
  Source,
  type SourceChange,
  type StoredRecord,
} from "@mustardweir/protocol";
import {
  CLOSED_FIELDS,
  type ClosedRecord,
  jobPart,
  NODE_FIELDS,
  type NodeRecord,
  type ParsedKey,
  parseKey,
  parsePartName,
  readFields,
  readJob,
  readProgress,
  readSummary,
  type RecordError,
  RecordKind,
  SESSION_FIELDS,
  type SessionRecord,
  TENURE_FIELDS,
  type TenureRecord,
} from "./record_keys.ts";
import {
  DESIRED_CHANGED,
  JOB_CHANGED,
  type KnownNode,
  NODES_CHANGED,
  REPLICA,
  type Replica,
  storeNow,
  TENURE_SEEN,
  WORKER_CHANGED,
} from "./replica.ts";

/** Longest time for which nodes that stop together stay down, in ms. */
const MAX_RESTART_MS = 30_000;
/**
 * Maximum length of the reason in a log line, in characters; it may name keys of
 * the value.
 */
const MAX_REASON_LENGTH = 200;

/**
 * Applies changes of a source in their order. An entry that can't be read names
 * no worker to use, even if it did before.
 */
export function applyChanges(
  update: Update,
  source: Source,
  changes: readonly SourceChange[],
): void {
  for (const change of changes) {
    applyChange(update, change);
    if (source === Source.Workers && change.kind === ChangeKind.Unreadable) {
      applyWorker(update, change.key, undefined);
    }
  }
}

/** Applies one change of a source to the replica and dispatches its events. */
export function applyChange(update: Update, change: SourceChange): void {
  const replica = update.write(REPLICA);
  switch (change.kind) {
    case ChangeKind.Record:
      applyRecord(update, replica, change.record);
      break;
    case ChangeKind.DesiredState:
      applyDesired(update, replica, change.desired);
      break;
    case ChangeKind.ZoneDrain:
      applyDrain(update, replica, change);
      break;
    case ChangeKind.Wave:
      update.emit(logChange("Maintenance wave left to the operators", {
        wave: change.wave.wave,
        machines: change.wave.machines.length,
      }));
      break;
    case ChangeKind.Worker:
      applyWorker(update, change.id, change.worker);
      break;
    case ChangeKind.Unreadable:
      reportUnreadable(update, change.key, change.reason);
      break;
  }
}

/**
 * Adds a job whose record is durable. Like the functions below it does nothing
 * on a node that keeps no copy of the records.
 */
export function applyJob(
  update: Update,
  jobId: string,
  record: JobRecord,
  part: string = jobPart(jobId),
): void {
  const replica = update.write(REPLICA);
  const known = replica.jobs.get(jobId);
  known?.parts.add(part);
  if (!replica.isStandby || known !== undefined) {
    return;
  }
  replica.jobs.set(jobId, {
    jobId,
    record,
    parts: new Set([part]),
    version: undefined,
    progress: replica.orphans.get(jobId),
    isCancelled: replica.cancels.has(jobId),
  });
  replica.orphans.delete(jobId);
  update.dispatch(JOB_CHANGED, { jobId });
}

/** Updates a job with progress that is durable. */
export function applyProgress(
  update: Update,
  { jobId, progress }: DurableProgress,
): void {
  const replica = update.write(REPLICA);
  if (!replica.isStandby) {
    return;
  }
  const job = replica.jobs.get(jobId);
  if (job === undefined) {
    replica.orphans.set(jobId, progress);
  } else {
    job.progress = progress;
    update.dispatch(JOB_CHANGED, { jobId });
  }
}

/** Marks a job as cancelled once the cancellation is durable. */
export function applyCancel(update: Update, jobId: string): void {
  const replica = update.write(REPLICA);
  if (!replica.isStandby) {
    return;
  }
  replica.cancels.add(jobId);
  const job = replica.jobs.get(jobId);
  if (job !== undefined && !job.isCancelled) {
    job.isCancelled = true;
    update.dispatch(JOB_CHANGED, { jobId });
  }
}

function applyDesired(
  update: Update,
  replica: Replica,
  desired: NonNullable<Replica["desired"]>,
): void {
  if (desired.version <= (replica.desired?.version ?? -1)) {
    return;
  }
  replica.desired = desired;
  update.emit(logChange("Desired state in force", {
    version: desired.version,
    queues: desired.queues.length,
    teams: desired.teams.length,
  }));
  update.dispatch(DESIRED_CHANGED, {});
}

function applyDrain(
  update: Update,
  replica: Replica,
  { zone, isDrained }: { zone: string; isDrained: boolean },
): void {
  if (replica.drainedZones.has(zone) === isDrained) {
    return;
  }
  if (isDrained) {
    replica.drainedZones.set(zone, update.now);
    update.emit(logChange("Zone drained", { zone }));
  } else {
    replica.drainedZones.delete(zone);
    update.emit(logChange("Zone returned", { zone }));
  }
  update.dispatch(DESIRED_CHANGED, {});
}

function applyWorker(
  update: Update,
  id: string,
  worker: WorkerInfo | undefined,
): void {
  const replica = update.write(REPLICA);
  const known = replica.workers.get(id);
  if (worker === undefined) {
    if (known === undefined) {
      return;
    }
    replica.workers.delete(id);
    replica.departed.set(id, { info: known, departedMs: update.now });
    update.emit(logChange("Worker left", { worker: id }));
  } else if (known !== undefined && isSameWorker(known, worker)) {
    // Workers renew their registration every second or two.
    return;
  } else {
    replica.workers.set(id, worker);
    replica.departed.delete(id);
    if (known?.state !== worker.state || known.address !== worker.address) {
      update.emit(logChange("Worker registered", {
        worker: id,
        pool: worker.pool,
        state: worker.state,
        incarnation: worker.incarnation,
      }));
    }
  }
  update.dispatch(WORKER_CHANGED, { workerId: id });
}

function isSameWorker(a: WorkerInfo, b: WorkerInfo): boolean {
  return a.incarnation === b.incarnation && a.address === b.address &&
    a.state === b.state &&
    a.remainingMs === b.remainingMs && a.pool === b.pool && a.zone === b.zone &&
    a.capacity.cpuMillis === b.capacity.cpuMillis &&
    a.capacity.memoryMb === b.capacity.memoryMb &&
    a.capacity.accelerators === b.capacity.accelerators &&
    a.capacity.slots === b.capacity.slots &&
    a.labels.length === b.labels.length &&
    a.labels.every((label, index) => label === b.labels[index]);
}

function applyRecord(
  update: Update,
  replica: Replica,
  record: StoredRecord,
): void {
  const key = parseKey(record.key);
  if (key === undefined) {
    return;
  }
  const { kind, name } = key;
  if (record.value === undefined) {
    removeRecord(update, replica, { ...key, part: record.part });
    return;
  }
  READERS[kind](update, { replica, name, record, value: record.value })
    ?.mapErr(({ reason }) => reportUnreadable(update, record.key, reason));
}

interface RecordRead {
  readonly replica: Replica;
  readonly name: string;
  readonly record: StoredRecord;
  readonly value: string;
}

type RecordReader = (
  update: Update,
  read: RecordRead,
) => { mapErr(report: (err: RecordError) => void): unknown } | undefined;

const READERS: { readonly [Kind in RecordKind]: RecordReader } = {
  [RecordKind.Job]: (update, { replica, name, record, value }) => {
    // A job that was accepted never changes.
    if (replica.jobs.has(name)) {
      noteJobRecord(replica, name, record);
      return undefined;
    }
    return readJob(value).map((job) => {
      if (!("refused" in job)) {
        applyJob(update, name, job, record.part);
        noteJobRecord(replica, name, record);
      }
    });
  },
  [RecordKind.Progress]: (update, { name, value }) =>
    readProgress(value).map((progress) =>
      applyProgress(update, { jobId: name, progress })
    ),
  [RecordKind.ProgressPart]: (_update, { replica, name, value }) =>
    readProgress(value).map((progress) => {
      const { jobId, part } = parsePartName(name);
      if (replica.isStandby) {
        const parts = replica.progressParts.get(jobId) ?? new Map();
        replica.progressParts.set(jobId, parts.set(part, progress));
      }
    }),
  [RecordKind.Cancel]: (update, { name }) => {
    applyCancel(update, name);
    return undefined;
  },
  [RecordKind.Session]: (_update, { replica, name, value }) =>
    readFields<SessionRecord>(value, SESSION_FIELDS)
      .map((session) => {
        replica.sessions.set(name, session);
        replica.unreadableSessions.delete(name);
      })
      .mapErr((error) => {
        replica.unreadableSessions.add(name);
        return error;
      }),
  [RecordKind.Closed]: (_update, { replica, name, record, value }) =>
    readFields<ClosedRecord>(value, CLOSED_FIELDS)
      .map(({ epoch }) =>
        replica.closed.set(name, { epoch, version: record.version })
      ),
  [RecordKind.Node]: (update, { replica, name, record, value }) =>
    readFields<Pick<NodeRecord, keyof typeof NODE_FIELDS>>(
      value,
      NODE_FIELDS,
    ).map((node: NodeRecord) => {
      const { version } = record;
      // A node that was upgraded left a record in another part.
      if (version >= (replica.nodes.get(name)?.version ?? 0)) {
        applyNode(update, {
          ...node,
          nodeId: name,
          unixOffsetMs: knownOffsetMs(node),
          seenMs: seenAt(update, name, node.renewedMs),
          version,
        });
      }
    }),
  [RecordKind.Summary]: (update, { replica, value }) =>
    readSummary(value).map((summary) => {
      if (summary.epoch < (replica.summary?.epoch ?? 0)) {
        return;
      }
      replica.summary = summary;
      for (const standby of replica.isStandby ? [] : summary.standbys ?? []) {
        applyNode(update, {
          unixOffsetMs: undefined,
          ...replica.nodes.get(standby.nodeId),
          ...standby,
          isStandby: true,
          seenMs: seenAt(update, standby.nodeId, summary.atMs),
        });
      }
    }),
  [RecordKind.Tenure]: (update, { replica, record, value }) =>
    readFields<TenureRecord>(value, TENURE_FIELDS).map((tenure) => {
      if (record.version <= (replica.tenure?.version ?? 0)) {
        return;
      }
      const { tenure: last } = replica;
      if (last?.record.epoch !== tenure.epoch) {
        const isNextEpoch = last?.record.epoch === tenure.epoch - 1;
        replica.formerTenure = isNextEpoch ? last : undefined;
      }
      const known = {
        record: tenure,
        version: record.version,
        seenMs: update.now,
      };
      replica.tenure = known;
      update.dispatch(TENURE_SEEN, known);
    }),
};

/**
 * Returns the offset that the record tells. Earlier versions write 0, and no
 * time of renewal, before they have read the store's clock.
 */
function knownOffsetMs(
  { unixOffsetMs, renewedMs }: NodeRecord,
): number | undefined {
  return unixOffsetMs === 0 && renewedMs === undefined
    ? undefined
    : unixOffsetMs;
}

function noteJobRecord(
  { jobs }: Replica,
  jobId: string,
  { part, version }: StoredRecord,
): void {
  const known = jobs.get(jobId);
  if (known !== undefined) {
    known.parts.add(part);
    known.version = Math.min(known.version ?? Infinity, version);
  }
}

function applyNode(update: Update, node: KnownNode): void {
  const replica = update.write(REPLICA);
  const { nodes } = replica;
  const known = nodes.get(node.nodeId);
  nodes.set(node.nodeId, node);
  replica.medianOffset = undefined;
  if (
    known?.address !== node.address || known.incarnation !== node.incarnation
  ) {
    update.dispatch(NODES_CHANGED, {});
  }
}

/**
 * Returns when a node was last seen, on this node's clock: a node that left
 * must not count as live because its record has only now been read. The first
 * time that a record is read, it also counts if it is not much older, since
 * nodes that stopped together start again together.
 */
function seenAt(
  update: Update,
  nodeId: string,
  renewedMs: number | undefined,
): number {
  const { nodes, storeClockOffsetMs } = update.read(REPLICA);
  if (renewedMs === undefined || storeClockOffsetMs === undefined) {
    return update.now;
  }
  const ageMs = Math.max(0, storeNow(update) - renewedMs);
  const isRestart = !nodes.has(nodeId) && ageMs <= MAX_RESTART_MS;
  return isRestart ? update.now : update.now - ageMs;
}

function removeRecord(
  update: Update,
  replica: Replica,
  { kind, name, part }: ParsedKey & { readonly part: string },
): void {
  switch (kind) {
    case RecordKind.Job: {
      const known = replica.jobs.get(name);
      known?.parts.delete(part);
      if (known?.parts.size === 0) {
        replica.jobs.delete(name);
        replica.cancels.delete(name);
        update.dispatch(JOB_CHANGED, { jobId: name });
      }
      break;
    }
    case RecordKind.Progress:
      replica.orphans.delete(name);
      break;
    case RecordKind.ProgressPart: {
      const { jobId, part } = parsePartName(name);
      const parts = replica.progressParts.get(jobId);
      parts?.delete(part);
      if (parts?.size === 0) {
        replica.progressParts.delete(jobId);
      }
      break;
    }
    case RecordKind.Session:
      replica.sessions.delete(name);
      replica.unreadableSessions.delete(name);
      break;
    case RecordKind.Closed:
      replica.closed.delete(name);
      break;
    case RecordKind.Node:
      replica.nodes.delete(name);
      replica.medianOffset = undefined;
      update.dispatch(NODES_CHANGED, {});
      break;
    default:
      break;
  }
}

function reportUnreadable(update: Update, key: string, reason: string): void {
  update.emit(count("unreadable-entries"));
  if (update.write(REPLICA).unreadable.admit(key, update.now)) {
    update.emit(logChange("Entry can't be read", {
      key,
      reason: reason.slice(0, MAX_REASON_LENGTH),
    }));
  }
}
