import { createCommand, type Update } from "@mustardweir/kernel";
import { isFinal, type JobRecord, StagedJobState } from "@mustardweir/model";
import {
  ChangeKind,
  count,
  EffectKind,
  type EffectReply,
  FrontAnswerKind,
  logChange,
  NODE_IDENTITY,
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
  applyCancel,
  applyJob,
  earlierJobPart,
  hasAllRecords,
  ownerOf,
  readJob,
  readProgress,
  recordKey,
  RecordKind,
  type RefusedJob,
  REPLICA,
  stateOf,
  storeNow,
} from "@mustardweir/replica";
import type { Overload } from "./admission_policy.ts";
import { callStore, STORE_ROUTE } from "@mustardweir/store-route";
import { ok } from "neverthrow";
import {
  CallPurpose,
  CallStep,
  INTAKE,
  type PendingCall,
} from "./intake_state.ts";
import { answerCall, pauseCall, RETRY_AFTER_MS } from "./call_answers.ts";
import { answerCount, refuseCount } from "./count_calls.ts";

/**
 * Time within which every call is answered, below the callers' timeout of 3 s,
 * in milliseconds.
 */
const CALL_DEADLINE_MS = 2_300;
/** Timeout of a read or write of the store, in milliseconds. */
const STORE_TIMEOUT_MS = 600;
/**
 * Time without any reply after which the store counts as unreachable, in
 * milliseconds.
 */
const STORE_UNREACHABLE_AFTER_MS = 700;
/**
 * Deadline of a submission of which nothing was written, while the store is
 * unreachable, in milliseconds.
 */
const UNREACHABLE_DEADLINE_MS = 1_000;
/**
 * Deadline of a call for the number of waiting jobs, in milliseconds: about what
 * a takeover takes beyond the age at which such a number is too old.
 */
const COUNT_DEADLINE_MS = 1_000;

/** Dispatched when a write for a call has been answered. */
export const CALL_WRITTEN = createCommand<
  EffectReply<
    { readonly callId: string; readonly step: CallStep },
    RecordCommitResult
  >
>("call-written");
/** Dispatched when a read for a call has been answered. */
export const CALL_READ = createCommand<
  EffectReply<
    { readonly callId: string; readonly step: CallStep },
    SourceResult
  >
>("call-read");

/**
 * Writes the job's record unless there is one. Nothing is written while the
 * store is unreachable: the answer to the caller could not say whether the
 * write took effect.
 */
export function writeJob(update: Update, call: PendingCall): void {
  if (isStoreUnreachable(update)) {
    pauseCall(update, call);
    return;
  }
  call.step = CallStep.Writing;
  writeRecord(update, call, {
    expectedVersion: call.recordVersion,
    value: JSON.stringify(call.record),
  });
}

/**
 * Turns a job away. A refusal is written in place of its record, because an
 * earlier try of the caller, whose answer was lost, may have been accepted or
 * may still be; without that the answer could be untrue.
 */
export function turnAway(update: Update, call: PendingCall): void {
  if (isStoreUnreachable(update)) {
    pauseCall(update, call);
  } else {
    writeRefusal(update, call, call.recordVersion);
  }
}

/** Records the cancellation of the job; idempotent. */
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

/** Reads the job's record from the store. */
export function lookUpJob(
  update: Update,
  call: PendingCall,
  step: CallStep,
): void {
  readRecord(update, call, { kind: RecordKind.Job, step });
}

/**
 * Reads the job's state. A node without a copy of the records reads the progress
 * first: most callers ask for jobs that have ended, whose progress says all.
 */
export function lookUpState(update: Update, call: PendingCall): void {
  if (hasAllRecords(update.read(REPLICA))) {
    lookUpJob(update, call, CallStep.Looking);
  } else {
    readRecord(update, call, {
      kind: RecordKind.Progress,
      step: CallStep.ReadingProgress,
    });
  }
}

function readRecord(
  update: Update,
  call: PendingCall,
  { kind, step }: { readonly kind: RecordKind; readonly step: CallStep },
): void {
  call.step = step;
  call.lastRead = kind;
  call.reads++;
  const { part, key } = recordKey(kind, call.jobId);
  callStore(update, {
    kind: EffectKind.ReadSource,
    source: Source.Records,
    part: kind === RecordKind.Job ? call.part : part,
    only: key,
    timeoutMs: STORE_TIMEOUT_MS,
    replyTo: replyTo(CALL_READ, { callId: call.callId, step }),
  });
}

/** Handles the result of a write. */
export function handleWriteResult(
  update: Update,
  { context, result }: EffectReply<
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
      handleRecordWritten(update, call);
      break;
    case RecordCommitKind.Conflict:
      handleStoredRecord(update, call, result.records[0]);
      break;
    case RecordCommitKind.Refused:
      pauseCall(update, call);
      break;
    case RecordCommitKind.Rejected:
      handleRejected(update, call);
      break;
    case RecordCommitKind.Unknown:
      update.emit(count("call-write-unknown"));
      call.isUncertain = true;
      resumeCall(update, call);
      break;
  }
}

/**
 * Handles a write that the store will never take. If no other write of the call
 * can have taken effect, the job never runs.
 */
function handleRejected(update: Update, call: PendingCall): void {
  if (call.purpose === CallPurpose.Submit && !call.isUncertain) {
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.BadRequest,
      reason: "The job is too large to be recorded",
    });
  } else {
    pauseCall(update, call);
  }
}

/** Handles the result of a read. */
export function handleReadResult(
  update: Update,
  { context, result }: EffectReply<
    { readonly callId: string; readonly step: CallStep },
    SourceResult
  >,
): void {
  const call = update.write(INTAKE).calls.get(context.callId);
  if (call?.step !== context.step) {
    return;
  }
  if (result.kind !== SourceResultKind.Read) {
    pauseCall(update, call);
    return;
  }
  const [change] = result.changes;
  const record = change?.kind === ChangeKind.Record ? change.record : undefined;
  switch (context.step) {
    case CallStep.ReadingProgress:
      handleProgressRead(update, call, record);
      break;
    case CallStep.ReadingCancel:
      answerCall(update, call.callId, {
        kind: FrontAnswerKind.State,
        state: record?.value === undefined
          ? call.state ?? StagedJobState.Pending
          : StagedJobState.Cancelled,
      });
      break;
    default:
      if (record === undefined && mayBeElsewhere(call)) {
        call.part = earlierJobPart(call.jobId);
        lookUpJob(update, call, context.step);
      } else {
        handleStoredRecord(update, call, record);
      }
  }
}

/**
 * Returns whether an earlier version of this system may have accepted the job
 * in another part. A submission is written again in that case, which is the
 * same job.
 */
function mayBeElsewhere({ purpose, jobId, part }: PendingCall): boolean {
  return purpose !== CallPurpose.Submit && part !== earlierJobPart(jobId);
}

/**
 * Answers with the state in the job's progress record if the job has ended.
 * Otherwise checks whether the job was cancelled, which its progress may not
 * show yet, or, without progress, whether there is such a job.
 */
function handleProgressRead(
  update: Update,
  call: PendingCall,
  record: StoredRecord | undefined,
): void {
  const progress = record?.value === undefined
    ? ok(undefined)
    : readProgress(record.value);
  if (progress.isErr()) {
    update.emit(logChange("Entry can't be read", {
      key: record?.key ?? "",
      reason: progress.error.reason,
    }));
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.Unavailable,
      reason: "The job's progress can't be read",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return;
  }
  call.state = progress.value?.state ?? StagedJobState.Pending;
  if (isFinal(call.state)) {
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.State,
      state: call.state,
    });
  } else if (progress.value === undefined) {
    lookUpJob(update, call, CallStep.Looking);
  } else {
    readCancellation(update, call);
  }
}

function readCancellation(update: Update, call: PendingCall): void {
  readRecord(update, call, {
    kind: RecordKind.Cancel,
    step: CallStep.ReadingCancel,
  });
}

/** Resumes calls whose pause is over and gives up calls past their deadline. */
export function resumeCalls(update: Update): void {
  for (const call of [...update.write(INTAKE).calls.values()]) {
    if (update.now - call.receivedMs >= deadlineOf(update, call)) {
      giveUpCall(update, call);
    } else if (
      call.step === CallStep.Pausing && update.now >= call.resumeMs
    ) {
      resumeCall(update, call);
    }
  }
}

function deadlineOf(update: Update, call: PendingCall): number {
  if (call.purpose === CallPurpose.Count) {
    return COUNT_DEADLINE_MS;
  }
  const isUnwritten = call.purpose === CallPurpose.Submit &&
    call.step === CallStep.Pausing && !call.isUncertain;
  return isUnwritten && isStoreUnreachable(update)
    ? UNREACHABLE_DEADLINE_MS
    : CALL_DEADLINE_MS;
}

function isStoreUnreachable(update: Update): boolean {
  const { sources } = update.read(REPLICA);
  const answeredMs = Math.max(
    ...Object.values(sources).map((source) => source.answeredMs),
  );
  return update.read(STORE_ROUTE).failures > 0 &&
    update.now - answeredMs > STORE_UNREACHABLE_AFTER_MS;
}

/**
 * Answers with the state of a job in the replica; does nothing if the job isn't
 * there.
 */
export function answerState(
  update: Update,
  callId: string,
  jobId: string,
): void {
  const job = update.read(REPLICA).jobs.get(jobId);
  if (job !== undefined) {
    answerCall(update, callId, {
      kind: FrontAnswerKind.State,
      state: stateOf(job),
    });
  }
}

function resumeCall(update: Update, call: PendingCall): void {
  if (call.purpose === CallPurpose.Submit) {
    if (call.isUncertain) {
      lookUpJob(update, call, CallStep.Checking);
    } else if (call.overload !== undefined) {
      turnAway(update, call);
    } else {
      writeJob(update, call);
    }
  } else if (
    call.purpose === CallPurpose.Cancel &&
    update.read(REPLICA).jobs.has(call.jobId)
  ) {
    writeCancel(update, call);
  } else if (call.purpose === CallPurpose.Status) {
    lookUpState(update, call);
  } else if (call.purpose === CallPurpose.Count) {
    answerCount(update, call);
  } else {
    lookUpJob(update, call, CallStep.Looking);
  }
}

function handleRecordWritten(update: Update, call: PendingCall): void {
  if (call.step === CallStep.Refusing) {
    // The earlier write can no longer take effect.
    call.isUncertain = false;
    if (call.overload !== undefined) {
      answerOverload(update, call, call.overload);
      return;
    }
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.Unavailable,
      reason: "The store did not confirm the job",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return;
  }
  if (call.purpose === CallPurpose.Cancel) {
    applyCancel(update, call.jobId);
    update.emit(logChange("Cancellation recorded", { job: call.jobId }));
    answerCall(update, call.callId, { kind: FrontAnswerKind.Cancelled });
    return;
  }
  completeSubmission(update, call, call.record!);
}

function answerOverload(
  update: Update,
  { callId, jobId, queue }: PendingCall,
  { reason, waitMs, ageMs, retryAfterMs }: Overload,
): void {
  update.emit(count(`turned-away-priority-${queue.priority}`));
  update.emit(logChange("Job turned away", {
    job: jobId,
    queue: queue.name,
    reason,
    waitMs: Math.round(waitMs),
    figuresAgeMs: Math.round(ageMs),
    retryAfterMs,
  }));
  answerCall(update, callId, {
    kind: FrontAnswerKind.Overloaded,
    reason: `${reason}; it has not run`,
    retryAfterMs,
  });
}

function completeSubmission(
  update: Update,
  call: PendingCall,
  record: JobRecord,
): void {
  applyJob(update, call.jobId, record, call.part);
  notifyOwner(update, call.jobId, record);
  update.emit(observe("accept-ms", update.now - call.receivedMs));
  update.emit(logChange("Job accepted", {
    job: call.jobId,
    queue: record.queue.name,
    team: record.team,
    tookMs: Math.round(update.now - call.receivedMs),
  }));
  answerCall(update, call.callId, { kind: FrontAnswerKind.Accepted });
}

function notifyOwner(update: Update, jobId: string, record: JobRecord): void {
  const owner = ownerOf(update.read(REPLICA));
  if (
    owner !== undefined && owner !== update.service(NODE_IDENTITY).nodeId
  ) {
    update.emit(
      sendPeer(owner, { kind: PeerMessageKind.JobAdmitted, jobId, record }),
    );
  }
}

/** Continues a call according to what is stored as the job's record. */
function handleStoredRecord(
  update: Update,
  call: PendingCall,
  stored: StoredRecord | undefined,
): void {
  const record = stored?.value === undefined
    ? undefined
    : readJob(stored.value).unwrapOr(undefined);
  if (record !== undefined && !("refused" in record)) {
    handleJobFound(update, call, record);
  } else if (isSuperseded(call, record)) {
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.Unavailable,
      reason: "A later try of this job was refused",
      retryAfterMs: RETRY_AFTER_MS,
    });
  } else if (call.purpose !== CallPurpose.Submit) {
    answerCall(update, call.callId, {
      kind: FrontAnswerKind.UnknownJob,
      reason: "No such job",
    });
  } else if (call.overload !== undefined && record !== undefined) {
    // An earlier try was turned away as well; its mark still stands.
    answerOverload(update, call, call.overload);
  } else if (call.isUncertain || call.overload !== undefined) {
    writeRefusal(update, call, stored?.version ?? 0);
  } else {
    call.recordVersion = stored?.version ?? 0;
    writeJob(update, call);
  }
}

/**
 * Returns whether a try that was received after this one was refused. Its
 * caller was told that the job never runs, so this one can't be accepted.
 */
function isSuperseded(
  { record, overload }: PendingCall,
  refused: RefusedJob | undefined,
): boolean {
  return refused !== undefined && record !== undefined &&
    overload === undefined && refused.atMs > record.acceptedMs;
}

function handleJobFound(
  update: Update,
  call: PendingCall,
  record: JobRecord,
): void {
  switch (call.purpose) {
    case CallPurpose.Submit:
      completeSubmission(update, call, record);
      break;
    case CallPurpose.Status:
      if (hasAllRecords(update.read(REPLICA))) {
        applyJob(update, call.jobId, record, call.part);
        answerState(update, call.callId, call.jobId);
      } else if (call.state === undefined) {
        lookUpState(update, call);
      } else {
        readCancellation(update, call);
      }
      break;
    case CallPurpose.Cancel:
      applyJob(update, call.jobId, record, call.part);
      writeCancel(update, call);
      break;
  }
}

function writeRefusal(
  update: Update,
  call: PendingCall,
  expectedVersion: number,
): void {
  call.step = CallStep.Refusing;
  const refused: RefusedJob = { refused: true, atMs: storeNow(update) };
  writeRecord(update, call, {
    expectedVersion,
    value: JSON.stringify(refused),
  });
}

function writeRecord(
  update: Update,
  call: PendingCall,
  { expectedVersion, value }: {
    readonly expectedVersion: number;
    readonly value: string;
  },
): void {
  const recordId = recordKey(RecordKind.Job, call.jobId);
  callStore(update, {
    kind: EffectKind.CommitRecords,
    transaction: {
      expected: [{ ...recordId, version: expectedVersion }],
      puts: [{ ...recordId, value }],
      removes: [],
    },
    timeoutMs: STORE_TIMEOUT_MS,
    replyTo: replyTo(CALL_WRITTEN, { callId: call.callId, step: call.step }),
  });
}

function giveUpCall(update: Update, call: PendingCall): void {
  update.emit(logChange("Call given up", {
    job: call.jobId,
    purpose: call.purpose,
    step: call.step,
    uncertain: call.isUncertain,
  }));
  if (call.purpose === CallPurpose.Count) {
    refuseCount(update, call);
    return;
  }
  const isUncertain = call.purpose === CallPurpose.Submit &&
    (call.isUncertain || call.step === CallStep.Writing);
  answerCall(
    update,
    call.callId,
    isUncertain
      ? { kind: FrontAnswerKind.Unknown, reason: "The store does not respond" }
      : {
        kind: FrontAnswerKind.Unavailable,
        reason: "The store does not respond",
        retryAfterMs: RETRY_AFTER_MS,
      },
  );
}
