import type { Update } from "@mustardweir/kernel";
import { isJournalStuck, JournalRecordKind } from "@mustardweir/journal";
import { FIRST_EPOCH, homeUnit, resolveOwner } from "@mustardweir/membership";
import {
  EndReason,
  JobKind,
  type JobSpec,
  Outcome,
  RefusalReason,
  refuse,
} from "@mustardweir/model";
import {
  type CancelCall,
  count,
  type HomeCall,
  HomeCallKind,
  type HomeReplyBody,
  HomeReplyKind,
  NODE_IDENTITY,
  PeerMessageKind,
  sendPeer,
  type SubmitCall,
} from "@mustardweir/protocol";
import { cancelJob } from "./cancel.ts";
import { appendRecords } from "./ending.ts";
import { explainWait } from "./explain.ts";
import { findHome, type Home, type HomeJob, HomePhase } from "./home_state.ts";
import {
  createJob,
  hashSpec,
  jobIdOf,
  needsJournal,
  UNKNOWN_SPEC_HASH,
} from "./job_factory.ts";
import { shouldShedRequest } from "./overload.ts";
import { addJob, enqueue } from "./queue.ts";
import { describeJob } from "./status.ts";
import { describeWork, WORK_ACCEPTED } from "./work_events.ts";

/** Largest number of unfinished jobs of a team; further ones are refused. */
const MAX_LIVE_JOBS = 100_000;

/** Time within which callers repeat a request, in milliseconds. */
const REPEAT_WINDOW_MS = 10 * 60 * 1_000;

/**
 * Handles a call that an entry forwarded; replies at once or when its result is
 * known.
 */
export function handleCall(
  update: Update,
  { from, call }: { readonly from: string; readonly call: HomeCall },
): void {
  const home = findHome(update, call.team);
  if (home === undefined) {
    reply(update, { from, call }, notOwner(update, call.team));
    return;
  }
  if (home.phase === HomePhase.Loading) {
    return; // The entry sends the call again.
  }
  const body = call.call;
  switch (body.kind) {
    case HomeCallKind.Submit:
      submit(update, home, { from, call, body });
      break;
    case HomeCallKind.Status:
      reply(update, { from, call }, statusOf(update, home, body.jobId));
      break;
    case HomeCallKind.Cancel:
      cancel(update, home, { from, call, body });
      break;
    case HomeCallKind.List:
      reply(update, { from, call }, listJobs(update, home));
      break;
  }
}

interface ReceivedCall<Body> {
  readonly from: string;
  readonly call: HomeCall;
  readonly body: Body;
}

function submit(
  update: Update,
  home: Home,
  received: ReceivedCall<SubmitCall>,
): void {
  const { body, call } = received;
  const jobId = jobIdOf(home.team, body.idempotencyKey);
  const specHash = hashSpec(body.spec);
  const known = home.jobs.get(jobId);
  if (known !== undefined && !matchesSpec(known, specHash)) {
    reply(update, received, keyReused(body.idempotencyKey));
    return;
  }
  if (known === undefined && home.liveJobs >= MAX_LIVE_JOBS) {
    reply(update, received, overloaded());
    return;
  }
  const limitMs = Math.min(call.ttlMs, body.spec.startWithinMs ?? Infinity);
  const isRequest = body.spec.kind === JobKind.Request;
  const isNewRequest = known === undefined && isRequest;
  if (isNewRequest && shouldShedRequest(home, limitMs, update.now)) {
    update.emit(count("requests_refused_early"));
    reply(update, received, requestShed(mayBeRepeat(update, home, jobId)));
    return;
  }
  const isUnrecordable = needsJournal(body.spec) && isJournalStuck(update);
  if (known === undefined && isUnrecordable) {
    reply(update, received, storeUnavailable());
    return;
  }
  const job = known ?? accept(update, home, { jobId, spec: body.spec });
  attachWaiter(update, home, { ...received, job });
  if (!job.journaled && job.firstStartAt === undefined) {
    job.startBy = update.now + Math.min(call.ttlMs, startLimitMs(job));
    home.deadlines.push(job.startBy, job);
  }
}

interface AcceptOptions {
  readonly jobId: string;
  readonly spec: JobSpec;
}

function accept(
  update: Update,
  home: Home,
  { jobId, spec }: AcceptOptions,
): HomeJob {
  const specHash = hashSpec(spec);
  const job = createJob({ jobId, spec, specHash, now: update.now });
  job.mayHaveRun = job.journaled
    ? home.evicted.mayContain(jobId, update.now)
    : mayBeRepeat(update, home, jobId);
  addJob(home, job);
  update.emit(count(`jobs_received_${spec.kind}`));
  if (job.journaled) {
    appendRecords(update, home, [
      { kind: JournalRecordKind.Accepted, jobId, spec, specHash },
    ]);
  } else {
    update.dispatch(WORK_ACCEPTED, describeWork(home, job));
    job.tasks.forEach((task) => enqueue(home, task));
  }
  return job;
}

/**
 * True if the request may be a repeat of one that was evicted here or that an
 * earlier home accepted.
 */
function mayBeRepeat(update: Update, home: Home, jobId: string): boolean {
  const isRecent = home.epoch > FIRST_EPOCH &&
    update.now - home.acquiredAt < REPEAT_WINDOW_MS;
  return isRecent || home.evicted.mayContain(jobId, update.now);
}

/**
 * Replies if a request has ended or other work is accepted; otherwise registers
 * the call as a waiter.
 */
function attachWaiter(
  update: Update,
  home: Home,
  received: ReceivedCall<SubmitCall> & { readonly job: HomeJob },
): void {
  const { job, from, call } = received;
  const waitsForEnd = job.spec.kind === JobKind.Request;
  const isReady = waitsForEnd ? job.endRecorded : job.accepted;
  if (isReady) {
    reply(update, received, jobStatus(update, home, job));
    return;
  }
  const waiters = waitsForEnd ? job.endWaiters : job.acceptWaiters;
  if (!waiters.some((waiter) => waiter.callId === call.callId)) {
    waiters.push({ from, callId: call.callId });
  }
}

function cancel(
  update: Update,
  home: Home,
  received: ReceivedCall<CancelCall>,
): void {
  const { body, from, call } = received;
  const job = home.jobs.get(body.jobId);
  if (job === undefined || job.endRecorded) {
    reply(update, received, statusOf(update, home, body.jobId));
    return;
  }
  job.cancelWaiters.push({ from, callId: call.callId });
  cancelJob(update, home, { job, reason: EndReason.Cancelled });
}

function statusOf(update: Update, home: Home, jobId: string): HomeReplyBody {
  const job = home.jobs.get(jobId);
  return job === undefined
    ? refused(RefusalReason.NotFound, `Job "${jobId}" was not found`)
    : jobStatus(update, home, job);
}

function jobStatus(update: Update, home: Home, job: HomeJob): HomeReplyBody {
  const explanation = explainWait(update, home, job);
  return {
    kind: HomeReplyKind.Status,
    status: describeJob(job, { team: home.team, explanation }),
  };
}

function listJobs(update: Update, home: Home): HomeReplyBody {
  return {
    kind: HomeReplyKind.List,
    jobs: [...home.jobs.values()].map((job) =>
      describeJob(job, {
        team: home.team,
        explanation: explainWait(update, home, job),
      })
    ),
    running: home.used,
  };
}

function notOwner(update: Update, team: string): HomeReplyBody {
  const owner = resolveOwner(update, homeUnit(team));
  const { nodeId } = update.service(NODE_IDENTITY);
  return owner === undefined || owner.nodeId === nodeId
    ? { kind: HomeReplyKind.NotOwner }
    : { kind: HomeReplyKind.NotOwner, owner: owner.nodeId };
}

function keyReused(key: string): HomeReplyBody {
  return refused(
    RefusalReason.KeyReused,
    `Idempotency key "${key}" was already used with another body`,
  );
}

function overloaded(): HomeReplyBody {
  return refused(
    RefusalReason.Overloaded,
    `The team has reached its limit of ${MAX_LIVE_JOBS} unfinished jobs`,
  );
}

/**
 * Builds the refusal of a request that can't start in time. Its outcome is
 * unknown if an earlier copy of it may have run.
 */
function requestShed(mayHaveRun: boolean): HomeReplyBody {
  const message =
    "Too many requests are waiting for this one to start within its time";
  const outcome = mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  return {
    kind: HomeReplyKind.Refused,
    refusal: refuse(RefusalReason.Overloaded, { message, outcome }),
  };
}

function storeUnavailable(): HomeReplyBody {
  return refused(
    RefusalReason.StoreUnavailable,
    "The platform's table can't be written at the moment",
  );
}

function refused(reason: RefusalReason, message: string): HomeReplyBody {
  return { kind: HomeReplyKind.Refused, refusal: refuse(reason, { message }) };
}

function reply(
  update: Update,
  { from, call }: { readonly from: string; readonly call: HomeCall },
  body: HomeReplyBody,
): void {
  update.emit(sendPeer(from, {
    kind: PeerMessageKind.HomeReply,
    callId: call.callId,
    reply: body,
  }));
}

function matchesSpec(job: HomeJob, specHash: string): boolean {
  return job.specHash === UNKNOWN_SPEC_HASH || job.specHash === specHash;
}

function startLimitMs(job: HomeJob): number {
  return job.spec.startWithinMs ?? Infinity;
}
