import {
  CommandPriority,
  type Kernel,
  mergeUndo,
  Plugin,
  registerPlugin,
  Role,
  type Undo,
  type Update,
} from "@mustardweir/kernel";
import type { JobQueue } from "@mustardweir/model";
import {
  EffectKind,
  FRONT_CALL_RECEIVED,
  FrontAnswerKind,
  type FrontCall,
  FrontCallKind,
  logChange,
  nodeEffect,
  PEER_MESSAGE_RECEIVED,
  PeerMessageKind,
  STOP_REQUESTED,
} from "@mustardweir/protocol";
import {
  applyJob,
  FOLLOWER_INTERVAL_MS,
  hasAllRecords,
  jobPart,
  REPLICA,
  storeNow,
  WORKER_CHANGED,
} from "@mustardweir/replica";
import { TENURE, TENURE_GAINED, TenurePhase } from "@mustardweir/tenure";
import { type AdmissionPolicy, WaitBound } from "./admission_policy.ts";
import {
  CallPurpose,
  CallStep,
  INTAKE,
  type PendingCall,
} from "./intake_state.ts";
import { answerCall, RETRY_AFTER_MS } from "./call_answers.ts";
import { answerCount, handleSummaryRead, SUMMARY_READ } from "./count_calls.ts";
import { findRoute, isJobId, teamOfKey } from "./routes.ts";
import {
  answerState,
  CALL_READ,
  CALL_WRITTEN,
  handleReadResult,
  handleWriteResult,
  lookUpJob,
  lookUpState,
  resumeCalls,
  turnAway,
  writeCancel,
  writeJob,
} from "./submissions.ts";
import {
  findInfeasibility,
  publishSummary,
  SUMMARY_INTERVAL_MS,
  updateLargestWorkers,
} from "./summary.ts";

/**
 * Time for which new connections are accepted after a planned stop was
 * requested, in milliseconds: load balancers probe once a second and remove a
 * node after two failed probes.
 */
const STOP_DRAIN_MS = 2_200;
/**
 * Longest time for which a stop waits for the hand-over of the domain and for
 * the answers to all calls, in milliseconds. The node goes on answering while
 * its connections are drained after that.
 */
const MAX_HANDOVER_MS = 4_500;
/** Interval at which paused and overdue calls are checked, in milliseconds. */
const CALL_CHECK_INTERVAL_MS = 40;

const POLICY: AdmissionPolicy = new WaitBound();

/** Accepts jobs on any node and answers queries about them. */
export class IntakePlugin extends Plugin {
  override readonly name = "intake";

  override register(kernel: Kernel): Undo {
    const { Low, Normal } = CommandPriority;
    return mergeUndo(
      kernel.registerState(INTAKE, {
        calls: new Map(),
        largestWorkers: new Map(),
        waitingCounts: {},
        countedMs: -Infinity,
        stopRequestedMs: Infinity,
        report: { sinceMs: -Infinity, lines: 0, omitted: 0 },
      }),
      kernel.registerCommand(
        FRONT_CALL_RECEIVED,
        (call, update) => handleFrontCall(update, call),
        Normal,
      ),
      kernel.registerCommand(
        CALL_WRITTEN,
        (reply, update) => handleWriteResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        CALL_READ,
        (reply, update) => handleReadResult(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        SUMMARY_READ,
        (reply, update) => handleSummaryRead(update, reply),
        Normal,
      ),
      kernel.registerCommand(
        TENURE_GAINED,
        (_, update) => publishSummary(update),
        Low,
      ),
      kernel.registerCommand(
        PEER_MESSAGE_RECEIVED,
        ({ message }, update) => {
          if (message.kind === PeerMessageKind.JobAdmitted) {
            applyJob(update, message.jobId, message.record);
          }
        },
        Normal,
      ),
      kernel.registerCommand(
        WORKER_CHANGED,
        ({ workerId }, update) => updateLargestWorkers(update, workerId),
        Normal,
      ),
      kernel.registerCommand(
        STOP_REQUESTED,
        (_, update) => {
          update.write(INTAKE).stopRequestedMs = update.now;
        },
        Normal,
      ),
      kernel.registerPeriodic({
        intervalMs: SUMMARY_INTERVAL_MS,
        run: publishSummary,
      }),
      kernel.registerPeriodic({
        intervalMs: CALL_CHECK_INTERVAL_MS,
        isIdle: (update) => update.read(INTAKE).calls.size === 0,
        idleIntervalMs: FOLLOWER_INTERVAL_MS,
        run: (update) => {
          resumeCalls(update);
          stopWhenDrained(update);
        },
      }),
    );
  }
}

function handleFrontCall(update: Update, call: FrontCall): void {
  const { callId } = call;
  const { desired } = update.read(REPLICA);
  if (desired === undefined) {
    answerCall(update, callId, {
      kind: FrontAnswerKind.Unavailable,
      reason: "The desired state has not been read yet",
      retryAfterMs: RETRY_AFTER_MS,
    });
    return;
  }
  const route = findRoute(desired, call);
  if (route === undefined) {
    answerCall(update, callId, {
      kind: FrontAnswerKind.UnknownQueue,
      reason: "No queue matches this host and path",
    });
    return;
  }
  const team = teamOfKey(desired, call.key);
  if (team === undefined && !route.queue.isPublic) {
    answerCall(update, callId, {
      kind: FrontAnswerKind.Unauthenticated,
      reason: "The key is not known",
    });
    return;
  }
  handleRoutedCall(update, call, {
    queue: route.queue,
    jobId: route.suffix,
    team: team ?? "",
  });
}

interface RoutedCall {
  readonly queue: JobQueue;
  readonly jobId: string;
  readonly team: string;
}

function handleRoutedCall(
  update: Update,
  call: FrontCall,
  routedCall: RoutedCall,
): void {
  const { callId } = call;
  const { queue, jobId } = routedCall;
  if (call.kind === FrontCallKind.Status && jobId === "") {
    answerCount(
      update,
      trackCall(update, {
        callId,
        purpose: CallPurpose.Count,
        jobId,
        queue,
        record: undefined,
      }),
    );
    return;
  }
  if (!isJobId(jobId) || call.kind === FrontCallKind.Unsupported) {
    answerCall(update, callId, {
      kind: FrontAnswerKind.BadRequest,
      reason: "The job id must have 16 hexadecimal digits",
    });
    return;
  }
  switch (call.kind) {
    case FrontCallKind.Submit:
      submitJob(update, call, routedCall);
      break;
    case FrontCallKind.Cancel:
      cancelJob(update, callId, routedCall);
      break;
    default:
      answerStatus(update, callId, routedCall);
  }
}

function submitJob(
  update: Update,
  { callId, body }: FrontCall,
  { queue, jobId, team }: RoutedCall,
): void {
  if (update.read(REPLICA).jobs.has(jobId)) {
    answerCall(update, callId, { kind: FrontAnswerKind.Accepted });
    return;
  }
  const problem = body === undefined
    ? "The body is missing"
    : body.isReadable
    ? findInfeasibility(update, queue, body.spec)
    : body.problem;
  if (problem !== undefined || body?.isReadable !== true) {
    update.emit(logChange("Job refused", {
      job: jobId,
      queue: queue.name,
      team,
      reason: problem ?? "",
    }));
    answerCall(update, callId, {
      kind: FrontAnswerKind.BadRequest,
      reason: problem ?? "",
    });
    return;
  }
  const call = trackCall(update, {
    callId,
    purpose: CallPurpose.Submit,
    jobId,
    queue,
    record: { queue, team, spec: body.spec, acceptedMs: storeNow(update) },
  });
  call.overload = POLICY.findOverload({
    queue,
    spec: body.spec,
    summary: update.read(REPLICA).summary,
    storeMs: storeNow(update),
    fraction: update.random.fraction(),
  });
  if (call.overload === undefined) {
    writeJob(update, call);
  } else {
    turnAway(update, call);
  }
}

function cancelJob(
  update: Update,
  callId: string,
  routedCall: RoutedCall,
): void {
  const { jobId, queue } = routedCall;
  const call = trackCall(update, {
    callId,
    purpose: CallPurpose.Cancel,
    jobId,
    queue,
    record: undefined,
  });
  if (update.read(REPLICA).jobs.has(jobId)) {
    writeCancel(update, call);
  } else {
    lookUpJob(update, call, CallStep.Looking);
  }
}

function answerStatus(
  update: Update,
  callId: string,
  routedCall: RoutedCall,
): void {
  const { jobId, queue } = routedCall;
  const replica = update.read(REPLICA);
  if (hasAllRecords(replica) && replica.jobs.has(jobId)) {
    answerState(update, callId, jobId);
    return;
  }
  const call = trackCall(update, {
    callId,
    purpose: CallPurpose.Status,
    jobId,
    queue,
    record: undefined,
  });
  lookUpState(update, call);
}

type CallOptions = Pick<
  PendingCall,
  "callId" | "purpose" | "jobId" | "queue" | "record"
>;

function trackCall(update: Update, options: CallOptions): PendingCall {
  const call: PendingCall = {
    ...options,
    part: jobPart(options.jobId),
    receivedMs: update.now,
    step: CallStep.Looking,
    recordVersion: 0,
    isUncertain: false,
    overload: undefined,
    state: undefined,
    lastRead: undefined,
    reads: 0,
    resumeMs: 0,
  };
  update.write(INTAKE).calls.set(options.callId, call);
  return call;
}

/**
 * Ends the process once no new connections arrive, all calls are answered and
 * the domain is handed over. Both depend on the store, so the wait for them is
 * limited.
 */
function stopWhenDrained(update: Update): void {
  const intake = update.write(INTAKE);
  const sinceRequestMs = update.now - intake.stopRequestedMs;
  const isDrained = intake.calls.size === 0 &&
    update.read(TENURE).phase === TenurePhase.Follower;
  if (
    sinceRequestMs >= STOP_DRAIN_MS &&
    (isDrained || sinceRequestMs >= MAX_HANDOVER_MS)
  ) {
    intake.stopRequestedMs = Infinity;
    update.emit(nodeEffect({ kind: EffectKind.Stopped }));
  }
}

registerPlugin({
  name: "intake",
  roles: [Role.Combined],
  create: () => new IntakePlugin(),
});
