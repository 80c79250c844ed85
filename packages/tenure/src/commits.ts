import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  count,
  EffectKind,
  logChange,
  NODE_IDENTITY,
  observe,
  RecordCommitKind,
  type RecordCommitResult,
  type RecordTransaction,
  replyTo,
} from "@mustardweir/protocol";
import {
  DOMAIN_PART,
  readFields,
  REPLICA,
  TENURE_FIELDS,
  TENURE_KEY,
  type TenureRecord,
} from "@mustardweir/replica";
import { callStore } from "@mustardweir/store-route";
import { isLive } from "./nodes.ts";
import {
  CHANGES_DURABLE,
  type InFlightCommit,
  type QueuedChange,
  TENURE,
  TENURE_LOST,
  TenurePhase,
} from "./tenure_state.ts";

/** An owner that has nothing to record commits this often, in milliseconds. */
export const BEAT_MS = 300;
/** Changes in a commit, below the store's limit of 100 entries. */
const MAX_CHANGES = 90;
/** Text in a commit, below the store's limit of 1 MB with its encoding. */
const MAX_TEXT_BYTES = 600_000;
/** Bounds of the time that a commit may take, in milliseconds. */
const MIN_TIMEOUT_MS = 120;
const MAX_TIMEOUT_MS = 1_500;
/** A commit is overdue after this many times its usual time. */
const TIMEOUT_FACTOR = 6;
/** Weight of the newest commit in the smoothed time. */
const SMOOTHING = 0.2;
/** Pause after the store refused, in milliseconds. */
const REFUSED_RETRY_MS = 80;

/** A commit has been answered. */
export const COMMIT_ANSWERED = createCommand<
  Answered<
    { readonly epoch: number; readonly sequence: number },
    RecordCommitResult
  >
>("tenure-commit-answered");

/** Sends the next commit when none is on its way and one is due. */
export function pumpCommits(update: Update): void {
  const tenure = update.write(TENURE);
  const owns = tenure.phase === TenurePhase.Owner ||
    tenure.phase === TenurePhase.Opening;
  if (!owns || tenure.inFlight !== undefined || update.now < tenure.retryMs) {
    return;
  }
  const isDue = update.now - tenure.confirmedMs >= BEAT_MS;
  if (tenure.queue.length === 0 && !isDue && !tenure.isReleasing) {
    return;
  }
  const changes = takeChanges(tenure.queue);
  const successor = tenure.isReleasing && tenure.queue.length === changes.length
    ? findSuccessor(update)
    : undefined;
  const sequence = ++tenure.sequence;
  tenure.inFlight = {
    transaction: buildTransaction(update, { changes, sequence, successor }),
    sequence,
    upToTicket: changes.at(-1)?.ticket ?? 0,
    sentMs: update.now,
    handsOver: successor !== undefined,
  };
  tenure.queue.splice(0, changes.length);
  send(update, tenure.inFlight);
}

/** Takes the answer to a commit. */
export function commitAnswered(
  update: Update,
  { context, result }: Answered<
    { readonly epoch: number; readonly sequence: number },
    RecordCommitResult
  >,
): void {
  const tenure = update.write(TENURE);
  const { inFlight } = tenure;
  if (
    inFlight?.sequence !== context.sequence || tenure.epoch !== context.epoch
  ) {
    return;
  }
  switch (result.kind) {
    case RecordCommitKind.Committed:
      committed(update, inFlight, result.version);
      break;
    case RecordCommitKind.Conflict:
      conflicted(update, inFlight, result.records);
      break;
    case RecordCommitKind.Refused:
      update.emit(count("commit-refused"));
      tenure.retryMs = update.now + REFUSED_RETRY_MS;
      break;
    case RecordCommitKind.Unknown:
      update.emit(count("commit-unknown"));
      tenure.commitMs = Math.min(tenure.commitMs * 2, MAX_TIMEOUT_MS);
      tenure.retryMs = update.now;
      break;
  }
}

/** Sends a commit again that was refused or not answered. */
export function resendCommit(update: Update): void {
  const tenure = update.write(TENURE);
  if (
    tenure.inFlight !== undefined && tenure.retryMs !== 0 &&
    update.now >= tenure.retryMs
  ) {
    tenure.retryMs = 0;
    tenure.inFlight = { ...tenure.inFlight, sentMs: update.now };
    send(update, tenure.inFlight);
  }
}

function committed(
  update: Update,
  inFlight: InFlightCommit,
  version: number,
): void {
  const tenure = update.write(TENURE);
  const tookMs = update.now - inFlight.sentMs;
  tenure.commitMs += SMOOTHING * (tookMs - tenure.commitMs);
  tenure.inFlight = undefined;
  tenure.retryMs = 0;
  tenure.version = version;
  tenure.confirmedMs = inFlight.sentMs;
  update.emit(observe("commit-ms", tookMs));
  if (inFlight.upToTicket > 0) {
    update.dispatch(CHANGES_DURABLE, { upToTicket: inFlight.upToTicket });
  }
  if (inFlight.handsOver) {
    loseTenure(update, "handed over");
    return;
  }
  pumpCommits(update);
}

function conflicted(
  update: Update,
  inFlight: InFlightCommit,
  records: readonly { version: number; value?: string }[],
): void {
  const tenure = update.write(TENURE);
  const [record] = records;
  const held = readTenure(record?.value ?? "");
  const sent = readTenure(inFlight.transaction.puts[0]!.value);
  const isSent = held !== undefined && sent !== undefined &&
    held.nodeId === sent.nodeId && held.incarnation === sent.incarnation &&
    held.epoch === sent.epoch && held.sequence === sent.sequence;
  if (record !== undefined && isSent) {
    // An earlier try took effect and its answer was lost.
    committed(update, inFlight, record.version);
    return;
  }
  const { incarnation, nodeId } = update.service(NODE_IDENTITY);
  const isOwn = held?.nodeId === nodeId && held.incarnation === incarnation &&
    held.epoch === tenure.epoch;
  if (record !== undefined && isOwn) {
    tenure.version = record.version;
    const [expected] = inFlight.transaction.expected;
    tenure.inFlight = {
      ...inFlight,
      transaction: {
        ...inFlight.transaction,
        expected: [{ ...expected!, version: record.version }],
      },
    };
    send(update, tenure.inFlight);
    return;
  }
  loseTenure(update, "another node owns the domain");
}

function readTenure(text: string): TenureRecord | undefined {
  return readFields<TenureRecord>(text, TENURE_FIELDS).unwrapOr(undefined);
}

/** Gives up the domain; what wasn't durable is left to the next owner. */
export function loseTenure(update: Update, reason: string): void {
  const tenure = update.write(TENURE);
  const held = tenure.phase !== TenurePhase.Follower;
  tenure.phase = TenurePhase.Follower;
  tenure.isReleasing = tenure.isStopping;
  tenure.queue = [];
  tenure.inFlight = undefined;
  tenure.retryMs = 0;
  if (held) {
    update.emit(logChange("Domain given up", { epoch: tenure.epoch, reason }));
    update.dispatch(TENURE_LOST, { reason });
  }
}

function takeChanges(queue: readonly QueuedChange[]): QueuedChange[] {
  let bytes = 0;
  const end = queue.findIndex(({ value }, index) => {
    bytes += value?.length ?? 0;
    return index >= MAX_CHANGES || (index > 0 && bytes > MAX_TEXT_BYTES);
  });
  return queue.slice(0, end < 0 ? queue.length : end);
}

function buildTransaction(
  update: Update,
  { changes, sequence, successor }: {
    readonly changes: readonly QueuedChange[];
    readonly sequence: number;
    readonly successor: TenureRecord | undefined;
  },
): RecordTransaction {
  const { epoch, version } = update.read(TENURE);
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const tenure: TenureRecord = successor ??
    { nodeId, incarnation, epoch, sequence };
  // Only the newest value of a record counts.
  const newest = new Map(changes.map((change) => [change.key, change]));
  const kept = [...newest.values()];
  return {
    expected: [{ ...TENURE_KEY, version }],
    puts: [
      { ...TENURE_KEY, value: JSON.stringify(tenure) },
      ...kept.flatMap(({ key, value }) =>
        value === undefined ? [] : [{ part: DOMAIN_PART, key, value }]
      ),
    ],
    removes: kept.flatMap(({ key, value }) =>
      value === undefined ? [{ part: DOMAIN_PART, key }] : []
    ),
  };
}

function findSuccessor(update: Update): TenureRecord | undefined {
  const { epoch } = update.read(TENURE);
  const { nodeId } = update.service(NODE_IDENTITY);
  const nodes = [...update.read(REPLICA).nodes.values()]
    .filter((node) => node.nodeId !== nodeId && isLive(update, node));
  const next = nodes[update.random.below(Math.max(nodes.length, 1))];
  return next && {
    nodeId: next.nodeId,
    incarnation: next.incarnation,
    epoch: epoch + 1,
    sequence: 1,
  };
}

function send(update: Update, { transaction, sequence }: InFlightCommit): void {
  const { epoch, commitMs } = update.read(TENURE);
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction,
    timeoutMs: Math.round(
      Math.min(
        Math.max(TIMEOUT_FACTOR * commitMs, MIN_TIMEOUT_MS),
        MAX_TIMEOUT_MS,
      ),
    ),
    replyTo: replyTo(COMMIT_ANSWERED, { epoch, sequence }),
  });
}
