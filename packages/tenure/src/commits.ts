import { createCommand, type Update } from "@mustardweir/kernel";
import {
  count,
  EffectKind,
  type EffectReply,
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
  type KnownNode,
  readFields,
  storeNow,
  TENURE_FIELDS,
  TENURE_KEY,
  type TenureRecord,
} from "@mustardweir/replica";
import { callStore } from "@mustardweir/store-route";
import { findFasterNode } from "./lag.ts";
import { liveStandbys } from "./nodes.ts";
import { identifyOwner, OwnerProcess, ownProcess } from "./owner_process.ts";
import { selectStrongest } from "./strength.ts";
import {
  CHANGE_REJECTED,
  CHANGES_DURABLE,
  type InFlightCommit,
  type QueuedChange,
  TENURE,
  TENURE_LOST,
  TenurePhase,
} from "./tenure_state.ts";

/** An owner without changes commits this often as a heartbeat, in ms. */
export const IDLE_COMMIT_INTERVAL_MS = 300;
/** Most records in a commit, below the store's limit of 100 entries. */
const MAX_RECORDS_PER_COMMIT = 90;
/**
 * Most bytes of values in a commit; encoded in base64 they stay below the
 * store's limit of 1 MB for a transaction.
 */
const MAX_BYTES_PER_COMMIT = 600_000;
/** Bounds of the timeout of a commit, in milliseconds. */
const MIN_TIMEOUT_MS = 120;
const MAX_TIMEOUT_MS = 1_500;
/** Timeout of a commit as a multiple of its smoothed duration. */
const TIMEOUT_FACTOR = 6;
/** Weight of the newest commit in the smoothed duration. */
const SMOOTHING = 0.2;
/** Delay before a refused commit is sent again, in milliseconds. */
const REFUSED_RETRY_MS = 80;

/** Dispatched with the result of a commit. */
export const COMMIT_ANSWERED = createCommand<
  EffectReply<
    { readonly epoch: number; readonly sequence: number },
    RecordCommitResult
  >
>("tenure-commit-answered");

/** Sends the next commit if none is in flight and one is due. */
export function sendNextCommit(update: Update): void {
  const tenure = update.write(TENURE);
  const isOwning = tenure.phase === TenurePhase.Owner ||
    tenure.phase === TenurePhase.Opening;
  if (
    !isOwning || tenure.inFlight !== undefined || update.now < tenure.retryMs
  ) {
    return;
  }
  const isDue = update.now - tenure.confirmedMs >= IDLE_COMMIT_INTERVAL_MS;
  if (tenure.queue.length === 0 && !isDue && !tenure.isReleasing) {
    return;
  }
  const changes = selectChanges(tenure.queue).slice(0, tenure.maxChanges);
  const successor = tenure.isReleasing && tenure.queue.length === changes.length
    ? findSuccessor(update)
    : undefined;
  const sequence = ++tenure.sequence;
  tenure.inFlight = {
    transaction: buildTransaction(update, { changes, sequence, successor }),
    changes,
    sequence,
    upToTicket: changes.at(-1)?.ticket ?? 0,
    sentMs: update.now,
    isHandover: successor !== undefined,
  };
  tenure.queue.splice(0, changes.length);
  sendCommit(update, tenure.inFlight);
}

/** Handles the result of a commit. */
export function handleCommitResult(
  update: Update,
  { context, result }: EffectReply<
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
      resolveConflict(update, inFlight, result.records);
      break;
    case RecordCommitKind.Refused:
      retryRefused(update);
      break;
    case RecordCommitKind.Rejected:
      divideRejected(update, inFlight);
      break;
    case RecordCommitKind.Unknown:
      update.emit(count("commit-unknown"));
      tenure.commitMs = Math.min(tenure.commitMs * 2, MAX_TIMEOUT_MS);
      tenure.retryMs = update.now;
      break;
  }
}

function retryRefused(update: Update): void {
  update.emit(count("commit-refused"));
  update.write(TENURE).retryMs = update.now + REFUSED_RETRY_MS;
}

/**
 * Sends the changes of a rejected commit again in smaller ones, until the change
 * that the store doesn't take is alone and can be left out.
 */
function divideRejected(update: Update, { changes }: InFlightCommit): void {
  const [change, ...others] = changes;
  if (change === undefined) {
    retryRefused(update);
    return;
  }
  const tenure = update.write(TENURE);
  tenure.inFlight = undefined;
  update.emit(count("commit-rejected"));
  if (others.length > 0) {
    tenure.queue.unshift(...changes);
    tenure.maxChanges = Math.ceil(changes.length / 2);
  } else {
    update.emit(logChange("Change can't be written", {
      key: change.key,
      bytes: Buffer.byteLength(change.value ?? ""),
    }));
    update.dispatch(CHANGE_REJECTED, { key: change.key });
  }
  sendNextCommit(update);
}

/** Resends a commit that was refused or whose result is unknown. */
export function resendCommit(update: Update): void {
  const tenure = update.write(TENURE);
  if (
    tenure.inFlight !== undefined && tenure.retryMs !== 0 &&
    update.now >= tenure.retryMs
  ) {
    tenure.retryMs = 0;
    tenure.inFlight = { ...tenure.inFlight, sentMs: update.now };
    sendCommit(update, tenure.inFlight);
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
  tenure.maxChanges *= 2;
  tenure.version = version;
  tenure.confirmedMs = inFlight.sentMs;
  update.emit(observe("commit-ms", tookMs));
  if (inFlight.upToTicket > 0) {
    update.dispatch(CHANGES_DURABLE, { upToTicket: inFlight.upToTicket });
  }
  if (inFlight.isHandover) {
    loseTenure(update, "handed over");
    return;
  }
  // Otherwise the next tick commits, together with what changes until then: a
  // commit costs much more processor time than another record in it.
  if (tenure.isReleasing || tenure.queue.length >= MAX_RECORDS_PER_COMMIT) {
    sendNextCommit(update);
  }
}

function resolveConflict(
  update: Update,
  inFlight: InFlightCommit,
  records: readonly { version: number; value?: string }[],
): void {
  const tenure = update.write(TENURE);
  const [record] = records;
  const held = readTenure(record?.value ?? "");
  const sent = readTenure(inFlight.transaction.puts[0]!.value);
  const isAlreadyApplied = held !== undefined && sent !== undefined &&
    held.nodeId === sent.nodeId && held.incarnation === sent.incarnation &&
    held.epoch === sent.epoch && held.sequence === sent.sequence;
  if (record !== undefined && isAlreadyApplied) {
    // An earlier try of this commit took effect, but its reply was lost.
    committed(update, inFlight, record.version);
    return;
  }
  const isOwnTenure = held !== undefined &&
    identifyOwner(update, held) === OwnerProcess.This &&
    held.epoch === tenure.epoch;
  if (record !== undefined && isOwnTenure) {
    tenure.version = record.version;
    const [expected] = inFlight.transaction.expected;
    tenure.inFlight = {
      ...inFlight,
      transaction: {
        ...inFlight.transaction,
        expected: [{ ...expected!, version: record.version }],
      },
    };
    sendCommit(update, tenure.inFlight);
    return;
  }
  loseTenure(update, "another node owns the domain");
}

function readTenure(text: string): TenureRecord | undefined {
  return readFields<TenureRecord>(text, TENURE_FIELDS).unwrapOr(undefined);
}

/**
 * Gives up the domain and drops changes that aren't durable; the next owner
 * continues from the records in the store.
 */
export function loseTenure(update: Update, reason: string): void {
  const tenure = update.write(TENURE);
  const held = tenure.phase !== TenurePhase.Follower;
  tenure.phase = TenurePhase.Follower;
  tenure.isReleasing = tenure.isStopping;
  tenure.queue = [];
  tenure.inFlight = undefined;
  tenure.retryMs = 0;
  if (held) {
    tenure.lostMs = update.now;
    update.emit(logChange("Domain given up", { epoch: tenure.epoch, reason }));
    update.dispatch(TENURE_LOST, { reason });
  }
}

/**
 * Returns the first changes of the queue that fit in one commit. Of several
 * changes of one record only the newest is written, so only that one counts.
 */
function selectChanges(queue: readonly QueuedChange[]): QueuedChange[] {
  const bytesByKey = new Map<string, number>();
  let bytes = 0;
  const end = queue.findIndex(({ key, value = "" }, index) => {
    const isNewKey = !bytesByKey.has(key);
    const valueBytes = Buffer.byteLength(value);
    bytes += valueBytes - (bytesByKey.get(key) ?? 0);
    bytesByKey.set(key, valueBytes);
    return index > 0 &&
      (bytes > MAX_BYTES_PER_COMMIT ||
        (isNewKey && bytesByKey.size > MAX_RECORDS_PER_COMMIT));
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
  const { epoch, version, closesSince, claimedMs } = update.read(TENURE);
  const tenure: TenureRecord = successor ?? {
    ...ownProcess(update),
    epoch,
    sequence,
    closesSince,
    ...(claimedMs === undefined ? {} : { claimedMs }),
  };
  // Of several changes of one record only the newest is written.
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

/**
 * Returns the tenure record that makes another node the owner: one with time to
 * spare if this node is slow, and otherwise a random one of the strongest.
 */
function findSuccessor(update: Update): TenureRecord | undefined {
  const { epoch, isStopping, slowHandovers, closesSince } = update.read(TENURE);
  const isSlow = !isStopping && slowHandovers > 0;
  const next = isSlow ? findFasterNode(update) : findStrongPeer(update);
  return next && {
    nodeId: next.nodeId,
    incarnation: next.incarnation,
    address: next.address,
    epoch: epoch + 1,
    sequence: 1,
    claimedMs: storeNow(update),
    ...(isSlow ? { slowHandovers } : {}),
    ...(next.keepsClosed === true ? { closesSince } : {}),
  };
}

function findStrongPeer(update: Update): KnownNode | undefined {
  const { nodeId } = update.service(NODE_IDENTITY);
  const strongest = selectStrongest(
    liveStandbys(update).filter((node) => node.nodeId !== nodeId),
  );
  return strongest[update.random.below(Math.max(strongest.length, 1))];
}

function sendCommit(
  update: Update,
  { transaction, sequence }: InFlightCommit,
): void {
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
