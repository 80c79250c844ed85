import { createCommand, type Update } from "@mustardweir/kernel";
import {
  EffectKind,
  type EffectReply,
  logChange,
  NODE_IDENTITY,
  RecordCommitKind,
  type RecordCommitResult,
  replyTo,
  Source,
} from "@mustardweir/protocol";
import {
  type KnownTenure,
  RECORDS_WANTED,
  REPLICA,
  storeNow,
  TENURE_KEY,
  type TenureRecord,
} from "@mustardweir/replica";
import { callStore } from "@mustardweir/store-route";
import { loseTenure } from "./commits.ts";
import { liveStandbys } from "./nodes.ts";
import { identifyOwner, OwnerProcess, ownProcess } from "./owner_process.ts";
import { orderCandidates } from "./strength.ts";
import {
  OWNER_TIMEOUT_MS,
  TENURE,
  TENURE_GAINED,
  TenurePhase,
} from "./tenure_state.ts";

/** Delay between the claims of successive candidates, in milliseconds. */
const RANK_DELAY_MS = 200;
/** The same delay while the domain has never had an owner. */
const FIRST_OWNER_RANK_DELAY_MS = 60;
/**
 * A node claims only if the store replied about the records within this time,
 * in milliseconds: an older copy doesn't show whether the owner still commits.
 */
const MAX_RECORDS_AGE_MS = 800;
const CLAIM_TIMEOUT_MS = 700;

/** Context of a claim in flight, returned with the reply. */
interface ClaimContext {
  readonly record: TenureRecord;
  /** When the claim was sent, in milliseconds. */
  readonly sentMs: number;
}

/** Dispatched with the result of a claim. */
export const CLAIM_ANSWERED = createCommand<
  EffectReply<ClaimContext, RecordCommitResult>
>("tenure-claim-answered");

/** Claims the domain if its owner has timed out and it is this node's turn. */
export function claimIfDue(update: Update): void {
  const tenure = update.read(TENURE);
  if (
    tenure.phase !== TenurePhase.Follower || tenure.isStopping ||
    update.now < tenure.retryMs
  ) {
    return;
  }
  const { sources, tenure: known } = update.read(REPLICA);
  const records = sources[Source.Records];
  const isFresh = records.isListed &&
    update.now - records.answeredMs <= MAX_RECORDS_AGE_MS;
  if (isFresh && update.now >= earliestClaimMs(update, known)) {
    sendClaim(update, known);
  }
}

/**
 * Applies a change of the tenure record: begins a tenure that another node
 * handed to this one, and gives the domain up if another node owns it.
 */
export function applyTenureRecord(update: Update, known: KnownTenure): void {
  const tenure = update.write(TENURE);
  const isOwnRecord = identifyOwner(update, known.record) === OwnerProcess.This;
  const isOwning = tenure.phase === TenurePhase.Owner ||
    tenure.phase === TenurePhase.Opening;
  if (isOwnRecord && !isOwning && known.record.epoch > tenure.epoch) {
    open(update, {
      record: known.record,
      version: known.version,
      confirmedMs: claimedAtMs(update, known.record),
    });
  } else if (!isOwnRecord && isOwning && known.record.epoch > tenure.epoch) {
    loseTenure(update, "another node owns the domain");
  }
}

/**
 * Returns when the epoch of a tenure record began, in milliseconds: this node may
 * read a record long after that, and another node may own the domain by then.
 */
function claimedAtMs(update: Update, { claimedMs }: TenureRecord): number {
  return claimedMs === undefined
    ? update.now
    : Math.min(update.now, update.now + claimedMs - storeNow(update));
}

/** Handles the result of a claim. */
export function handleClaimResult(
  update: Update,
  { context, result }: EffectReply<ClaimContext, RecordCommitResult>,
): void {
  const tenure = update.write(TENURE);
  if (tenure.phase !== TenurePhase.Claiming) {
    return;
  }
  if (result.kind === RecordCommitKind.Committed) {
    // A process that was paused since may have been replaced as the owner.
    open(update, {
      record: context.record,
      version: result.version,
      confirmedMs: context.sentMs,
    });
    return;
  }
  // If the claim took effect after all, the tenure record will show it.
  tenure.phase = TenurePhase.Follower;
  tenure.retryMs = update.now + RANK_DELAY_MS;
}

/** Makes this node the owner once its copy of the records is up to date. */
export function finishOpening(update: Update): void {
  const tenure = update.write(TENURE);
  const records = update.read(REPLICA).sources[Source.Records];
  if (
    tenure.phase === TenurePhase.Opening && records.isListed &&
    records.version >= tenure.openedVersion
  ) {
    tenure.phase = TenurePhase.Owner;
    const former = update.read(REPLICA).formerTenure?.record;
    update.emit(logChange("Domain taken over", {
      epoch: tenure.epoch,
      ...(former === undefined
        ? {}
        : { former: former.nodeId, formerProcess: former.incarnation }),
    }));
    update.dispatch(TENURE_GAINED, { epoch: tenure.epoch });
  }
}

function open(
  update: Update,
  { record, version, confirmedMs }: {
    readonly record: TenureRecord;
    readonly version: number;
    /** Time at which this node certainly owned the domain, in milliseconds. */
    readonly confirmedMs: number;
  },
): void {
  const tenure = update.write(TENURE);
  tenure.phase = TenurePhase.Opening;
  tenure.epoch = record.epoch;
  tenure.sequence = record.sequence;
  tenure.version = version;
  tenure.openedVersion = version;
  tenure.confirmedMs = confirmedMs;
  tenure.gainedMs = update.now;
  tenure.slowHandovers = record.slowHandovers ?? 0;
  tenure.closesSince = record.closesSince ?? record.epoch;
  tenure.claimedMs = record.claimedMs;
  tenure.retryMs = 0;
  update.dispatch(RECORDS_WANTED, {});
}

/** Returns the time from which this node may claim the domain. */
function earliestClaimMs(
  update: Update,
  known: KnownTenure | undefined,
): number {
  if (known === undefined) {
    return claimRank(update, "") * FIRST_OWNER_RANK_DELAY_MS;
  }
  if (identifyOwner(update, known.record) !== OwnerProcess.Other) {
    return -Infinity;
  }
  const timedOutMs = known.seenMs + OWNER_TIMEOUT_MS;
  return update.now < timedOutMs
    ? timedOutMs
    : timedOutMs + claimRank(update, known.record.nodeId) * RANK_DELAY_MS;
}

/** Returns this node's position, from 0, in the order of the candidates. */
function claimRank(update: Update, owner: string): number {
  const { nodeId } = update.service(NODE_IDENTITY);
  const candidates = orderCandidates(
    liveStandbys(update).filter((node) => node.nodeId !== owner),
  );
  return Math.max(0, candidates.findIndex((node) => node.nodeId === nodeId));
}

function sendClaim(update: Update, known: KnownTenure | undefined): void {
  const epoch = (known?.record.epoch ?? 0) + 1;
  const record: TenureRecord = {
    ...ownProcess(update),
    epoch,
    sequence: 1,
    closesSince: known?.record.closesSince ?? epoch,
    claimedMs: storeNow(update),
  };
  const tenure = update.write(TENURE);
  tenure.phase = TenurePhase.Claiming;
  update.emit(logChange("Claiming the domain", {
    epoch: record.epoch,
    previous: known?.record.nodeId ?? "none",
    silentMs: known === undefined ? 0 : Math.round(update.now - known.seenMs),
  }));
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction: {
      expected: [{ ...TENURE_KEY, version: known?.version ?? 0 }],
      puts: [{ ...TENURE_KEY, value: JSON.stringify(record) }],
      removes: [],
    },
    timeoutMs: CLAIM_TIMEOUT_MS,
    replyTo: replyTo(CLAIM_ANSWERED, { record, sentMs: update.now }),
  });
}
