import { createCommand, type Update } from "@mustardweir/kernel";
import {
  type Answered,
  EffectKind,
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
  TENURE_KEY,
  type TenureRecord,
} from "@mustardweir/replica";
import { callStore } from "@mustardweir/store-route";
import { loseTenure } from "./commits.ts";
import { isLive } from "./nodes.ts";
import { TENURE, TENURE_GAINED, TenurePhase } from "./tenure_state.ts";

/** An owner that commits nothing for so long is taken for dead. */
const SILENCE_MS = 1_200;
/** Head start of each candidate over the next, in milliseconds. */
const RANK_GAP_MS = 200;
/** The same while no node has ever owned the domain. */
const FIRST_RANK_GAP_MS = 60;
/** Silence is judged only on answers of the store newer than this. */
const FRESH_MS = 800;
const CLAIM_TIMEOUT_MS = 700;

/** A claim has been answered. */
export const CLAIM_ANSWERED = createCommand<
  Answered<TenureRecord, RecordCommitResult>
>("tenure-claim-answered");

/** Claims the domain when its owner is silent and this node is next. */
export function considerClaim(update: Update): void {
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
    update.now - records.answeredMs <= FRESH_MS;
  if (isFresh && update.now >= claimTime(update, known)) {
    claim(update, known);
  }
}

/** Follows the record of the domain's owner. */
export function tenureSeen(update: Update, known: KnownTenure): void {
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const tenure = update.write(TENURE);
  const isMine = known.record.nodeId === nodeId &&
    known.record.incarnation === incarnation;
  const holds = tenure.phase === TenurePhase.Owner ||
    tenure.phase === TenurePhase.Opening;
  if (isMine && !holds && known.record.epoch > tenure.epoch) {
    open(update, known.record, known.version);
  } else if (!isMine && holds && known.record.epoch > tenure.epoch) {
    loseTenure(update, "another node owns the domain");
  }
}

/** Takes the answer to a claim. */
export function claimAnswered(
  update: Update,
  { context, result }: Answered<TenureRecord, RecordCommitResult>,
): void {
  const tenure = update.write(TENURE);
  if (tenure.phase !== TenurePhase.Claiming) {
    return;
  }
  if (result.kind === RecordCommitKind.Committed) {
    open(update, context, result.version);
    return;
  }
  // Whatever came of it shows in the records.
  tenure.phase = TenurePhase.Follower;
  tenure.retryMs = update.now + RANK_GAP_MS;
}

/** Becomes the owner once the copy of the records is up to date. */
export function considerOpening(update: Update): void {
  const tenure = update.write(TENURE);
  const records = update.read(REPLICA).sources[Source.Records];
  if (
    tenure.phase === TenurePhase.Opening && records.isListed &&
    records.version >= tenure.openedVersion
  ) {
    tenure.phase = TenurePhase.Owner;
    update.emit(logChange("Domain taken over", { epoch: tenure.epoch }));
    update.dispatch(TENURE_GAINED, { epoch: tenure.epoch });
  }
}

function open(update: Update, record: TenureRecord, version: number): void {
  const tenure = update.write(TENURE);
  tenure.phase = TenurePhase.Opening;
  tenure.epoch = record.epoch;
  tenure.sequence = record.sequence;
  tenure.version = version;
  tenure.openedVersion = version;
  tenure.confirmedMs = update.now;
  tenure.gainedMs = update.now;
  tenure.retryMs = 0;
  update.dispatch(RECORDS_WANTED, {});
}

function claimTime(update: Update, known: KnownTenure | undefined): number {
  const { nodeId } = update.service(NODE_IDENTITY);
  if (known === undefined) {
    return rank(update, "") * FIRST_RANK_GAP_MS;
  }
  // An earlier life of this node holds nothing any more.
  return known.record.nodeId === nodeId
    ? -Infinity
    : known.seenMs + SILENCE_MS +
      rank(update, known.record.nodeId) * RANK_GAP_MS;
}

/** This node's place among those that may claim. */
function rank(update: Update, owner: string): number {
  const { nodeId } = update.service(NODE_IDENTITY);
  const live = [...update.read(REPLICA).nodes.values()]
    .filter((node) => isLive(update, node) && node.nodeId !== owner)
    .map((node) => node.nodeId)
    .sort();
  return Math.max(0, live.indexOf(nodeId));
}

function claim(update: Update, known: KnownTenure | undefined): void {
  const { nodeId, incarnation } = update.service(NODE_IDENTITY);
  const record: TenureRecord = {
    nodeId,
    incarnation,
    epoch: (known?.record.epoch ?? 0) + 1,
    sequence: 1,
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
    replyTo: replyTo(CLAIM_ANSWERED, record),
  });
}
