import { createCommand, type Update } from "@mustardweir/kernel";
import type { JobRecord } from "@mustardweir/model";
import {
  type Answered,
  ChangeKind,
  count,
  EffectKind,
  type FrontAnswer,
  FrontAnswerKind,
  logChange,
  NODE_IDENTITY,
  nodeEffect,
  observe,
  PeerMessageKind,
  RecordCommitKind,
  type RecordCommitResult,
  replyTo,
  sendPeer,
  Source,
  type SourceResult,
  SourceResultKind,
  type StoredRecord,
} from "@mustardweir/protocol";
import {
  learnCancel,
  learnJob,
  readJob,
  recordKey,
  RecordKind,
  REPLICA,
  stateOf,
} from "@mustardweir/replica";
import { callStore, STORE_ROUTE } from "@mustardweir/store-route";
import {
  CallPurpose,
  CallStep,
  INTAKE,
  type PendingCall,
} from "./intake_state.ts";

/** Calls are answered within this, below the callers' 3 s, in milliseconds. */
const CALL_DEADLINE_MS = 2_300;
/** Time that the store has for a write or a read, in milliseconds. */
const STORE_TIMEOUT_MS = 600;
/** A store that answers nothing for so long is away, in milliseconds. */
const STORE_AWAY_MS = 700;
/** Calls that nothing was written for are held so long while it is away. */
const AWAY_DEADLINE_MS = 1_000;
/** Pause after the store refused, in milliseconds. */
const REFUSED_PAUSE_MS = 120;
/** When a caller who can't be served now may come back, in milliseconds. */
export const RETRY_AFTER_MS = 500;

/** A write for a call has been answered. */
export const CALL_WRITTEN = createCommand<
  Answered<
    { readonly callId: string; readonly step: CallStep },
    RecordCommitResult
  >
>("call-written");
/** A read for a call has been answered. */
export const CALL_READ = createCommand<
  Answered<{ readonly callId: string; readonly step: CallStep }, SourceResult>
>("call-read");

/**
 * Writes the job's record unless there is one. Nothing is written to a store
 * that is away: without an answer the caller could not be told the truth.
 */
export function writeJob(update: Update, call: PendingCall): void {
  if (isStoreAway(update)) {
    pause(update, call);
    return;
  }
  call.step = CallStep.Writing;
  write(update, call, {
    expectedVersion: call.placeVersion,
    value: JSON.stringify(call.record),
  });
}

/** Writes that the job is to be cancelled; repeating it does no harm. */
export function writeCancel(update: Update, call: PendingCall): void {
  call.step = CallStep.Writing;
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction: {
      expected: [],
      puts: [{ ...recordKey(RecordKind.Cancel, call.jobId), value: "{}" }],
      removes: [],
    },
    timeoutMs: STORE_TIMEOUT_MS,
    replyTo: replyTo(CALL_WRITTEN, { callId: call.callId, step: call.step }),
  });
}

/** Reads whether the job exists. */
export function lookUp(
  update: Update,
  call: PendingCall,
  step: CallStep,
): void {
  call.step = step;
  const { part, key } = recordKey(RecordKind.Job, call.jobId);
  callStore(update, {
    kind: EffectKind.ReadSource,
    source: Source.Records,
    part,
    only: key,
    timeoutMs: STORE_TIMEOUT_MS,
    replyTo: replyTo(CALL_READ, { callId: call.callId, step }),
  });
}

/** Takes the answer to a write. */
export function callWritten(
  update: Update,
  { context, result }: Answered<
    { readonly callId: string; readonly step: CallStep },
    RecordCommitResult
  >,
): void {
  const call = update.write(INTAKE).calls.get(context.callId);
  if (call?.step !== context.step) {
    return;
  }
  switch (result.kind) {
    case RecordCommitKind.Committed:
      written(update, call);
      break;
    case RecordCommitKind.Conflict:
      takeExisting(update, call, result.records[0]);
      break;
    case RecordCommitKind.Refused:
      pause(update, call);
      break;
    case RecordCommitKind.Unknown:
      update.emit(count("call-write-unknown"));
      call.isUncertain = true;
      resume(update, call);
      break;
  }
}

/** Takes the answer to a read. */
export function callRead(
  update: Update,
  { context, result }: Answered<
    { readonly callId: string; readonly step: CallStep },
    SourceResult
  >,
): void {
  const call = update.write(INTAKE).calls.get(context.callId);
  if (call?.step !== context.step) {
    return;
  }
  if (result.kind !== SourceResultKind.Read) {
    pause(update, call);
    return;
  }
  const [change] = result.changes;
  const record = change?.kind === ChangeKind.Record ? change.record : undefined;
  takeExisting(update, call, record);
}

/** Resumes calls whose pause is over and gives up those that are due. */
export function resumeCalls(update: Update): void {
  for (const call of [...update.write(INTAKE).calls.values()]) {
    if (update.now - call.receivedMs >= deadlineOf(update, call)) {
      giveUp(update, call);
    } else if (
      call.step === CallStep.Pausing && update.now >= call.resumeMs
    ) {
      resume(update, call);
    }
  }
}

function deadlineOf(update: Update, call: PendingCall): number {
  const isUnwritten = call.purpose === CallPurpose.Submit &&
    call.step === CallStep.Pausing && !call.isUncertain;
  return isUnwritten && isStoreAway(update)
    ? AWAY_DEADLINE_MS
    : CALL_DEADLINE_MS;
}

function isStoreAway(update: Update): boolean {
  const { sources } = update.read(REPLICA);
  const answeredMs = Math.max(
    ...Object.values(sources).map((source) => source.answeredMs),
  );
  return update.read(STORE_ROUTE).failures > 0 &&
    update.now - answeredMs > STORE_AWAY_MS;
}

function pause(update: Update, call: PendingCall): void {
  call.resumeMs = update.now + REFUSED_PAUSE_MS;
  call.step = CallStep.Pausing;
}

/** Answers a call and forgets it. */
export function answer(
  update: Update,
  callId: string,
  answered: FrontAnswer,
): void {
  update.write(INTAKE).calls.delete(callId);
  update.emit(count(`front-${answered.kind}`));
  update.emit(nodeEffect({
    kind: EffectKind.AnswerFront,
    callId,
    answer: answered,
  }));
}

/** Answers with the state of a job that is known. */
export function answerState(
  update: Update,
  callId: string,
  jobId: string,
): void {
  const job = update.read(REPLICA).jobs.get(jobId);
  if (job !== undefined) {
    answer(update, callId, {
      kind: FrontAnswerKind.State,
      state: stateOf(job),
    });
  }
}

function resume(update: Update, call: PendingCall): void {
  if (call.purpose === CallPurpose.Submit) {
    if (call.isUncertain) {
      lookUp(update, call, CallStep.Checking);
    } else {
      writeJob(update, call);
    }
  } else if (
    call.purpose === CallPurpose.Cancel &&
    update.read(REPLICA).jobs.has(call.jobId)
  ) {
    writeCancel(update, call);
  } else {
    lookUp(update, call, CallStep.Looking);
  }
}

function written(update: Update, call: PendingCall): void {
  if (call.step === CallStep.Refusing) {
    // The earlier write can't take effect any more.
    call.isUncertain = false;
    answer(update, call.callId, {
      kind: FrontAnswerKind.Unavailable,
      reason: "The store did not confirm the job",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return;
  }
  if (call.purpose === CallPurpose.Cancel) {
    learnCancel(update, call.jobId);
    update.emit(logChange("Cancellation recorded", { job: call.jobId }));
    answer(update, call.callId, { kind: FrontAnswerKind.Cancelled });
    return;
  }
  accepted(update, call, call.record!);
}

function accepted(update: Update, call: PendingCall, record: JobRecord): void {
  learnJob(update, call.jobId, record);
  tellOwner(update, call.jobId, record);
  update.emit(observe("accept-ms", update.now - call.receivedMs));
  update.emit(logChange("Job accepted", {
    job: call.jobId,
    queue: record.queue.name,
    team: record.team,
    tookMs: Math.round(update.now - call.receivedMs),
  }));
  answer(update, call.callId, { kind: FrontAnswerKind.Accepted });
}

function tellOwner(update: Update, jobId: string, record: JobRecord): void {
  const owner = update.read(REPLICA).tenure?.record.nodeId;
  if (
    owner !== undefined && owner !== update.service(NODE_IDENTITY).nodeId
  ) {
    update.emit(
      sendPeer(owner, { kind: PeerMessageKind.JobAdmitted, jobId, record }),
    );
  }
}

/** Goes on with what is stored at the job's place. */
function takeExisting(
  update: Update,
  call: PendingCall,
  stored: StoredRecord | undefined,
): void {
  const record = stored?.value === undefined
    ? undefined
    : readJob(stored.value).unwrapOr(undefined);
  if (record !== undefined && !("refused" in record)) {
    found(update, call, record);
  } else if (call.purpose !== CallPurpose.Submit) {
    answer(update, call.callId, {
      kind: FrontAnswerKind.UnknownJob,
      reason: "No such job",
    });
  } else if (call.isUncertain) {
    refusePlace(update, call, stored?.version ?? 0);
  } else {
    call.placeVersion = stored?.version ?? 0;
    writeJob(update, call);
  }
}

function found(update: Update, call: PendingCall, record: JobRecord): void {
  switch (call.purpose) {
    case CallPurpose.Submit:
      accepted(update, call, record);
      break;
    case CallPurpose.Status:
      learnJob(update, call.jobId, record);
      answerState(update, call.callId, call.jobId);
      break;
    case CallPurpose.Cancel:
      learnJob(update, call.jobId, record);
      writeCancel(update, call);
      break;
  }
}

function refusePlace(
  update: Update,
  call: PendingCall,
  expectedVersion: number,
): void {
  call.step = CallStep.Refusing;
  write(update, call, { expectedVersion, value: '{"refused":true}' });
}

function write(
  update: Update,
  call: PendingCall,
  { expectedVersion, value }: {
    readonly expectedVersion: number;
    readonly value: string;
  },
): void {
  const place = recordKey(RecordKind.Job, call.jobId);
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction: {
      expected: [{ ...place, version: expectedVersion }],
      puts: [{ ...place, value }],
      removes: [],
    },
    timeoutMs: STORE_TIMEOUT_MS,
    replyTo: replyTo(CALL_WRITTEN, { callId: call.callId, step: call.step }),
  });
}

function giveUp(update: Update, call: PendingCall): void {
  update.emit(logChange("Call given up", {
    job: call.jobId,
    purpose: call.purpose,
    step: call.step,
    uncertain: call.isUncertain,
  }));
  const isUncertain = call.purpose === CallPurpose.Submit &&
    (call.isUncertain || call.step === CallStep.Writing);
  answer(
    update,
    call.callId,
    isUncertain
      ? { kind: FrontAnswerKind.Unknown, reason: "The store does not answer" }
      : {
        kind: FrontAnswerKind.Unavailable,
        reason: "The store does not answer",
        retryAfterMs: RETRY_AFTER_MS,
      },
  );
}
